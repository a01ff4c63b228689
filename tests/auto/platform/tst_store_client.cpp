#include <criterion/criterion.h>

#include <string>
#include <utility>
#include <vector>

#include "platform/store_client.h"
#include "transport/event_loop.h"
#include "transport/http_server.h"
#include "transport/task.h"

using namespace fulmarpoint;

namespace {

constexpr char kRows[] = R"({"ver":9,"hasMore":false,"rows":[
    {"table":"servers","part":"","key":"first","value":"eA==","ver":7},
    {"table":"servers","part":"","value":"eA==","ver":7},
    {"table":"servers","part":"","key":5,"value":"eA==","ver":7},
    {"table":"servers","part":[],"key":"odd","value":"eA==","ver":7},
    "odd",
    {"table":"servers","part":"","key":"number","value":12,"ver":8},
    {"table":"servers","part":"","key":"last","value":"eQ==","ver":9}]})";

Task<void> SendRows(HttpExchange& exchange) {
  HttpReply reply;
  reply.body = kRows;
  co_await exchange.Respond(std::move(reply));
}

/// A reply with the given header, and the epoch that it shows.
struct EpochCase {
  std::string header;
  int status = 200;
  std::uint64_t epoch = 0;
};

Task<void> SendEpoch(const EpochCase& current, HttpExchange& exchange) {
  HttpReply reply;
  reply.status = current.status;
  reply.body = kRows;
  if (!current.header.empty()) reply.headers.push_back({"Store-Era", current.header});
  co_await exchange.Respond(std::move(reply));
}

HttpReply Reject(HttpRejection) { return {400, {}, ""}; }

/// Reads `replies.size()` times.
Task<void> Read(EventLoop& loop, const Store& store, std::vector<StoreReply>& replies) {
  StoreRead read;
  read.table = "servers";
  for (StoreReply& reply : replies) reply = co_await store.read(read);
  loop.Stop();
}

std::vector<StoreReply> ReadFrom(const HttpHandler& handler, std::size_t times) {
  EventLoop loop;
  HttpServer server(loop.GetExecutor(), HttpServerLimits(), handler, &Reject);
  cr_assert_not(server.Listen("127.0.0.1:0"));
  const Store store = platform::MakeStore(loop.GetExecutor(), server.Address());
  std::vector<StoreReply> replies(times);
  Spawn(loop.GetExecutor(), [&]() { return Read(loop, store, replies); });
  loop.Run();
  return replies;
}

}  // namespace

// Guards against rows that are hidden because another one in the same reply cannot be read.
Test(store_client, a_malformed_row_does_not_hide_the_others) {
  const StoreReply reply = ReadFrom(&SendRows, 1).front();
  cr_assert_eq(reply.status, StoreStatus::kOk);
  cr_assert_eq(reply.position.version, 9u);
  cr_assert_eq(reply.rows.size(), 3u, "%zu", reply.rows.size());
  cr_assert(reply.rows[0].key == "first" && reply.rows[0].value == "x");
  cr_assert(reply.rows[1].key == "number" && reply.rows[1].value.empty());
  cr_assert(reply.rows[2].key == "last" && reply.rows[2].value == "y");
}

// Guards against a store that looks restored because a reply does not name its epoch, and against a
// refusal that hides a restore.
Test(store_client, a_reply_without_epoch_belongs_to_the_last_one) {
  const std::vector<EpochCase> cases = {
      {"", 200, 0},   {"1", 200, 1},  {"", 200, 1},   {"x", 200, 1},
      {"-1", 200, 1}, {"2 ", 200, 2}, {"2x", 200, 2}, {"99999999999999999999", 200, 2},
      {"3", 410, 3},  {"", 410, 3},   {"4", 503, 4},  {"2", 200, 2},
      {"", 200, 4}};
  std::size_t next = 0;
  const std::vector<StoreReply> replies = ReadFrom(
      [&](HttpExchange& exchange) { return SendEpoch(cases[next++], exchange); }, cases.size());
  for (std::size_t index = 0; index < cases.size(); ++index) {
    cr_assert_eq(replies[index].position.epoch, cases[index].epoch, "case %zu", index);
  }
}
