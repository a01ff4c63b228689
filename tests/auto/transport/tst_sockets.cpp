#include <criterion/criterion.h>

#include <set>

#include "run_task.h"
#include "transport/address.h"
#include "transport/framed_connection.h"
#include "transport/framed_server.h"
#include "transport/udp_socket.h"

using namespace fulmarpoint;

namespace {

// The coroutines are free functions because GCC 12 generates clashing symbols for coroutine lambdas
// inside a Criterion test, which has C linkage.
Task<std::string> AnswerUnlessSlow(std::string request, std::string) {
  if (request == "slow") co_await Sleep(std::chrono::hours(1));
  co_return "re: " + request;
}

Task<std::string> Echo(std::string request, std::string) { co_return request; }

Task<void> SendSlow(FramedConnection& connection, std::promise<FramedResult>& done) {
  FramedResult result = co_await connection.Request("slow", std::chrono::milliseconds(100));
  done.set_value(std::move(result));
}

}  // namespace

Test(address, texts_round_trip_and_others_are_rejected) {
  cr_assert_eq(ToString(*ParseSocketAddress("127.0.0.1:80")), "127.0.0.1:80");
  cr_assert_eq(ToString(*ParseSocketAddress("[::1]:80")), "[::1]:80");
  for (const char* text :
       {"", "a:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536", "::1:80", "127.0.0.1:80x"}) {
    cr_assert_not(ParseSocketAddress(text).has_value(), "%s", text);
  }
}

Test(udp, datagram_arrives_with_its_sender) {
  WorkerPool pool(2);
  UdpSocket a(pool.GetExecutor());
  UdpSocket b(pool.GetExecutor());
  cr_assert_not(a.Open("127.0.0.1:0"));
  cr_assert_not(b.Open("127.0.0.1:0"));
  cr_assert_not(a.Send(b.Address(), "hello"));
  const Datagram datagram = RunTask<Datagram>(pool, [&]() { return b.Receive(); });
  cr_assert_eq(datagram.data, "hello");
  cr_assert_eq(datagram.from, a.Address());
}

Test(udp, close_ends_a_pending_receive) {
  WorkerPool pool(2);
  UdpSocket socket(pool.GetExecutor());
  cr_assert_not(socket.Open("127.0.0.1:0"));
  Post(pool.GetExecutor(), [&]() { socket.Close(); });
  const Datagram datagram = RunTask<Datagram>(pool, [&]() { return socket.Receive(); });
  cr_assert(datagram.error);
}

// Guards against a daemon that does not start because the port that the kernel chose for UDP is in
// use for TCP.
Test(udp, a_kernel_chosen_port_is_free_for_tcp_too) {
  WorkerPool pool(1);
  UdpSocket socket(pool.GetExecutor());
  FramedServer server(pool.GetExecutor(), {}, Echo);
  std::set<std::string> taken;
  const std::error_code error =
      socket.OpenWithTcp("127.0.0.1:0", [&](const std::string& address) -> std::error_code {
        if (taken.size() < 2) {
          taken.insert(address);
          return std::make_error_code(std::errc::address_in_use);
        }
        return server.Listen(address);
      });
  cr_assert_not(error, "%s", error.message().c_str());
  cr_assert_eq(taken.size(), 2);
  cr_assert_eq(server.Address(), socket.Address());
}

// Guards against a daemon that listens on another port than the configured one, or that retries
// forever.
Test(udp, a_given_port_or_another_error_is_not_retried) {
  WorkerPool pool(1);
  UdpSocket socket(pool.GetExecutor());
  int calls = 0;
  std::errc outcome = std::errc::permission_denied;
  const UdpSocket::Listen listen = [&](const std::string&) {
    ++calls;
    return std::make_error_code(outcome);
  };
  cr_assert_eq(socket.OpenWithTcp("127.0.0.1:0", listen), std::errc::permission_denied);
  cr_assert_eq(calls, 1);
  outcome = std::errc::address_in_use;
  cr_assert_eq(socket.OpenWithTcp("127.0.0.1:0", listen), std::errc::address_in_use);
  cr_assert_gt(calls, 2);
  calls = 0;
  UdpSocket other(pool.GetExecutor());
  cr_assert_not(other.Open("127.0.0.1:0"));
  const std::string free = other.Address();
  cr_assert_eq(socket.OpenWithTcp(free, listen), std::errc::address_in_use);
  cr_assert_eq(calls, 0, "TCP is not tried if the UDP port is in use");
}

// Guards against a server that cannot listen on another port after one was in use.
Test(framed, a_taken_port_leaves_the_server_usable) {
  WorkerPool pool(1);
  FramedServer first(pool.GetExecutor(), {}, Echo);
  FramedServer second(pool.GetExecutor(), {}, Echo);
  cr_assert_not(first.Listen("127.0.0.1:0"));
  cr_assert_eq(second.Listen(first.Address()), std::errc::address_in_use);
  cr_assert_not(second.Listen("127.0.0.1:0"));
}

// Guards against a slow reply that delays later replies or is matched to another request.
Test(framed, replies_are_matched_out_of_order) {
  WorkerPool pool(2);
  FramedServer server(pool.GetExecutor(), {}, AnswerUnlessSlow);
  cr_assert_not(server.Listen("127.0.0.1:0"));
  FramedConnection connection(pool.GetExecutor(), server.Address(), {});
  std::promise<FramedResult> slow;
  Spawn(MakeStrand(pool.GetExecutor()), [&]() { return SendSlow(connection, slow); });
  for (int i = 0; i < 3; ++i) {
    const FramedResult result = RunTask<FramedResult>(
        pool, [&]() { return connection.Request("fast", std::chrono::seconds(5)); });
    cr_assert_not(result.error, "%s", result.error.message().c_str());
    cr_assert_eq(result.reply, "re: fast");
  }
  const FramedResult result = slow.get_future().get();
  cr_assert_eq(result.error, std::errc::timed_out);
  cr_assert_not(result.nothing_written);
  cr_assert_eq(server.ConnectionCount(), 1);
  pool.Stop();
}

Test(framed, unreachable_peer_reports_that_nothing_was_written) {
  WorkerPool pool(2);
  FramedConnection connection(pool.GetExecutor(), "127.0.0.1:1", {});
  const FramedResult result = RunTask<FramedResult>(
      pool, [&]() { return connection.Request("x", std::chrono::seconds(5)); });
  cr_assert(result.error);
  cr_assert(result.nothing_written);
}

// Guards against memory use that is controlled by a peer.
Test(framed, oversized_frame_closes_the_connection_and_the_next_request_reconnects) {
  WorkerPool pool(2);
  FrameLimits small;
  small.max_frame_bytes = 100;
  FramedServer server(pool.GetExecutor(), small, Echo);
  cr_assert_not(server.Listen("127.0.0.1:0"));
  FramedConnection connection(pool.GetExecutor(), server.Address(), {});
  const FramedResult large = RunTask<FramedResult>(
      pool, [&]() { return connection.Request(std::string(101, 'x'), std::chrono::seconds(5)); });
  cr_assert(large.error);
  const FramedResult next = RunTask<FramedResult>(
      pool, [&]() { return connection.Request("next", std::chrono::seconds(5)); });
  cr_assert_eq(next.reply, "next");
}
