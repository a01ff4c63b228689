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

// Guards against requests to a process that has exited: after a crash its row stays in the store
// for some heartbeats beside the row of its successor, which answers all of them as misdirected.
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

// Guards against an endpoint that is lost because a wrong row claims its address.
Test(endpoint_directory, an_endpoint_has_its_address_again_once_another_is_refuted) {
  EndpointDirectory directory;
  directory.Put(Record("true", "10.0.0.1:80", 1), kStart);
  directory.Put(Record("wrong", "10.0.0.1:80", 2), kStart);
  cr_assert_not(directory.IsUsable("true", kStart));
  directory.Forget(kStart);
  directory.OnMisdirected("wrong", kStart);
  cr_assert(directory.IsUsable("true", kStart), "the one that answers has the address");
  cr_assert_not(directory.IsUsable("wrong", kStart));
  directory.Put(Record("wrong", "10.0.0.1:80", 2), kStart);
  cr_assert(directory.IsUsable("true", kStart), "the same row again proves nothing");
  directory.Put(Record("wrong", "10.0.0.1:80", 3), kStart);
  cr_assert_not(directory.IsUsable("true", kStart), "a later process may have the address");
  const TimePoint gone_at = kStart + std::chrono::seconds(2);
  directory.Remove("wrong", gone_at);
  directory.Put(Record("true", "10.0.0.1:80", 1), kStart);
  directory.Forget(kStart);
  cr_assert_not(directory.IsUsable("true", kStart), "the other may still be there");
  directory.Forget(gone_at);
  cr_assert(directory.IsUsable("true", gone_at));
}

// Guards against an endpoint that is lost because a row of a service that does not exist has its
// address.
Test(endpoint_directory, an_endpoint_of_an_unknown_service_claims_no_address) {
  EndpointDirectory directory;
  directory.SetServices({"chat"}, kStart);
  directory.Put(Record("true", "10.0.0.1:80", 1), kStart);
  EndpointRecord strange = Record("strange", "10.0.0.1:80", 2);
  strange.service = "unknown";
  directory.Put(strange, kStart);
  cr_assert(directory.IsUsable("true", kStart));
  directory.SetServices({"chat", "unknown"}, kStart);
  cr_assert_not(directory.IsUsable("true", kStart), "the configuration now names the service");
}

// Guards against new requests to an endpoint that is leaving.
Test(endpoint_directory, draining_and_removed_endpoints_get_no_requests) {
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

// Guards against new requests to an endpoint that has stated that it leaves but whose row is late,
// and against a restarted one that stays unused.
Test(endpoint_directory, an_endpoint_that_states_that_it_leaves_gets_no_requests) {
  EndpointDirectory directory;
  directory.Put(Record("e"), kStart);
  directory.OnLeaving(Record("e", "10.0.0.1:80", 0), kStart);
  cr_assert(directory.IsUsable("e", kStart), "an earlier process said so");
  directory.OnLeaving(Record("e"), kStart);
  cr_assert_not(directory.IsUsable("e", kStart));
  cr_assert_not(directory.IsIntact(Record("e"), kStart));
  directory.Put(Record("e"), kStart);
  directory.OnSuccess("e");
  cr_assert_not(directory.IsUsable("e", kStart + std::chrono::hours(1)));
  directory.Remove("e", kStart);
  directory.Forget(kStart);
  directory.Put(Record("e"), kStart);
  cr_assert_not(directory.IsUsable("e", kStart), "its row was away and came back");
  directory.Put(Record("e", "10.0.0.1:80", 2), kStart);
  cr_assert(directory.IsUsable("e", kStart), "a new process");
}

// Guards against a failed endpoint that every request tries, and against a recovered endpoint that
// stays unused.
Test(endpoint_directory, the_cool_down_grows_with_consecutive_failures) {
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

// Guards against requests to an endpoint before the time that it has stated, and against a wait for
// an endpoint that leaves.
Test(endpoint_directory, an_endpoint_gets_nothing_until_the_time_it_has_stated) {
  EndpointDirectory directory;
  directory.Put(Record("e"), kStart);
  const TimePoint until = kStart + std::chrono::seconds(3);
  directory.OnRetryAfter(Record("e"), until, kStart);
  directory.OnSuccess("e");
  directory.OnRejected("e", kStart);
  cr_assert_not(directory.IsUsable("e", until - Duration(1)));
  cr_assert(directory.IsUsable("e", until));
  cr_assert(directory.NextCoolDownEnd("chat", kStart) == until);
  cr_assert_not(directory.NextCoolDownEnd("chat", until));
  cr_assert(directory.IsUnwanted("chat", until - Duration(1), kStart));
  cr_assert_not(directory.IsUnwanted("chat", until, kStart));
  directory.Remove("e", kStart);
  directory.Forget(kStart);
  directory.Put(Record("e"), kStart);
  cr_assert_not(directory.IsUsable("e", until - Duration(1)), "its row was away and came back");
  directory.Put(Record("other", "10.0.0.2:80"), kStart);
  directory.OnRetryAfter(Record("other", "10.0.0.2:80"), kStart + std::chrono::seconds(1), kStart);
  cr_assert(directory.NextCoolDownEnd("chat", kStart) == kStart + std::chrono::seconds(1));
  directory.OnLeaving(Record("other", "10.0.0.2:80"), kStart);
  cr_assert(directory.NextCoolDownEnd("chat", kStart) == until);
}

// Guards against a new process that is in cool-down for the failures of the previous one.
Test(endpoint_directory, a_new_incarnation_starts_without_failures) {
  EndpointDirectory directory;
  directory.Put(Record("e", "10.0.0.1:80", 1), kStart);
  directory.OnFailure("e", kStart);
  directory.Put(Record("e", "10.0.0.1:80", 2), kStart);
  cr_assert(directory.IsUsable("e", kStart));
}

// Guards against resources of a peer that are counted twice, or still counted when the peer is
// lost.
Test(endpoint_directory, new_uses_of_a_peer_replace_its_earlier_ones) {
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

// Guards against a repeated prefill because the backup of the stream was at an engine that left and
// was never replaced.
Test(endpoint_directory, an_endpoint_is_not_intact_after_it_leaves_or_fails) {
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

// Guards against requests to an endpoint that was draining or gone before the store was restored
// from a copy in which it is ready.
Test(endpoint_directory, a_copy_brings_no_leaving_endpoint_back) {
  EndpointDirectory directory;
  EndpointRecord draining = Record("draining", "10.0.0.1:80");
  draining.draining = true;
  directory.Put(draining, kStart);
  directory.Put(Record("gone", "10.0.0.2:80"), kStart);
  directory.Remove("gone", kStart);
  directory.Forget(kStart);
  directory.PutRestored(Record("draining", "10.0.0.1:80"), kStart);
  directory.PutRestored(Record("gone", "10.0.0.2:80"), kStart);
  cr_assert_eq(UsableCount(directory, kStart), 0u);
  directory.PutRestored(Record("gone", "10.0.0.2:80"), kStart);
  cr_assert_eq(UsableCount(directory, kStart), 0u, "the store was restored once more");
  directory.Put(Record("gone", "10.0.0.2:80"), kStart);
  cr_assert_eq(UsableCount(directory, kStart), 1u, "it has written its row again");
}

// Guards against an endpoint that stays unused because its row had expired before the restore.
Test(endpoint_directory, a_restored_row_that_stays_is_used_again) {
  EndpointDirectory directory;
  directory.Put(Record("lapsed"), kStart);
  directory.Remove("lapsed", kStart);
  directory.PutRestored(Record("lapsed"), kStart);
  const TimePoint later = kStart + EndpointDirectory::Options().restored_row_doubt;
  cr_assert_eq(UsableCount(directory, later), 1u);
  directory.PutRestored(Record("lapsed", "10.0.0.1:80", 2), kStart);
  cr_assert_eq(UsableCount(directory, kStart), 1u, "a later process has not ended");
}

// Guards against requests to the address of an earlier process of an endpoint, which the copy
// lists.
Test(endpoint_directory, a_copy_brings_no_earlier_process_back) {
  EndpointDirectory directory;
  directory.Put(Record("e", "10.0.0.2:80", 2), kStart);
  directory.PutRestored(Record("e", "10.0.0.1:80", 1), kStart);
  cr_assert_eq(UsableCount(directory, kStart), 1u);
  cr_assert(directory.Find("e")->record.address == "10.0.0.2:80");
  directory.Put(Record("e", "10.0.0.2:80", 2), kStart);
  const TimePoint later = kStart + EndpointDirectory::Options().restored_row_doubt;
  cr_assert_eq(UsableCount(directory, later), 1u, "it has written its row again");
  directory.Remove("e", later);
  directory.Forget(later);
  directory.PutRestored(Record("e", "10.0.0.1:80", 1), later);
  cr_assert_eq(UsableCount(directory, later), 0u);
}
