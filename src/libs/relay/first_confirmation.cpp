#include "relay/first_confirmation.h"

#include <algorithm>
#include <utility>

#include "coordination/restored_configuration.h"
#include "relay/replica_client.h"
#include "transport/notification.h"
#include "utils/logging.h"

namespace fulmarpoint {

namespace {

constexpr std::size_t kMaxPeers = 3;
constexpr Duration kRoundInterval = std::chrono::milliseconds(200);
// A peer may doubt for another reason, for example because it has lost the store.
constexpr Duration kMaxDoubt = 2 * RestoredConfigurationCheck::kRewriteTime;

/// The replies of the peers that are asked at the same time.
struct Round {
  explicit Round(const Executor& executor) : all_replied(executor) {}

  std::size_t pending = 0;
  std::vector<PeerOpinion> opinions;
  Notification all_replied;

  bool Has(PeerOpinion opinion) const {
    return std::find(opinions.begin(), opinions.end(), opinion) != opinions.end();
  }
};

}  // namespace

struct FirstConfirmation::State : std::enable_shared_from_this<FirstConfirmation::State> {
  State(const Executor& own_executor, ReplicaClient& own_client)
      : executor(own_executor), client(own_client) {}

  Task<void> Run();
  Task<void> Ask(std::shared_ptr<Round> round, std::string peer);

  const Executor executor;
  ReplicaClient& client;
  Options options;
  StorePosition read;
  std::function<std::vector<std::string>()> peers;
  std::function<void()> on_done;
  bool started = false;
  bool stopped = false;
  bool done = false;
};

Task<void> FirstConfirmation::State::Run() {
  const std::shared_ptr<State> self = shared_from_this();
  const TimePoint give_up = SteadyNow() + kMaxDoubt;
  bool is_doubtful = true;
  while (is_doubtful && !stopped) {
    const std::shared_ptr<Round> round = std::make_shared<Round>(executor);
    std::vector<std::string> asked = peers();
    asked.resize(std::min(asked.size(), kMaxPeers));
    round->pending = asked.size();
    for (const std::string& peer : asked) {
      Spawn(executor, [self, round, peer]() { return self->Ask(round, peer); });
    }
    if (!asked.empty()) co_await round->all_replied.Wait();
    if (stopped) co_return;
    is_doubtful = round->Has(PeerOpinion::kDoubtful) && !round->Has(PeerOpinion::kConfirmed) &&
                  SteadyNow() < give_up;
    if (!is_doubtful) break;
    Log(LogLevel::kWarning, "configuration_doubted",
        {{"epoch", read.epoch}, {"version", read.version}, {"peers", asked.size()}});
    co_await Sleep(kRoundInterval);
  }
  if (stopped) co_return;
  done = true;
  on_done();
}

Task<void> FirstConfirmation::State::Ask(std::shared_ptr<Round> round, std::string peer) {
  const std::shared_ptr<State> self = shared_from_this();
  const StoreReply reply =
      co_await client.FetchChanges(std::move(peer), options.table, read, Duration::zero());
  round->opinions.push_back(OpinionOf(reply, read.epoch, options.max_age));
  if (--round->pending == 0) round->all_replied.Notify();
}

FirstConfirmation::FirstConfirmation(const Executor& executor, ReplicaClient& replica_client)
    : m_state(std::make_shared<State>(executor, replica_client)) {}

FirstConfirmation::~FirstConfirmation() { m_state->stopped = true; }

void FirstConfirmation::Start(Options options, StorePosition read,
                              std::function<std::vector<std::string>()> peers,
                              std::function<void()> on_done) {
  m_state->options = std::move(options);
  m_state->read = read;
  m_state->peers = std::move(peers);
  m_state->on_done = std::move(on_done);
  m_state->started = true;
  Spawn(m_state->executor, [state = m_state]() { return state->Run(); });
}

void FirstConfirmation::Skip() {
  m_state->started = true;
  m_state->done = true;
}

bool FirstConfirmation::IsStarted() const { return m_state->started; }

bool FirstConfirmation::IsDone() const { return m_state->done; }

}  // namespace fulmarpoint
