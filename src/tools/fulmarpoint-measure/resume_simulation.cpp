#include "resume_simulation.h"

#include <algorithm>
#include <variant>

#include "utils/overloaded.h"

namespace fulmarpoint {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kEngineCount = 8;
constexpr std::size_t kStreamCount = 120;
constexpr std::uint64_t kTokensPerStream = 600;
constexpr Duration kNetworkLatency = milliseconds(1);
constexpr Duration kFixedStallTimeout = seconds(10);
constexpr Duration kFirstTokenTimeout = milliseconds(1460);
constexpr Duration kFailureCooldown = seconds(5);
constexpr Duration kHealthyInterval = milliseconds(100);
constexpr int kFaultCount = 4;

}  // namespace

ResumeSimulation::ResumeSimulation(ResumePolicy policy, std::uint64_t seed)
    : m_policy(policy),
      m_queue(seed),
      m_budget(ResumeBudgetConfig{}, Random(seed)),
      m_health(kEngineCount),
      m_streams(kStreamCount) {
  for (std::size_t i = 0; i < kEngineCount; ++i) {
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
  for (int i = 0; i < kFaultCount; ++i) {
    const TimePoint at(milliseconds(2000 + random() % 12000));
    const auto fault = static_cast<EngineFault>(random() % 4);
    const std::size_t engine = random() % kEngineCount;
    m_queue.At(at, [this, fault, engine] { InjectFault(fault, engine); });
  }
}

void ResumeSimulation::InjectFault(EngineFault fault, std::size_t engine) {
  SimulatedEngine& faulty = *m_engines[engine];
  if (faulty.Crashed()) return;
  for (std::size_t i = 0; i < m_streams.size(); ++i) {
    Stream& stream = m_streams[i];
    if (stream.ended || stream.engine != engine || stream.last_token_before_fault) continue;
    if (stream.position == 0) continue;
    stream.last_token_before_fault = stream.last_token;
    stream.fault_time = m_queue.Now();
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
      faulty.Crash();
      for_connections([this](std::size_t stream, std::uint32_t number, Connection& connection) {
        connection.open = false;
        if (connection.stalled) return;
        m_queue.After(kNetworkLatency, [this, stream, number, attempt = connection.attempt] {
          if (IsBaseline()) return StartBaseline(stream);
          HandleEvent(stream,
                      generation::AttemptFailed{attempt, number, AttemptFailure::kConnectionLost});
        });
      });
      m_queue.After(seconds(20), [&faulty] { faulty.Restart(); });
      return;
    case EngineFault::kEnginePause:
      faulty.Pause();
      m_queue.After(seconds(15), [&faulty] { faulty.Unpause(); });
      return;
    case EngineFault::kStalledConnections:
      for_connections(
          [](std::size_t, std::uint32_t, Connection& connection) { connection.stalled = true; });
      return;
    case EngineFault::kSlow:
      faulty.SetSlowFactor(100);
      m_queue.After(seconds(15), [&faulty] { faulty.SetSlowFactor(1); });
      return;
  }
}

void ResumeSimulation::Run(ResumeTotals& totals) {
  m_totals = &totals;
  for (std::size_t i = 0; i < kStreamCount; ++i) {
    Stream& stream = m_streams[i];
    stream.prompt = "prompt " + std::to_string(i);
    GenerationConfig config;
    config.model = "model";
    config.max_tokens = kTokensPerStream;
    config.service_class =
        m_policy == ResumePolicy::kLatency ? ServiceClass::kLatency : ServiceClass::kResource;
    stream.generation = std::make_unique<Generation>(config, Random(i + 1));
    m_queue.After(milliseconds(m_queue.Draw(2000)), [this, i] {
      if (IsBaseline()) return StartBaseline(i);
      HandleEvent(i, generation::Start{});
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
  m_health[engine] = Health{true, m_queue.Now() + kFailureCooldown};
}

void ResumeSimulation::Deliver(std::size_t index) {
  Stream& stream = m_streams[index];
  ++stream.position;
  const TimePoint now = m_queue.Now();
  // A token at the usual interval shows that the engine is healthy; one after a pause does not.
  // The baseline policies update `last_token` before the call, so there every token counts.
  if (now - stream.last_token < kHealthyInterval) m_health[stream.engine].failed = false;
  if (stream.last_token_before_fault && now > stream.fault_time + 2 * kNetworkLatency) {
    const Duration pause = now - *stream.last_token_before_fault;
    m_totals->latencies_ms[stream.fault].push_back(static_cast<double>(pause.count()) / 1000);
    stream.last_token_before_fault.reset();
  }
  stream.last_token = now;
}

void ResumeSimulation::HandleEvent(std::size_t index, const Generation::Event& event) {
  std::vector<Generation::Action> actions;
  m_streams[index].generation->Handle(event, m_queue.Now(), actions);
  for (const Generation::Action& action : actions) Execute(index, action);
}

void ResumeSimulation::Execute(std::size_t index, const Generation::Action& action) {
  Stream& stream = m_streams[index];
  const auto engine_of = [](const EndpointId& endpoint) {
    return static_cast<std::size_t>(endpoint[1] - '0');
  };
  std::visit(
      Overloaded{[&](const generation::SelectEndpoint& select) { SelectEngine(index, select); },
                 [&](const generation::OpenAttempt& open) {
                   const std::size_t engine = engine_of(open.endpoint);
                   const auto refused = [this, index, open] {
                     HandleEvent(index, generation::AttemptFailed{open.attempt, open.connection,
                                                                  AttemptFailure::kNotConnected});
                   };
                   if (!Connect(index, engine, open.attempt, open.connection, refused)) return;
                   m_queue.After(kNetworkLatency, [this, index, engine, open] {
                     m_engines[engine]->Open({open.stream, m_streams[index].prompt, open.seed,
                                              open.prefix_tokens.size(), kTokensPerStream},
                                             MakeSink(index, open.connection));
                   });
                 },
                 [&](const generation::ReconnectAttempt& again) {
                   const std::size_t engine = engine_of(again.endpoint);
                   const auto refused = [this, index, again] {
                     HandleEvent(index, generation::AttemptFailed{again.attempt, again.connection,
                                                                  AttemptFailure::kNotConnected});
                   };
                   if (!Connect(index, engine, again.attempt, again.connection, refused)) return;
                   m_queue.After(kNetworkLatency, [this, index, engine, again] {
                     m_engines[engine]->Reconnect(again.stream, again.from,
                                                  MakeSink(index, again.connection));
                   });
                 },
                 [&](const generation::CloseConnection& close) {
                   stream.connections[close.connection].open = false;
                 },
                 [&](const generation::CancelAttempt& cancel) {
                   if (cancel.stalled) MarkFailed(engine_of(cancel.endpoint));
                   for (auto& [number, connection] : stream.connections) {
                     if (connection.attempt == cancel.attempt) connection.open = false;
                   }
                   if (!cancel.at_engine) return;
                   m_queue.After(kNetworkLatency,
                                 [this, engine = engine_of(cancel.endpoint), id = cancel.stream] {
                                   m_engines[engine]->Cancel(id);
                                 });
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
                     HandleEvent(index, generation::TimerFired{id, EngineActivity::kUnknown});
                   });
                 },
                 [](const auto&) {}},
      action);
}

std::size_t ResumeSimulation::ChooseEngine(const std::vector<EndpointId>& excluded) {
  std::size_t best = m_queue.Draw(kEngineCount);
  double lowest_penalty = 1e9;
  for (std::size_t i = 0; i < kEngineCount; ++i) {
    const EndpointId& name = m_engines[i]->Config().endpoint;
    double penalty = static_cast<double>(m_engines[i]->Streams());
    if (std::count(excluded.begin(), excluded.end(), name) > 0) penalty += 10000;
    if (m_health[i].cooldown_until > m_queue.Now()) penalty += 5000;
    // Resumptions that wait for an engine are not yet counted among its streams.
    penalty += static_cast<double>(m_budget.Wait("service", name, m_queue.Now()).count()) / 10000;
    penalty += static_cast<double>(m_queue.Draw(100)) / 100;
    if (penalty >= lowest_penalty) continue;
    lowest_penalty = penalty;
    best = i;
  }
  if (m_health[best].failed) m_health[best].cooldown_until = m_queue.Now() + kFailureCooldown;
  return best;
}

void ResumeSimulation::SelectEngine(std::size_t index, const generation::SelectEndpoint& action) {
  const std::size_t engine = ChooseEngine(action.excluded);
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
  m_queue.After(Duration::zero(), [this, index, selected] { HandleEvent(index, selected); });
}

bool ResumeSimulation::Connect(std::size_t index, std::size_t engine, std::uint32_t attempt,
                               std::uint32_t connection, const std::function<void()>& refused) {
  if (m_engines[engine]->Crashed()) {
    MarkFailed(engine);
    m_queue.After(2 * kNetworkLatency, refused);
    return false;
  }
  m_streams[index].connections[connection] = Connection{engine, attempt};
  return true;
}

SimulatedEngine::Sink ResumeSimulation::MakeSink(std::size_t index, std::uint32_t number) {
  return [this, index, number](const SimulatedEngine::Message& message) {
    Connection& connection = m_streams[index].connections[number];
    const TimePoint at =
        std::max(m_queue.Now() + kNetworkLatency, connection.last_delivery + Duration(1));
    connection.last_delivery = at;
    m_queue.At(at, [this, index, number, message] { OnMessage(index, number, message); });
  };
}

void ResumeSimulation::OnMessage(std::size_t index, std::uint32_t number,
                                 const SimulatedEngine::Message& message) {
  const Connection& connection = m_streams[index].connections[number];
  if (!connection.open || connection.stalled) return;
  const std::uint32_t attempt = connection.attempt;
  if (IsBaseline()) return OnBaselineMessage(index, attempt, message);
  if (const auto* token = std::get_if<simulated_engine::Token>(&message)) {
    HandleEvent(index, generation::TokenReceived{attempt, token->position, token->token});
  } else if (const auto* done = std::get_if<simulated_engine::Done>(&message)) {
    HandleEvent(index, generation::StreamEnded{attempt, done->total});
  } else if (std::holds_alternative<simulated_engine::Head>(message)) {
    HandleEvent(index, generation::Reconnected{attempt, number});
  } else {
    HandleEvent(index, generation::AttemptFailed{attempt, number, AttemptFailure::kStreamNotHeld});
  }
}

void ResumeSimulation::StartBaseline(std::size_t index) {
  Stream& stream = m_streams[index];
  if (stream.ended) return;
  for (auto& [number, connection] : stream.connections) connection.open = false;
  std::vector<EndpointId> excluded;
  if (stream.attempt > 0) {
    MarkFailed(stream.engine);
    m_queue.After(kNetworkLatency, [this, engine = stream.engine, id = stream.stream_id] {
      m_engines[engine]->Cancel(id);
    });
    excluded.push_back(m_engines[stream.engine]->Config().endpoint);
  }
  const std::size_t engine = ChooseEngine(excluded);
  const std::uint32_t attempt = ++stream.attempt;
  stream.engine = engine;
  stream.stream_id = std::to_string(index) + "-" + std::to_string(attempt);
  stream.last_token = std::max(stream.last_token, m_queue.Now());
  RestartBaselineTimer(index);
  if (!Connect(index, engine, attempt, attempt, [this, index] { StartBaseline(index); })) return;
  const std::uint64_t prefix = m_policy == ResumePolicy::kRestart ? 0 : stream.position;
  m_queue.After(kNetworkLatency, [this, index, engine, attempt, prefix, id = stream.stream_id] {
    m_engines[engine]->Open({id, m_streams[index].prompt, 0, prefix, kTokensPerStream},
                            MakeSink(index, attempt));
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
    RestartBaselineTimer(index);
    if (token->position == stream.position) Deliver(index);
  } else if (std::holds_alternative<simulated_engine::Done>(message)) {
    stream.ended = true;
    ++m_totals->completed;
  }
}

void ResumeSimulation::RestartBaselineTimer(std::size_t index) {
  Stream& stream = m_streams[index];
  const std::uint64_t serial = ++stream.timer_serial;
  Duration limit = kFixedStallTimeout;
  if (m_policy == ResumePolicy::kRestart) {
    limit = stream.position == 0 ? kFirstTokenTimeout : stream.intervals.StallTimeout();
    // The first token of an attempt also waits for the queue and the prefill.
    limit = std::max(limit, kFirstTokenTimeout);
  }
  m_queue.After(limit, [this, index, serial] {
    if (m_streams[index].timer_serial == serial) StartBaseline(index);
  });
}

}  // namespace fulmarpoint
