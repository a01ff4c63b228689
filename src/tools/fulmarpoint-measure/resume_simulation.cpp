#include "resume_simulation.h"

#include <algorithm>
#include <variant>

#include "utils/overloaded.h"

namespace fulmarpoint {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kEngines = 8;
constexpr std::size_t kStreams = 120;
constexpr std::uint64_t kTokens = 600;
constexpr Duration kLatency = milliseconds(1);
constexpr Duration kFixedTimeoutLength = seconds(10);
constexpr Duration kFirstTokenLimit = milliseconds(1460);
constexpr Duration kAvoidFailed = seconds(5);
constexpr Duration kHealthyInterval = milliseconds(100);
constexpr int kFaults = 4;

}  // namespace

ResumeSimulation::ResumeSimulation(ResumePolicy policy, std::uint64_t seed)
    : m_policy(policy),
      m_queue(seed),
      m_budget(ResumeBudgetConfig{}, Random(seed)),
      m_health(kEngines),
      m_streams(kStreams) {
  for (std::size_t i = 0; i < kEngines; ++i) {
    SimulatedEngineConfig config;
    config.endpoint = "e" + std::to_string(i);
    config.model = "model";
    config.version = "v1";
    config.first_token = milliseconds(300);
    m_engines.push_back(std::make_unique<SimulatedEngine>(config, m_queue));
  }
  ScheduleFaults(seed);
}

void ResumeSimulation::ScheduleFaults(std::uint64_t seed) {
  Random random(seed * 7919);
  for (int i = 0; i < kFaults; ++i) {
    const TimePoint at(milliseconds(2000 + random() % 12000));
    const auto fault = static_cast<EngineFault>(random() % 4);
    const std::size_t engine = random() % kEngines;
    m_queue.At(at, [this, fault, engine] { Strike(fault, engine); });
  }
}

void ResumeSimulation::Strike(EngineFault fault, std::size_t engine) {
  SimulatedEngine& struck = *m_engines[engine];
  if (struck.Crashed()) return;
  for (std::size_t i = 0; i < m_streams.size(); ++i) {
    Stream& stream = m_streams[i];
    if (stream.ended || stream.engine != engine || stream.interrupted_since) continue;
    if (stream.position == 0) continue;
    stream.interrupted_since = stream.last_token;
    stream.struck_at = m_queue.Now();
    stream.fault = fault;
    ++m_totals->interrupted;
  }
  const auto for_connections = [this, engine](const auto& change) {
    for (std::size_t i = 0; i < m_streams.size(); ++i) {
      for (auto& [number, connection] : m_streams[i].connections) {
        if (connection.engine == engine && connection.open) change(i, number, connection);
      }
    }
  };
  switch (fault) {
    case EngineFault::kCrash:
      struck.Crash();
      for_connections([this](std::size_t stream, std::uint32_t number, Connection& connection) {
        connection.open = false;
        if (connection.silent) return;
        m_queue.After(kLatency, [this, stream, number, attempt = connection.attempt] {
          if (IsBaseline()) return StartBaseline(stream);
          Feed(stream, generation::AttemptFailed{attempt, number, AttemptFailure::kConnectionLost});
        });
      });
      m_queue.After(seconds(20), [&struck] { struck.Restart(); });
      return;
    case EngineFault::kPause:
      struck.Pause();
      m_queue.After(seconds(15), [&struck] { struck.Unpause(); });
      return;
    case EngineFault::kSilent:
      for_connections(
          [](std::size_t, std::uint32_t, Connection& connection) { connection.silent = true; });
      return;
    case EngineFault::kSlow:
      struck.SetSlowFactor(100);
      m_queue.After(seconds(15), [&struck] { struck.SetSlowFactor(1); });
      return;
  }
}

void ResumeSimulation::Run(ResumeTotals& totals) {
  m_totals = &totals;
  for (std::size_t i = 0; i < kStreams; ++i) {
    Stream& stream = m_streams[i];
    stream.prompt = "prompt " + std::to_string(i);
    GenerationConfig config;
    config.model = "model";
    config.max_tokens = kTokens;
    config.service_class =
        m_policy == ResumePolicy::kLatency ? ServiceClass::kLatency : ServiceClass::kResource;
    stream.generation = std::make_unique<Generation>(config, Random(i + 1));
    m_queue.After(milliseconds(m_queue.Draw(2000)), [this, i] {
      if (IsBaseline()) return StartBaseline(i);
      Feed(i, generation::Start{});
    });
  }
  m_queue.RunUntil(TimePoint(std::chrono::minutes(5)));
  for (const Stream& stream : m_streams) {
    totals.delivered += stream.position;
    if (!stream.ended) ++totals.failed;
  }
  for (const auto& engine : m_engines) {
    totals.generated += engine->GeneratedTokens();
    totals.prefilled += engine->PrefilledTokens();
  }
}

void ResumeSimulation::MarkFailed(std::size_t engine) {
  m_health[engine] = Health{true, m_queue.Now() + kAvoidFailed};
}

void ResumeSimulation::Deliver(std::size_t index) {
  Stream& stream = m_streams[index];
  ++stream.position;
  const TimePoint now = m_queue.Now();
  // A token at the usual interval shows that the engine is healthy; one after a pause does not.
  if (now - stream.last_token < kHealthyInterval) m_health[stream.engine].failed = false;
  if (stream.interrupted_since && now > stream.struck_at + 2 * kLatency) {
    const Duration pause = now - *stream.interrupted_since;
    m_totals->latencies_ms[stream.fault].push_back(static_cast<double>(pause.count()) / 1000);
    stream.interrupted_since.reset();
  }
  stream.last_token = now;
}

void ResumeSimulation::Feed(std::size_t index, const Generation::Event& event) {
  std::vector<Generation::Action> actions;
  m_streams[index].generation->Handle(event, m_queue.Now(), actions);
  for (const Generation::Action& action : actions) Do(index, action);
}

void ResumeSimulation::Do(std::size_t index, const Generation::Action& action) {
  Stream& stream = m_streams[index];
  const auto engine_of = [](const EndpointId& endpoint) {
    return static_cast<std::size_t>(endpoint[1] - '0');
  };
  std::visit(Overloaded{[&](const generation::SelectEndpoint& select) { Select(index, select); },
                        [&](const generation::OpenAttempt& open) {
                          const std::size_t engine = engine_of(open.endpoint);
                          const auto refused = [this, index, open] {
                            Feed(index, generation::AttemptFailed{open.attempt, open.connection,
                                                                  AttemptFailure::kNotConnected});
                          };
                          if (!Connect(index, engine, open.attempt, open.connection, refused))
                            return;
                          m_queue.After(kLatency, [this, index, engine, open] {
                            m_engines[engine]->Open({open.stream, m_streams[index].prompt,
                                                     open.seed, open.prefix_tokens.size(), kTokens},
                                                    SinkOf(index, open.connection));
                          });
                        },
                        [&](const generation::ReconnectAttempt& again) {
                          const std::size_t engine = engine_of(again.endpoint);
                          const auto refused = [this, index, again] {
                            Feed(index, generation::AttemptFailed{again.attempt, again.connection,
                                                                  AttemptFailure::kNotConnected});
                          };
                          if (!Connect(index, engine, again.attempt, again.connection, refused))
                            return;
                          m_queue.After(kLatency, [this, index, engine, again] {
                            m_engines[engine]->Reconnect(again.stream, again.from,
                                                         SinkOf(index, again.connection));
                          });
                        },
                        [&](const generation::CloseConnection& close) {
                          stream.connections[close.connection].open = false;
                        },
                        [&](const generation::CancelAttempt& cancel) {
                          if (cancel.silent) MarkFailed(engine_of(cancel.endpoint));
                          for (auto& [number, connection] : stream.connections) {
                            if (connection.attempt == cancel.attempt) connection.open = false;
                          }
                          if (!cancel.at_engine) return;
                          m_queue.After(kLatency,
                                        [this, engine = engine_of(cancel.endpoint),
                                         id = cancel.stream] { m_engines[engine]->Cancel(id); });
                        },
                        [&](const generation::DeliverToken& token) {
                          stream.engine = engine_of(token.point.endpoint);
                          Deliver(index);
                        },
                        [&](const generation::Finish&) {
                          stream.ended = true;
                          ++m_totals->completed;
                        },
                        [&](const generation::SetTimer& timer) {
                          m_queue.At(timer.at, [this, index, id = timer.id] {
                            Feed(index, generation::TimerFired{id, EngineActivity::kUnknown});
                          });
                        },
                        [](const auto&) {}},
             action);
}

std::size_t ResumeSimulation::Choose(const std::vector<EndpointId>& excluded) {
  std::size_t best = m_queue.Draw(kEngines);
  double best_score = 1e9;
  for (std::size_t i = 0; i < kEngines; ++i) {
    const EndpointId& name = m_engines[i]->Config().endpoint;
    double score = static_cast<double>(m_engines[i]->Streams());
    if (std::count(excluded.begin(), excluded.end(), name) > 0) score += 10000;
    if (m_health[i].avoid_until > m_queue.Now()) score += 5000;
    // Resumptions that wait for an engine are not yet counted among its streams.
    score += static_cast<double>(m_budget.Wait("service", name, m_queue.Now()).count()) / 10000;
    score += static_cast<double>(m_queue.Draw(100)) / 100;
    if (score >= best_score) continue;
    best_score = score;
    best = i;
  }
  if (m_health[best].failed) m_health[best].avoid_until = m_queue.Now() + kAvoidFailed;
  return best;
}

void ResumeSimulation::Select(std::size_t index, const generation::SelectEndpoint& action) {
  const std::size_t engine = Choose(action.excluded);
  generation::EndpointSelected selected;
  selected.selection = action.selection;
  selected.endpoint = m_engines[engine]->Config().endpoint;
  selected.version = "v1";
  selected.predicted_wait = milliseconds(460);
  selected.not_before = m_queue.Now();
  if (action.resumption) {
    selected.not_before = m_budget.Take("service", selected.endpoint, m_queue.Now())
                              .value_or(m_queue.Now() + seconds(1));
  }
  m_queue.After(Duration::zero(), [this, index, selected] { Feed(index, selected); });
}

bool ResumeSimulation::Connect(std::size_t index, std::size_t engine, std::uint32_t attempt,
                               std::uint32_t connection, const std::function<void()>& refused) {
  if (m_engines[engine]->Crashed()) {
    MarkFailed(engine);
    m_queue.After(2 * kLatency, refused);
    return false;
  }
  m_streams[index].connections[connection] = Connection{engine, attempt};
  return true;
}

SimulatedEngine::Sink ResumeSimulation::SinkOf(std::size_t index, std::uint32_t number) {
  return [this, index, number](const SimulatedEngine::Message& message) {
    Connection& connection = m_streams[index].connections[number];
    const TimePoint at = std::max(m_queue.Now() + kLatency, connection.last_delivery + Duration(1));
    connection.last_delivery = at;
    m_queue.At(at, [this, index, number, message] { OnMessage(index, number, message); });
  };
}

void ResumeSimulation::OnMessage(std::size_t index, std::uint32_t number,
                                 const SimulatedEngine::Message& message) {
  const Connection& connection = m_streams[index].connections[number];
  if (!connection.open || connection.silent) return;
  const std::uint32_t attempt = connection.attempt;
  if (IsBaseline()) return OnBaselineMessage(index, attempt, message);
  if (const auto* token = std::get_if<simulated_engine::Token>(&message)) {
    Feed(index, generation::TokenReceived{attempt, token->position, token->token});
  } else if (const auto* done = std::get_if<simulated_engine::Done>(&message)) {
    Feed(index, generation::StreamEnded{attempt, done->total});
  } else if (std::holds_alternative<simulated_engine::Head>(message)) {
    Feed(index, generation::Reconnected{attempt, number});
  } else {
    Feed(index, generation::AttemptFailed{attempt, number, AttemptFailure::kStreamNotHeld});
  }
}

void ResumeSimulation::StartBaseline(std::size_t index) {
  Stream& stream = m_streams[index];
  if (stream.ended) return;
  for (auto& [number, connection] : stream.connections) connection.open = false;
  std::vector<EndpointId> excluded;
  if (stream.attempt > 0) {
    MarkFailed(stream.engine);
    m_queue.After(kLatency, [this, engine = stream.engine, id = stream.stream_id] {
      m_engines[engine]->Cancel(id);
    });
    excluded.push_back(m_engines[stream.engine]->Config().endpoint);
  }
  const std::size_t engine = Choose(excluded);
  const std::uint32_t attempt = ++stream.attempt;
  stream.engine = engine;
  stream.stream_id = std::to_string(index) + "-" + std::to_string(attempt);
  stream.last_token = std::max(stream.last_token, m_queue.Now());
  WatchBaseline(index);
  if (!Connect(index, engine, attempt, attempt, [this, index] { StartBaseline(index); })) return;
  const std::uint64_t prefix = m_policy == ResumePolicy::kRestart ? 0 : stream.position;
  m_queue.After(kLatency, [this, index, engine, attempt, prefix, id = stream.stream_id] {
    m_engines[engine]->Open({id, m_streams[index].prompt, 0, prefix, kTokens},
                            SinkOf(index, attempt));
  });
}

void ResumeSimulation::OnBaselineMessage(std::size_t index, std::uint32_t attempt,
                                         const SimulatedEngine::Message& message) {
  Stream& stream = m_streams[index];
  if (attempt != stream.attempt || stream.ended) return;
  if (const auto* token = std::get_if<simulated_engine::Token>(&message)) {
    const TimePoint before = stream.last_token;
    if (token->position > 0) stream.intervals.Add(m_queue.Now() - before);
    stream.last_token = m_queue.Now();
    WatchBaseline(index);
    if (token->position == stream.position) Deliver(index);
  } else if (std::holds_alternative<simulated_engine::Done>(message)) {
    stream.ended = true;
    ++m_totals->completed;
  }
}

void ResumeSimulation::WatchBaseline(std::size_t index) {
  Stream& stream = m_streams[index];
  const std::uint64_t serial = ++stream.timer_serial;
  Duration limit = kFixedTimeoutLength;
  if (m_policy == ResumePolicy::kRestart) {
    limit = stream.position == 0 ? kFirstTokenLimit : stream.intervals.SilenceTimeout();
    // The first token of an attempt also waits for the queue and the prefill.
    limit = std::max(limit, kFirstTokenLimit);
  }
  m_queue.After(limit, [this, index, serial] {
    if (m_streams[index].timer_serial == serial) StartBaseline(index);
  });
}

}  // namespace fulmarpoint
