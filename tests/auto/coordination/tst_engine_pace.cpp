#include <criterion/criterion.h>

#include <cmath>
#include <limits>

#include "coordination/endpoint_directory.h"
#include "coordination/engine_pace.h"
#include "protocol/relay_datagram.h"

using namespace fulmarpoint;

namespace {

constexpr TimePoint kStart{std::chrono::seconds(100)};
constexpr Duration kStep = std::chrono::milliseconds(100);
// Size up to which no network path fragments a datagram, without IP and UDP headers.
constexpr std::size_t kMaxUnfragmentedBytes = 1400;

bool IsNear(double value, double expected, double tolerance = 0.01) {
  return std::abs(value - expected) <= tolerance;
}

EndpointRecord Record(const EndpointId& id, std::int64_t incarnation = 1) {
  EndpointRecord record;
  record.id = id;
  record.service = "chat";
  record.address = "10.0.0.1:" + id.substr(1);
  record.failure_domain = "a";
  record.incarnation = incarnation;
  return record;
}

EndpointLoad LoadWithPace(double pace) {
  EndpointLoad load;
  load.slots = 8;
  load.pace = pace;
  return load;
}

}  // namespace

// Guards against a factor for endpoints that report none.
Test(engine_pace, is_usual_without_reports) {
  const EnginePace pace;
  cr_assert_not(pace.HasReport());
  cr_assert_eq(pace.Base(kStart), 1.0);
  cr_assert_eq(pace.Current(kStart), 1.0);
  cr_assert_eq(pace.ExpectedOver(kStep, kStart), 1.0);
}

// Guards against an engine that is avoided for seconds because of a disturbance of 600 ms.
Test(engine_pace, a_disturbance_does_not_change_the_base) {
  EnginePace pace;
  TimePoint now = kStart;
  for (int report = 0; report < 40; ++report) pace.OnReport(0.6, now += kStep);
  for (int report = 0; report < 60; ++report) {
    pace.OnReport(1.5, now += std::chrono::milliseconds(10));
  }
  cr_assert(IsNear(pace.Base(now), 0.6));
  cr_assert(IsNear(pace.Current(now), 1.5));
  const TimePoint later = now + std::chrono::milliseconds(400);
  cr_assert(IsNear(pace.Current(later), 0.6 + 0.9 / std::exp(1.0)));
  cr_assert(IsNear(pace.Current(now + std::chrono::seconds(3)), 0.6));
}

// Guards against long work that is kept from an engine because of a disturbance that ends before.
Test(engine_pace, long_work_is_expected_to_run_mostly_at_the_base) {
  EnginePace pace;
  TimePoint now = kStart;
  for (int report = 0; report < 40; ++report) pace.OnReport(1.0, now += kStep);
  pace.OnReport(2.5, now);
  cr_assert(IsNear(pace.ExpectedOver(Duration::zero(), now), 2.5));
  cr_assert(IsNear(pace.ExpectedOver(std::chrono::milliseconds(400), now),
                   1.0 + 1.5 * (1.0 - std::exp(-1.0))));
  cr_assert(IsNear(pace.ExpectedOver(std::chrono::seconds(40), now), 1.015));
}

// Guards against an engine that gets no more requests, and so cannot correct what it once reported.
Test(engine_pace, a_stale_base_approaches_the_usual_pace) {
  EnginePace pace;
  TimePoint now = kStart;
  for (int report = 0; report < 40; ++report) pace.OnReport(4.0, now += kStep);
  cr_assert(IsNear(pace.Base(now + std::chrono::seconds(4)), 4.0));
  cr_assert_lt(pace.Base(now + std::chrono::seconds(30)), 2.0);
  cr_assert(IsNear(pace.Base(now + std::chrono::minutes(2)), 1.0));
}

// Guards against an engine that is starved or flooded because of an absurd report.
Test(engine_pace, absurd_reports_are_ignored_and_extreme_ones_limited) {
  EnginePace pace;
  for (const double absurd : {0.0, -1.0, 0.01, 1e6, std::numeric_limits<double>::quiet_NaN(),
                              std::numeric_limits<double>::infinity()}) {
    pace.OnReport(absurd, kStart);
  }
  cr_assert_not(pace.HasReport());
  pace.OnReport(15.0, kStart);
  cr_assert(IsNear(pace.Current(kStart), 4.0));
  pace.OnReport(0.06, kStart + kStep);
  cr_assert(IsNear(pace.Current(kStart + kStep), 0.4));
}

// Guards against a delayed report of a neighbour that replaces a newer one.
Test(engine_pace, an_older_report_is_ignored) {
  EnginePace pace;
  pace.OnReport(2.0, kStart);
  pace.OnReport(0.5, kStart - kStep);
  cr_assert_eq(pace.Reported(), 2.0);
}

// Guards against a new process that is treated like its predecessor.
Test(engine_pace, is_kept_for_one_process) {
  EndpointDirectory directory;
  directory.Put(Record("e1"), kStart);
  cr_assert_not(directory.ReportsPace("chat"));
  directory.OnLoad(Record("e1"), LoadWithPace(2.0), kStart);
  cr_assert(directory.ReportsPace("chat"));
  cr_assert_not(directory.ReportsPace("search"));
  directory.Put(Record("e1", 2), kStart + kStep);
  cr_assert_not(directory.ReportsPace("chat"));
  directory.OnLoad(Record("e1"), LoadWithPace(2.0), kStart + 2 * kStep);
  cr_assert_not(directory.ReportsPace("chat"), "a late reply of the predecessor");
}

// Guards against a stale report that counts as much as a recent one.
Test(engine_pace, reported_requests_count_less_with_age) {
  EndpointDirectory directory;
  directory.Put(Record("e1"), kStart);
  EndpointLoad load = LoadWithPace(1.0);
  load.running = 6;
  load.waiting = 2;
  directory.OnLoad(Record("e1"), load, kStart);
  const DirectoryEndpoint& endpoint = *directory.Find("e1");
  cr_assert(IsNear(endpoint.EstimatedRequests(kStart), 8.0));
  cr_assert_lt(endpoint.EstimatedRequests(kStart + std::chrono::seconds(2)), 4.0);
  directory.AddUse({"e1", 0, 0, true});
  cr_assert_eq(endpoint.EstimatedRequests(kStart + std::chrono::minutes(1)), 1.0);
}

// Guards against datagrams that repeat what the neighbours know, or pass on what they have sent.
Test(engine_pace, only_new_paces_are_shared) {
  EndpointDirectory sender;
  EndpointDirectory receiver;
  sender.Put(Record("e1"), kStart);
  receiver.Put(Record("e1"), kStart);
  cr_assert(sender.TakeNewPaces(kStart).empty());
  sender.OnLoad(Record("e1"), LoadWithPace(1.6), kStart);
  const std::vector<EndpointPace> paces = sender.TakeNewPaces(kStart);
  cr_assert_eq(paces.size(), 1u);
  cr_assert_eq(paces[0].percent, 160);
  receiver.OnPeerPace(paces[0], kStart);
  cr_assert(receiver.ReportsPace("chat"));
  cr_assert_eq(receiver.Find("e1")->pace.Reported(), 1.6);
  cr_assert(receiver.TakeNewPaces(kStart).empty(), "not passed on");
  sender.OnLoad(Record("e1"), LoadWithPace(1.62), kStart + kStep);
  cr_assert(sender.TakeNewPaces(kStart + kStep).empty(), "almost the same");
  sender.OnLoad(Record("e1"), LoadWithPace(0.6), kStart + 2 * kStep);
  cr_assert_eq(sender.TakeNewPaces(kStart + 2 * kStep).size(), 1u);
  const TimePoint later = kStart + std::chrono::seconds(10);
  cr_assert(sender.TakeNewPaces(later).empty(), "no report since");
  sender.OnLoad(Record("e1"), LoadWithPace(0.6), later);
  cr_assert_eq(sender.TakeNewPaces(later).size(), 1u, "the same, to keep it from ageing");
}

// Guards against the pace of a predecessor that a neighbour reports for the new process.
Test(engine_pace, a_peers_report_applies_to_one_process) {
  EndpointDirectory sender;
  EndpointDirectory receiver;
  sender.Put(Record("e1"), kStart);
  receiver.Put(Record("e1", 2), kStart);
  sender.OnLoad(Record("e1"), LoadWithPace(1.6), kStart);
  for (const EndpointPace& pace : sender.TakeNewPaces(kStart)) receiver.OnPeerPace(pace, kStart);
  cr_assert_not(receiver.ReportsPace("chat"));
}

// Guards against a report that replaces fresher ones at the neighbours, because the reply in which
// it was made is looked at again while its stream lasts.
Test(engine_pace, a_reply_is_shared_once) {
  EndpointDirectory sender;
  const EndpointRecord record = Record("e1");
  sender.Put(record, kStart);
  sender.OnLoad(record, LoadWithPace(2.5), kStart);
  cr_assert_eq(sender.TakeNewPaces(kStart).size(), 1u);
  const TimePoint later = kStart + std::chrono::seconds(3);
  sender.OnLoad(record, LoadWithPace(2.5), kStart);
  cr_assert(sender.TakeNewPaces(later).empty(), "the same reply");
  sender.OnLoad(record, LoadWithPace(2.5), later);
  cr_assert_eq(sender.TakeNewPaces(later).size(), 1u, "a later one");
}

// Guards against fragmented datagrams, and against paces that are never sent in a large fleet.
Test(engine_pace, a_datagram_holds_few_paces_and_the_others_follow) {
  EndpointDirectory directory;
  for (std::size_t index = 0; index < 2 * kMaxPaceEntries; ++index) {
    const EndpointRecord record = Record("e" + std::to_string(index));
    directory.Put(record, kStart);
    directory.OnLoad(record, LoadWithPace(1.6), kStart);
  }
  const std::vector<EndpointPace> first = directory.TakeNewPaces(kStart);
  cr_assert_eq(first.size(), kMaxPaceEntries);
  const std::string bytes = EncodeDatagram(PaceReport{first});
  cr_assert_leq(bytes.size(), kMaxUnfragmentedBytes);
  const std::optional<RelayDatagram> decoded = DecodeRelayDatagram(bytes);
  cr_assert(decoded && std::holds_alternative<PaceReport>(*decoded));
  cr_assert(std::get<PaceReport>(*decoded).paces == first);
  cr_assert_eq(directory.TakeNewPaces(kStart + kStep).size(), kMaxPaceEntries);
  cr_assert(directory.TakeNewPaces(kStart + kStep).empty());
}
