#include <criterion/criterion.h>

#include "coordination/endpoint_directory.h"

using namespace fulmarpoint;

namespace {

constexpr TimePoint kStart{std::chrono::seconds(100)};

EndpointRecord Record(const EndpointId& id, const std::string& address = "10.0.0.1:80",
                      std::int64_t incarnation = 1) {
  EndpointRecord record;
  record.id = id;
  record.service = "chat";
  record.address = address;
  record.failure_domain = "a";
  record.incarnation = incarnation;
  return record;
}

std::size_t UsableCount(const EndpointDirectory& directory, TimePoint now) {
  return directory.Usable("chat", now).size();
}

}  // namespace

// Guards against requests to a process that is gone: after a crash its row stays for some
// heartbeats beside that of its successor, which answers them all as misdirected.
Test(endpoint_directory, a_successor_at_the_address_replaces_the_endpoint) {
  EndpointDirectory directory;
  directory.Put(Record("old", "10.0.0.1:80", 1), kStart);
  directory.Put(Record("new", "10.0.0.1:80", 2), kStart);
  cr_assert_not(directory.IsUsable("old", kStart));
  cr_assert(directory.IsUsable("new", kStart));
}

// Guards against the same when the rows arrive in the other order.
Test(endpoint_directory, a_late_row_of_the_predecessor_does_not_replace_the_successor) {
  EndpointDirectory directory;
  directory.Put(Record("new", "10.0.0.1:80", 2), kStart);
  directory.Put(Record("old", "10.0.0.1:80", 1), kStart);
  cr_assert(directory.IsUsable("new", kStart));
  cr_assert_not(directory.IsUsable("old", kStart));
}

// Guards against new work for an endpoint that leaves.
Test(endpoint_directory, draining_and_removed_endpoints_get_nothing) {
  EndpointDirectory directory;
  EndpointRecord record = Record("e");
  directory.Put(record, kStart);
  cr_assert_eq(UsableCount(directory, kStart), 1u);
  record.draining = true;
  directory.Put(record, kStart);
  cr_assert_eq(UsableCount(directory, kStart), 0u);
  record.draining = false;
  directory.Put(record, kStart);
  directory.Remove("e", kStart + std::chrono::seconds(1));
  cr_assert_eq(UsableCount(directory, kStart), 1u, "it is gone only from the given time on");
  cr_assert_eq(UsableCount(directory, kStart + std::chrono::seconds(1)), 0u);
}

// Guards against a failed endpoint being tried by every request, and against one that recovered
// staying out.
Test(endpoint_directory, failures_block_for_a_growing_time) {
  EndpointDirectory directory;
  directory.Put(Record("e"), kStart);
  directory.OnFailure("e", kStart);
  directory.OnFailure("e", kStart);
  const TimePoint first_end = kStart + std::chrono::milliseconds(400);
  cr_assert_not(directory.IsUsable("e", first_end - Duration(1)));
  cr_assert(directory.IsUsable("e", first_end), "failures at the same time count once");
  directory.OnFailure("e", first_end);
  cr_assert_not(directory.IsUsable("e", first_end + std::chrono::milliseconds(799)));
  directory.OnSuccess("e");
  const TimePoint later = first_end + std::chrono::milliseconds(800);
  directory.OnFailure("e", later);
  cr_assert(directory.IsUsable("e", later + std::chrono::milliseconds(400)));
}

// Guards against a new process paying for the failures of the one before.
Test(endpoint_directory, a_new_incarnation_begins_without_failures) {
  EndpointDirectory directory;
  directory.Put(Record("e", "10.0.0.1:80", 1), kStart);
  directory.OnFailure("e", kStart);
  directory.Put(Record("e", "10.0.0.1:80", 2), kStart);
  cr_assert(directory.IsUsable("e", kStart));
}

// Guards against uses of a peer that add up, or that stay when the peer is lost.
Test(endpoint_directory, peer_uses_replace_each_other) {
  EndpointDirectory directory;
  directory.Put(Record("e"), kStart);
  directory.SetPeerUses("peer", {{"e", 500, 900, true}, {"e", 0, 900, false}});
  directory.SetPeerUses("peer", {{"e", 100, 700, true}});
  const DirectoryEndpoint* endpoint = directory.Find("e");
  cr_assert_eq(endpoint->PendingPrefillTokens(), 100);
  cr_assert_eq(endpoint->KvCacheTokens(), 700);
  cr_assert_eq(endpoint->Requests(), 1);
  directory.SetPeerUses("peer", {});
  cr_assert_eq(endpoint->KvCacheTokens(), 0);
}

// Guards against a run that reads its prompt again because its copy was at an engine that leaves
// and was never replaced.
Test(endpoint_directory, what_an_endpoint_holds_is_lost_when_it_leaves) {
  EndpointDirectory directory;
  EndpointRecord record = Record("e");
  directory.Put(record, kStart);
  const TimePoint before = kStart - std::chrono::seconds(1);
  cr_assert(directory.IsIntact(record, before));
  record.draining = true;
  directory.Put(record, kStart);
  cr_assert_not(directory.IsIntact(record, before));
  directory.Put(Record("e"), kStart);
  directory.OnPeerFailure("e", kStart);
  cr_assert_not(directory.IsIntact(Record("e"), before));
  cr_assert(directory.IsIntact(Record("e"), kStart + std::chrono::milliseconds(1)));
  directory.Remove("e", kStart);
  cr_assert_not(directory.IsIntact(Record("e"), kStart + std::chrono::milliseconds(1)));
}
