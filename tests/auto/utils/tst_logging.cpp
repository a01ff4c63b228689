#include <criterion/criterion.h>
#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <string>

#include "utils/log_budget.h"
#include "utils/log_field.h"
#include "utils/log_output.h"
#include "utils/logging.h"

using namespace fulmarpoint;

namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr std::size_t kLineBytes = 150;

std::string Text(const LogField& field) {
  std::string line;
  field.AppendTo(line);
  return line;
}

/// A pipe that is read only when `Read()` is called.
struct Pipe {
  Pipe() {
    cr_assert_eq(::pipe(ends.data()), 0);
    cr_assert_neq(::fcntl(ends[0], F_SETFL, O_NONBLOCK), -1);
  }
  ~Pipe() {
    ::close(ends[0]);
    ::close(ends[1]);
  }
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;

  std::string Read() const {
    std::string all;
    std::array<char, 4096> buffer{};
    ssize_t bytes = 0;
    while ((bytes = ::read(ends[0], buffer.data(), buffer.size())) > 0) {
      all.append(buffer.data(), static_cast<std::size_t>(bytes));
    }
    return all;
  }

  std::array<int, 2> ends{};
};

std::size_t CountOf(const std::string& text, const std::string& part) {
  std::size_t count = 0;
  for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
    ++count;
  }
  return count;
}

}  // namespace

// Guards against lines that cannot be parsed, and against forged lines or fields in text from
// callers.
Test(logging, values_are_quoted_where_needed) {
  cr_assert(Text({"request", "r1"}) == "request=r1");
  cr_assert(Text({"count", 7}) == "count=7");
  cr_assert(Text({"ready", true}) == "ready=1");
  cr_assert(Text({"backup", ""}) == "backup=\"\"");
  cr_assert(Text({"reason", "end of stream"}) == "reason=\"end of stream\"");
  cr_assert(Text({"request", "x event=stopped"}) == "request=\"x event=stopped\"");
  cr_assert(Text({"request", "a\"b\\c"}) == R"(request="a\"b\\c")");
  cr_assert(Text({"request", "a\nb\x01"}) == "request=\"a?b?\"");
  cr_assert_leq(Text({"request", std::string(5000, 'x')}).size(), 300u);
}

// Guards against a log volume that grows with the load.
Test(logging, the_budget_bounds_lines_and_bytes) {
  const LogBudget::Limits limits;
  LogBudget budget(limits);
  int lines = 0;
  constexpr int kSeconds = 60;
  for (int millis = 0; millis < kSeconds * 1000; ++millis) {
    const TimePoint now = kStart + std::chrono::milliseconds(millis);
    for (int line = 0; line < 3; ++line) {
      if (budget.Admit(LogLevel::kWarning, kLineBytes, now)) ++lines;
    }
  }
  const double saved = std::chrono::duration<double>(limits.burst_duration).count();
  cr_assert_leq(lines, limits.lines_per_second * (kSeconds + saved));
  cr_assert_leq(lines * static_cast<double>(kLineBytes),
                limits.bytes_per_second * (kSeconds + saved));
  cr_assert_geq(lines, limits.lines_per_second * kSeconds, "the budget is used");
}

// Guards against omitted failures because successes have used up the budget.
Test(logging, warnings_take_precedence_over_successes) {
  LogBudget budget;
  int successes = 0;
  int failures = 0;
  for (int millis = 0; millis < 20000; ++millis) {
    const TimePoint now = kStart + std::chrono::milliseconds(millis);
    for (int line = 0; line < 5; ++line) {
      if (budget.Admit(LogLevel::kInfo, kLineBytes, now)) ++successes;
    }
    if (millis % 10 == 0 && budget.Admit(LogLevel::kWarning, kLineBytes, now)) ++failures;
  }
  cr_assert_eq(failures, 2000, "all failures are written");
  cr_assert_gt(successes, 1000);
}

// Guards against a daemon that blocks because its log is not read.
Test(logging, a_stalled_reader_loses_lines_but_does_not_block) {
  const Pipe pipe;
  LogOutput output(pipe.ends[1]);
  const std::string line(kLineBytes, 'x');
  std::size_t accepted = 0;
  // A blocking write would hang here, because the pipe and the buffer hold fewer lines.
  for (int count = 0; count < 5000; ++count) {
    if (output.Write(line)) ++accepted;
  }
  cr_assert_lt(accepted, 5000u);
  cr_assert_leq(output.PendingBytes(), 64u * 1024);
  std::string received = pipe.Read();
  while (output.PendingBytes() > 0) {
    output.Flush();
    received += pipe.Read();
  }
  cr_assert_eq(CountOf(received, line + "\n"), accepted, "what was accepted arrives complete");
  cr_assert(output.Write(line), "writing goes on after the reader has caught up");
}

// Guards against a process that terminates or runs out of memory because the reader of its log has
// closed the pipe.
Test(logging, a_closed_reader_does_not_end_the_process) {
  std::array<int, 2> ends{};
  cr_assert_eq(::pipe(ends.data()), 0);
  InitLogging();
  ::close(ends[0]);
  LogOutput output(ends[1]);
  for (int count = 0; count < 2000; ++count) output.Write(std::string(kLineBytes, 'x'));
  cr_assert_leq(output.PendingBytes(), 64u * 1024);
  ::close(ends[1]);
}

// Guards against lines that are omitted without a report.
Test(logging, omitted_lines_are_counted) {
  const Pipe pipe;
  const int standard_output = ::dup(STDOUT_FILENO);
  ::dup2(pipe.ends[1], STDOUT_FILENO);
  InitLogging();
  const std::string text(kLineBytes, 'x');
  constexpr int kLines = 3000;
  for (int count = 0; count < kLines; ++count) {
    Log(LogLevel::kInfo, "load", {{"text", text}});
  }
  std::string received = pipe.Read();
  for (int round = 0; round < 100; ++round) {
    FlushLog();
    received += pipe.Read();
  }
  ::dup2(standard_output, STDOUT_FILENO);
  ::close(standard_output);
  const std::size_t written = CountOf(received, "event=load ");
  cr_assert_lt(written, static_cast<std::size_t>(kLines));
  cr_assert_eq(CountOf(received, "event=log_omitted "), 1u);
  const auto omitted = [&received](const std::string& name) {
    const std::size_t at = received.find(name + "=");
    return std::stoul(received.substr(at + name.size() + 1));
  };
  cr_assert_eq(written + omitted("over_budget_info") + omitted("unread_info"),
               static_cast<std::size_t>(kLines));
}
