#include <criterion/criterion.h>

#include <utility>

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

HttpReply Reject(HttpRejection) { return {400, {}, ""}; }

Task<void> Read(EventLoop& loop, const Store& store, StoreReply& reply) {
  StoreRead read;
  read.table = "servers";
  reply = co_await store.read(read);
  loop.Stop();
}

StoreReply ReadRows() {
  EventLoop loop;
  HttpServer server(loop.GetExecutor(), HttpServerLimits(), &SendRows, &Reject);
  cr_assert_not(server.Listen("127.0.0.1:0"));
  const Store store = platform::MakeStore(loop.GetExecutor(), server.Address());
  StoreReply reply;
  Spawn(loop.GetExecutor(), [&]() { return Read(loop, store, reply); });
  loop.Run();
  return reply;
}

}  // namespace

// Guards against rows that are hidden because another one in the same reply cannot be read.
Test(store_client, a_malformed_row_does_not_hide_the_others) {
  const StoreReply reply = ReadRows();
  cr_assert_eq(reply.status, StoreStatus::kOk);
  cr_assert_eq(reply.version, 9u);
  cr_assert_eq(reply.rows.size(), 3u, "%zu", reply.rows.size());
  cr_assert(reply.rows[0].key == "first" && reply.rows[0].value == "x");
  cr_assert(reply.rows[1].key == "number" && reply.rows[1].value.empty());
  cr_assert(reply.rows[2].key == "last" && reply.rows[2].value == "y");
}
