#pragma once

#include <functional>
#include <memory>
#include <string>
#include <system_error>
#include <vector>

#include "coordination/control_plane.h"
#include "server/peer_service.h"
#include "server/services.h"
#include "transport/task.h"

namespace fulmarpoint {

/// What operators see of one member.
struct MemberStatus {
  Member member;
  bool gone = false;
};

/// State of the control plane for operators.
struct ControlPlaneStatus {
  MemberUpdate self;
  std::vector<MemberStatus> members;
  std::uint64_t revision = 0;
  bool accepts_work = false;
  Duration proof_age{};
  bool has_proof = false;
  VoterSet voters;
  CatalogueReplica::Counters counters;
  std::size_t state_bytes = 0;
  std::vector<CatalogueEntryPtr> entries;
};

/// Drives the control plane of this daemon with the sockets of `PeerService`, the table service and
/// the instance list. Puts revisions into `services.catalogue` and members into `services.lookup`.
/// All events are handled on one strand, so no lock is held. Thread-safe.
class ControlPlaneDriver {
 public:
  using NoticeHandler = std::function<void(const GossipMessage&)>;
  using MemberHandler = std::function<void(const MemberUpdate&)>;

  ControlPlaneDriver(Services& services, PeerService& peers, ControlPlane::Options options = {});
  ~ControlPlaneDriver();
  ControlPlaneDriver(const ControlPlaneDriver&) = delete;
  ControlPlaneDriver& operator=(const ControlPlaneDriver&) = delete;

  /// Receives notices of one topic from peers; called on the strand. Set before `Start`.
  void SetNoticeHandler(GossipTopic topic, NoticeHandler handler);
  /// Receives each change of a member; called on the strand. Set before `Start`.
  void SetMemberHandler(MemberHandler handler);
  /// Called when another process has taken this daemon's name. Set before `Start`.
  void SetSupersededHandler(std::function<void()> handler);

  /// Starts the peer service and the control plane. `http_address` is "ip:port" of the HTTP
  /// service.
  std::error_code Start(const std::string& http_address);
  void Stop();

  /// Spreads a message to all daemons.
  void Publish(GossipMessage message);
  /// Announces that this daemon is leaving, and at the end (`gone`) that it has left.
  void Leave(bool gone);
  /// Returns whether new work may be taken now, apart from `when_stale`.
  bool AcceptsWork() const;

  /// Applies a change of an operator and completes with the answer.
  Task<ApplyReport> Apply(CatalogueWriter::Apply change);
  Task<ControlPlaneStatus> Status();

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace fulmarpoint
