#include <criterion/criterion.h>

#include "coordination/kv_cache_backup.h"

using namespace fulmarpoint;

namespace {

constexpr TimePoint kStart{std::chrono::seconds(100)};
constexpr Duration kLifetime = std::chrono::seconds(4);

TimePoint At(int milliseconds) { return kStart + std::chrono::milliseconds(milliseconds); }

EndpointRecord Engine(const std::string& id) {
  EndpointRecord record;
  record.id = id;
  record.address = id + ":80";
  return record;
}

}  // namespace

// Guards against requested backups that duplicate one that the engine keeps up to date.
Test(kv_cache_backup, a_backup_sent_by_the_engine_needs_no_request) {
  KvCacheBackup backup(kLifetime);
  backup.OnAttemptStarted(Engine("b"), "request-1");
  cr_assert(backup.IsComplete(At(60000)));
  cr_assert(backup.Source().address == "b:80");
  cr_assert(backup.Source().name == "request-1");
  cr_assert_not(backup.IsRequestDue(true, At(60000)));
  cr_assert_not(backup.NeedsRelease());
}

// Guards against a stream that has no backup after the engine that stored it was lost, and against
// the use of a backup that is not complete.
Test(kv_cache_backup, a_lost_backup_is_replaced) {
  KvCacheBackup backup(kLifetime);
  backup.OnAttemptStarted(Engine("b"), "request-1");
  cr_assert(backup.IsRequestDue(false, At(0)));
  backup.OnRequested(Engine("c"), "a:80", At(0));
  cr_assert_not(backup.IsComplete(At(10)));
  cr_assert_not(backup.IsRequestDue(false, At(10)), "a request is in progress");
  backup.OnRequestEnded("handle-1");
  cr_assert(backup.IsComplete(At(20)));
  cr_assert(backup.Holder()->id == "c");
  cr_assert(backup.Source().address == "a:80", "the source engine made the copy");
  cr_assert(backup.Source().name == "handle-1");
  cr_assert(backup.NeedsRelease());
}

// Guards against a requested backup that expires while the stream is running.
Test(kv_cache_backup, requested_backups_are_renewed) {
  KvCacheBackup backup(kLifetime);
  backup.OnAttemptStarted(std::nullopt, "request-1");
  backup.OnRequested(Engine("c"), "a:80", At(0));
  backup.OnRequestEnded("handle-1");
  cr_assert_not(backup.IsRequestDue(true, At(1999)));
  cr_assert(backup.IsRequestDue(true, At(2000)));
  backup.OnRequested(Engine("c"), "a:80", At(2000));
  cr_assert(backup.IsComplete(At(3999)), "it stays usable while it is renewed");
  backup.OnRequestEnded("handle-1");
  cr_assert(backup.IsComplete(At(5999)));
  cr_assert_not(backup.IsComplete(At(6000)));
}

// Guards against repeated requests to an engine for a backup that it cannot make.
Test(kv_cache_backup, failed_requests_are_retried_after_a_delay) {
  KvCacheBackup backup(kLifetime);
  backup.OnAttemptStarted(std::nullopt, "request-1");
  backup.OnRequested(Engine("c"), "a:80", At(0));
  backup.OnRequestEnded(std::nullopt);
  cr_assert_not(backup.IsComplete(At(1)));
  cr_assert_not(backup.IsRequestDue(false, At(499)));
  cr_assert(backup.IsRequestDue(false, At(500)));
}
