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

// Guards against copies that are paid for twice although the engine keeps one up to date.
Test(run_copy, the_engines_own_copy_needs_no_request) {
  KvCacheBackup copy(kLifetime);
  copy.OnAttemptStarted(Engine("b"), "request-1");
  cr_assert(copy.IsComplete(At(60000)));
  cr_assert(copy.Source().address == "b:80");
  cr_assert(copy.Source().name == "request-1");
  cr_assert_not(copy.IsRequestDue(true, At(60000)));
  cr_assert_not(copy.IsRequested());
}

// Guards against a run that stays without a copy after the engine that held it was lost, and
// against a copy that is used before it exists.
Test(run_copy, a_lost_copy_is_replaced) {
  KvCacheBackup copy(kLifetime);
  copy.OnAttemptStarted(Engine("b"), "request-1");
  cr_assert(copy.IsRequestDue(false, At(0)));
  copy.OnRequested(Engine("c"), "a:80", At(0));
  cr_assert_not(copy.IsComplete(At(10)));
  cr_assert_not(copy.IsRequestDue(false, At(10)), "a request is in progress");
  copy.OnRequestEnded("handle-1");
  cr_assert(copy.IsComplete(At(20)));
  cr_assert(copy.Holder()->id == "c");
  cr_assert(copy.Source().address == "a:80", "the source names the copy");
  cr_assert(copy.Source().name == "handle-1");
  cr_assert(copy.IsRequested());
}

// Guards against a requested copy that expires while the run goes on.
Test(run_copy, requested_copies_are_renewed) {
  KvCacheBackup copy(kLifetime);
  copy.OnAttemptStarted(std::nullopt, "request-1");
  copy.OnRequested(Engine("c"), "a:80", At(0));
  copy.OnRequestEnded("handle-1");
  cr_assert_not(copy.IsRequestDue(true, At(1999)));
  cr_assert(copy.IsRequestDue(true, At(2000)));
  copy.OnRequested(Engine("c"), "a:80", At(2000));
  cr_assert(copy.IsComplete(At(3999)), "it stays usable while it is renewed");
  copy.OnRequestEnded("handle-1");
  cr_assert(copy.IsComplete(At(5999)));
  cr_assert_not(copy.IsComplete(At(6000)));
}

// Guards against engines that are asked again and again for a copy that they cannot make.
Test(run_copy, failed_requests_are_spaced) {
  KvCacheBackup copy(kLifetime);
  copy.OnAttemptStarted(std::nullopt, "request-1");
  copy.OnRequested(Engine("c"), "a:80", At(0));
  copy.OnRequestEnded(std::nullopt);
  cr_assert_not(copy.IsComplete(At(1)));
  cr_assert_not(copy.IsRequestDue(false, At(499)));
  cr_assert(copy.IsRequestDue(false, At(500)));
}
