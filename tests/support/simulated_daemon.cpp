#include "support/simulated_daemon.h"

#include <algorithm>
#include <utility>

#include "utils/overloaded.h"

namespace fulmarpoint {

namespace {

constexpr const char* kScope = "org/service";
constexpr Duration kCallDeadline = std::chrono::seconds(6);
constexpr Duration kSlotReleaseDelay = std::chrono::seconds(2);
constexpr Duration kFailedEndpointCooldown = std::chrono::seconds(1);

CallerMessage ErrorMessage(ResultCode code) {
  CallerMessage message;
  message.kind = CallerMessage::Kind::kError;
  message.code = code;
  return message;
}

CallerMessage AnswerMessage(const CallResponse& answer) {
  CallerMessage message;
  message.kind = CallerMessage::Kind::kAnswer;
  message.status = answer.status;
  message.text = answer.body;
  return message;
}

CallerMessage OutcomeMessage(const ClaimRecord& outcome) {
  if (outcome.state == ClaimState::kDone) return AnswerMessage(outcome.answer);
  return ErrorMessage(ResultCode::kOutcomeUnknown);
}

}  // namespace

SimulatedDaemon::SimulatedDaemon(RequestSimulation& simulation, InstanceId self)
    : m_simulation(simulation),
      m_self(self),
      m_last_session(self.incarnation * 1000),
      m_batcher(ClaimBatcherConfig{}),
      m_issuer(std::move(self), KeyIssuerConfig{}),
      m_budget(ResumeBudgetConfig{}, Random(simulation.queue.Draw(1000))) {}

void SimulatedDaemon::Post(Duration delay, std::function<void()> callback) {
  m_simulation.network.Post(m_self.name, m_simulation.queue.Now() + delay, std::move(callback));
}

SimulatedDaemon::Session* SimulatedDaemon::Find(std::uint64_t id) {
  const auto found = m_sessions.find(id);
  return found == m_sessions.end() ? nullptr : &found->second;
}

std::string SimulatedDaemon::IssueKeyPrefix() { return m_issuer.Issue(m_simulation.queue.Now()); }

std::uint64_t SimulatedDaemon::Accept(const SimulatedRequest& request, Reply reply) {
  const std::uint64_t id = ++m_last_session;
  m_sessions[id].request = request;
  m_sessions[id].reply = [this, id, reply = std::move(reply)](const CallerMessage& message) {
    if (message.kind != CallerMessage::Kind::kToken) m_sessions[id].closed = true;
    reply(message);
  };
  m_simulation.current_daemon = m_self.name;
  m_simulation.RunAtStep(Step::kAdmission, request.name, m_self.name, [this, id] {
    if (m_ended) return;
    if (IsGeneration(m_simulation.Kind())) return StartGeneration(id);
    if (m_simulation.Kind() == ScenarioKind::kCallClaimed) {
      return StartCall(id, CallProtection::kClaimed);
    }
    if (m_simulation.Kind() == ScenarioKind::kCallIdempotent) {
      return StartCall(id, CallProtection::kIdempotent);
    }
    StartIssued(m_sessions[id].request, m_sessions[id].reply);
  });
  return id;
}

void SimulatedDaemon::OnCallerDisconnected(std::uint64_t session) {
  if (Session* found = Find(session)) {
    found->closed = true;
    if (found->generation) HandleGenerationEvent(session, generation::CallerGone{});
    if (found->call) HandleCallEvent(session, call::CallerGone{});
  }
}

void SimulatedDaemon::SetCallerReading(std::uint64_t id, bool reads) {
  Session* session = Find(id);
  if (m_ended || session == nullptr || !session->generation) return;
  session->reads = reads;
  if (!reads) {
    HandleGenerationEvent(id, generation::CallerBufferFull{});
    Post(kSlotReleaseDelay, [this, id] {
      Session* slow = Find(id);
      if (m_ended || slow->reads || slow->generation->Ended()) return;
      std::uint64_t position = slow->generation->NextPosition();
      if (!slow->buffer.empty()) position = slow->buffer.front().position;
      slow->buffer.clear();
      HandleGenerationEvent(id, generation::SlotReleased{position});
    });
    return;
  }
  std::vector<CallerMessage> buffer;
  buffer.swap(session->buffer);
  for (const CallerMessage& message : buffer) SendToCaller(id, message);
  HandleGenerationEvent(id, generation::CallerBufferDrained{});
}

void SimulatedDaemon::HandOff() {
  for (const auto& [id, session] : m_sessions) {
    if (session.generation) HandleGenerationEvent(id, generation::HandOff{});
  }
}

bool SimulatedDaemon::HasOpenRequests() const {
  return std::any_of(m_sessions.begin(), m_sessions.end(),
                     [](const auto& entry) { return !entry.second.closed; });
}

void SimulatedDaemon::SendToCaller(std::uint64_t id, const CallerMessage& message) {
  Session* session = Find(id);
  if (m_ended || session == nullptr) return;
  if (session->reads) return session->reply(message);
  session->buffer.push_back(message);
}

void SimulatedDaemon::StartGeneration(std::uint64_t id) {
  Session& session = m_sessions[id];
  GenerationConfig config;
  config.request = RequestId{1, id};
  config.service_class = m_simulation.Kind() == ScenarioKind::kGenerationResource
                             ? ServiceClass::kResource
                             : ServiceClass::kLatency;
  config.model = RequestSimulation::kModel;
  config.seed = session.request.seed;
  config.max_tokens = RequestSimulation::kTokens;
  config.request_hash = GenerationRequestHash(config.model, "", session.request.body, 0);
  config.prefix_tokens = session.request.prefix_tokens;
  config.resume = session.request.resume;
  if (config.resume && m_simulation.ActiveMutation() == Mutation::kEventIdTooFar) {
    ++config.resume->position;
    config.prefix_tokens.clear();
  }
  session.generation =
      std::make_unique<Generation>(config, Random(m_simulation.queue.Draw(1 << 30)));
  HandleGenerationEvent(id, generation::Start{});
}

void SimulatedDaemon::StartCall(std::uint64_t id, CallProtection protection) {
  Session& session = m_sessions[id];
  CallConfig config;
  config.protection = protection;
  if (m_simulation.ActiveMutation() == Mutation::kRetryAfterFailure) {
    config.protection = CallProtection::kIdempotent;
  }
  config.claim_key = std::string(kScope) + "/" + session.request.key;
  config.claim.claim_token =
      m_self.name + "-" + std::to_string(m_self.incarnation) + "-" + std::to_string(id);
  config.claim.owner = m_self;
  config.claim.request_hash = StableHash(session.request.body);
  config.claim.created = m_simulation.WallTime();
  config.deadline = m_simulation.queue.Now() + kCallDeadline;
  session.call = std::make_unique<Call>(config);
  HandleCallEvent(id, call::Start{});
}

std::uint64_t SimulatedDaemon::StartIssued(const SimulatedRequest& request, const Reply& reply) {
  if (m_ended) return 0;
  const IssuedKeyResult result =
      m_issuer.Begin(kScope, request.key, StableHash(request.body), m_simulation.queue.Now());
  const bool has_other_owner = result.state == IssuedKeyState::kOtherOwner;
  if (has_other_owner && m_simulation.ActiveMutation() != Mutation::kRunKeyOfOtherIssuer) {
    Forward(result.owner, request, reply);
    return 0;
  }
  switch (result.state) {
    case IssuedKeyState::kFinished:
      reply(OutcomeMessage(result.outcome));
      return 0;
    case IssuedKeyState::kRunning:
      m_waiters[request.key].push_back(
          [reply](const ClaimRecord& outcome) { reply(OutcomeMessage(outcome)); });
      return 0;
    case IssuedKeyState::kRun:
    case IssuedKeyState::kOtherOwner:
      break;
    case IssuedKeyState::kReused:
      reply(ErrorMessage(ResultCode::kKeyReused));
      return 0;
    case IssuedKeyState::kExpired:
      reply(ErrorMessage(ResultCode::kKeyExpired));
      return 0;
    case IssuedKeyState::kMalformed:
      reply(ErrorMessage(ResultCode::kBadRequest));
      return 0;
    case IssuedKeyState::kFull:
      reply(ErrorMessage(ResultCode::kMemoryLimit));
      return 0;
  }
  const std::uint64_t id = ++m_last_session;
  m_sessions[id].request = request;
  m_sessions[id].reply = reply;
  // The caller is connected to another session, so a drain need not wait for this one.
  m_sessions[id].closed = true;
  StartCall(id, CallProtection::kIssued);
  return id;
}

void SimulatedDaemon::Forward(const InstanceId& owner, const SimulatedRequest& request,
                              const Reply& reply) {
  const auto unreachable = [reply] { reply(ErrorMessage(ResultCode::kOwnerUnreachable)); };
  if (owner.name == m_self.name) return unreachable();
  VirtualNetwork::ClientCallbacks callbacks;
  callbacks.failed = unreachable;
  callbacks.lost = unreachable;
  callbacks.connected = [this, owner, request, reply](VirtualNetwork::ConnectionId connection) {
    m_simulation.network.Send(connection, true, [this, owner, request, reply, connection] {
      m_simulation.daemons.at(owner.name)
          ->RunIssued(request, [this, reply, connection](const CallerMessage& message) {
            m_simulation.network.Send(connection, false, [reply, message] { reply(message); });
          });
    });
  };
  m_simulation.network.Connect(m_self.name, owner.name, callbacks);
}

void SimulatedDaemon::HandleGenerationEvent(std::uint64_t id, const Generation::Event& event) {
  Session* session = Find(id);
  if (m_ended || session == nullptr || !session->generation) return;
  std::vector<Generation::Action> actions;
  session->generation->Handle(event, m_simulation.queue.Now(), actions);
  for (const Generation::Action& action : actions) {
    std::visit([&](const auto& specific) { Perform(id, specific); }, action);
  }
}

void SimulatedDaemon::HandleCallEvent(std::uint64_t id, const Call::Event& event) {
  Session* session = Find(id);
  if (m_ended || session == nullptr || !session->call) return;
  std::vector<Call::Action> actions;
  session->call->Handle(event, m_simulation.queue.Now(), actions);
  for (const Call::Action& action : actions) {
    std::visit([&](const auto& specific) { Perform(id, specific); }, action);
  }
}

void SimulatedDaemon::HandleBatcherEvent(const ClaimBatcher::Event& event) {
  if (m_ended) return;
  std::vector<ClaimBatcher::Action> actions;
  m_batcher.Handle(event, m_simulation.queue.Now(), actions);
  for (const ClaimBatcher::Action& action : actions) {
    std::visit([&](const auto& specific) { Perform(specific); }, action);
  }
}

std::optional<EndpointId> SimulatedDaemon::ChooseEndpoint(
    const std::vector<EndpointId>& candidates) {
  if (candidates.empty()) return std::nullopt;
  if (m_simulation.IsActive(Fault::kStaleList)) {
    for (const EndpointId& candidate : candidates) {
      if (!m_simulation.network.IsRunning(candidate)) return candidate;
    }
  }
  std::vector<EndpointId> healthy;
  for (const EndpointId& candidate : candidates) {
    if (m_failed_until[candidate] <= m_simulation.queue.Now()) healthy.push_back(candidate);
  }
  const std::vector<EndpointId>& pool = healthy.empty() ? candidates : healthy;
  return pool[m_simulation.queue.Draw(pool.size())];
}

void SimulatedDaemon::Perform(std::uint64_t id, const generation::SelectEndpoint& action) {
  const bool gone = m_simulation.version_gone && action.version == "v1";
  if (gone) {
    Post(Duration::zero(), [this, id, selection = action.selection] {
      HandleGenerationEvent(id, generation::NoEndpoint{selection, true});
    });
    return;
  }
  VersionName version = action.version.value_or(m_simulation.version_gone ? "v2" : "v1");
  const bool other =
      action.resumption && m_simulation.ActiveMutation() == Mutation::kOtherVersionOnResume;
  std::vector<EndpointId> candidates;
  for (const auto& [endpoint, engine] : m_simulation.engines) {
    const bool excluded = std::count(action.excluded.begin(), action.excluded.end(), endpoint) > 0;
    if (!excluded && engine.Config().version == (other ? "v2" : version)) {
      candidates.push_back(endpoint);
    }
  }
  const std::optional<EndpointId> chosen = ChooseEndpoint(candidates);
  generation::EndpointSelected selected;
  selected.selection = action.selection;
  selected.version = version;
  selected.predicted_wait = std::chrono::milliseconds(200);
  selected.endpoint = chosen.value_or("");
  const TimePoint now = m_simulation.queue.Now();
  selected.not_before =
      action.resumption ? m_budget.Take("service", selected.endpoint, now).value_or(now) : now;
  Post(Duration::zero(), [this, id, chosen, selected] {
    if (chosen) return HandleGenerationEvent(id, selected);
    HandleGenerationEvent(id, generation::NoEndpoint{selected.selection});
  });
}

void SimulatedDaemon::ConnectToEngine(
    std::uint64_t id, const EndpointId& endpoint, std::uint32_t attempt, std::uint32_t connection,
    const std::function<void(SimulatedEngine&, SimulatedEngine::Sink)>& send_request) {
  const auto fail = [this, id, endpoint, attempt, connection](AttemptFailure failure) {
    m_failed_until[endpoint] = m_simulation.queue.Now() + kFailedEndpointCooldown;
    HandleGenerationEvent(id, generation::AttemptFailed{attempt, connection, failure});
  };
  const auto lost = [fail] { fail(AttemptFailure::kConnectionLost); };
  const RequestName name = Find(id)->request.name;
  VirtualNetwork::ClientCallbacks callbacks;
  callbacks.failed = [fail] { fail(AttemptFailure::kNotConnected); };
  callbacks.lost = lost;
  callbacks.connected = [this, id, endpoint, attempt, connection, send_request, lost,
                         name](VirtualNetwork::ConnectionId link) {
    Session* session = Find(id);
    session->connections[connection] = link;
    session->attempt_connections.emplace(attempt, connection);
    const SimulatedEngine::Sink sink = [this, id, endpoint, attempt, connection, lost, name,
                                        link](const SimulatedEngine::Message& message) {
      if (const auto* token = std::get_if<simulated_engine::Token>(&message)) {
        m_simulation.InjectFaultsAtToken(token->position, name);
      }
      m_simulation.SendAnswer(
          link, endpoint, m_self.name,
          [this, id, attempt, connection, message] {
            HandleEngineMessage(id, attempt, connection, message);
          },
          lost);
    };
    m_simulation.network.Send(link, true, [this, endpoint, send_request, sink] {
      if (m_simulation.IsActive(Fault::kWrongList)) return sink(simulated_engine::Refused{});
      send_request(m_simulation.engines.at(endpoint), sink);
    });
  };
  m_simulation.network.Connect(m_self.name, endpoint, callbacks);
}

void SimulatedDaemon::Perform(std::uint64_t id, const generation::OpenAttempt& action) {
  const RequestName name = Find(id)->request.name;
  m_simulation.SetCurrentEndpoint(name, action.endpoint);
  SimulatedEngine::StreamRequest request;
  request.stream = action.stream;
  request.prompt = Find(id)->request.body;
  request.seed = action.seed;
  request.prefix_tokens = action.prefix_tokens.size();
  request.total = RequestSimulation::kTokens;
  const bool is_resumption = action.attempt > 1;
  if (is_resumption && m_simulation.ActiveMutation() == Mutation::kOtherSeedOnResume)
    ++request.seed;
  m_simulation.RunAtStep(
      Step::kSend, name, m_self.name, [this, id, action, request, name, is_resumption] {
        if (m_ended) return;
        ConnectToEngine(id, action.endpoint, action.attempt, action.connection,
                        [this, request, name, is_resumption](SimulatedEngine& engine,
                                                             const SimulatedEngine::Sink& sink) {
                          m_simulation.OpenStream(engine, request, sink, name, is_resumption);
                        });
      });
}

void SimulatedDaemon::Perform(std::uint64_t id, const generation::ReconnectAttempt& action) {
  ConnectToEngine(id, action.endpoint, action.attempt, action.connection,
                  [action](SimulatedEngine& engine, const SimulatedEngine::Sink& sink) {
                    engine.Reconnect(action.stream, action.from, sink);
                  });
}

void SimulatedDaemon::Perform(std::uint64_t id, const generation::CloseConnection& action) {
  m_simulation.network.Close(Find(id)->connections[action.connection]);
}

void SimulatedDaemon::Perform(std::uint64_t id, const generation::CancelAttempt& action) {
  Session* session = Find(id);
  const auto [first, last] = session->attempt_connections.equal_range(action.attempt);
  for (auto entry = first; entry != last; ++entry) {
    m_simulation.network.Close(session->connections[entry->second]);
  }
  if (!action.at_engine) return;
  VirtualNetwork::ClientCallbacks callbacks;
  callbacks.failed = callbacks.lost = [] {};
  callbacks.connected = [this, action](VirtualNetwork::ConnectionId link) {
    m_simulation.network.Send(link, true, [this, action] {
      m_simulation.engines.at(action.endpoint).Cancel(action.stream);
    });
  };
  m_simulation.network.Connect(m_self.name, action.endpoint, callbacks);
}

void SimulatedDaemon::HandleEngineMessage(std::uint64_t id, std::uint32_t attempt,
                                          std::uint32_t connection,
                                          const SimulatedEngine::Message& message) {
  Session* session = Find(id);
  if (m_ended || session == nullptr) return;
  const Mutation mutation = m_simulation.ActiveMutation();
  const std::uint64_t next = session->generation->NextPosition();
  if (mutation == Mutation::kAcceptAnyAttempt) attempt = session->generation->Point().attempt;
  std::visit(
      Overloaded{
          [&](const simulated_engine::Head&) {
            HandleGenerationEvent(id, generation::Reconnected{attempt, connection});
          },
          [&](const simulated_engine::Refused&) {
            HandleGenerationEvent(
                id, generation::AttemptFailed{attempt, connection, AttemptFailure::kRefused});
          },
          [&](const simulated_engine::NotHeld&) {
            HandleGenerationEvent(
                id, generation::AttemptFailed{attempt, connection, AttemptFailure::kStreamNotHeld});
          },
          [&](const simulated_engine::Token& token) {
            const bool any = mutation == Mutation::kAcceptAnyPosition;
            HandleGenerationEvent(
                id, generation::TokenReceived{attempt, any ? next : token.position, token.token});
          },
          [&](const simulated_engine::Done& done) {
            const bool early = mutation == Mutation::kFinishEarly;
            HandleGenerationEvent(id, generation::StreamEnded{attempt, early ? next : done.total});
          }},
      message);
}

void SimulatedDaemon::Perform(std::uint64_t id, const generation::DeliverToken& action) {
  CallerMessage message;
  message.kind = CallerMessage::Kind::kToken;
  message.position = action.position;
  message.text = action.token;
  message.point = action.point;
  SendToCaller(id, message);
}

void SimulatedDaemon::Perform(std::uint64_t id, const generation::Finish& action) {
  CallerMessage message;
  message.kind = CallerMessage::Kind::kDone;
  message.position = action.total;
  m_simulation.RunAtStep(Step::kAnswer, Find(id)->request.name, m_self.name,
                         [this, id, message] { SendToCaller(id, message); });
}

void SimulatedDaemon::Perform(std::uint64_t id, const generation::Fail& action) {
  SendToCaller(id, ErrorMessage(action.code));
}

void SimulatedDaemon::Perform(std::uint64_t id, const generation::Move&) {
  CallerMessage message;
  message.kind = CallerMessage::Kind::kMove;
  SendToCaller(id, message);
}

void SimulatedDaemon::Perform(std::uint64_t id, const generation::SetTimer& action) {
  m_simulation.network.Post(m_self.name, action.at, [this, id, timer = action.id] {
    HandleGenerationEvent(id, generation::TimerFired{timer, EngineActivity::kUnknown});
  });
}

}  // namespace fulmarpoint
