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

/// State of one member for operators.
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
  Duration confirmation_age{};
  bool is_confirmed = false;
  VoterSet voters;
  CatalogueReplica::Counters counters;
  std::size_t state_bytes = 0;
  std::vector<CatalogueEntryPtr> entries;
};

/// Performs the I/O of `ControlPlane` with `PeerService`, the table service and the instance list.
/// Publishes revisions to `services.catalogue` and members to `services.lookup`. Handles all events
/// on one strand, so that no lock is needed. Thread-safe.
class ControlPlaneDriver {
 public:
  using GossipHandler = std::function<void(const GossipMessage&)>;
  using MemberHandler = std::function<void(const MemberUpdate&)>;

  ControlPlaneDriver(Services& services, PeerService& peers, ControlPlane::Options options = {});
  ~ControlPlaneDriver();
  ControlPlaneDriver(const ControlPlaneDriver&) = delete;
  ControlPlaneDriver& operator=(const ControlPlaneDriver&) = delete;

  /// Sets the handler of gossip messages of one topic; called on the strand. Call before `Start`.
  void SetGossipHandler(GossipTopic topic, GossipHandler handler);
  /// Sets the handler of member changes; called on the strand. Call before `Start`.
  void SetMemberHandler(MemberHandler handler);
  /// Sets the handler that is called when another process has taken this daemon's name. Call before
  /// `Start`.
  void SetSupersededHandler(std::function<void()> handler);

  /// Starts the peer service and the control plane. `http_address` is "ip:port" of the HTTP
  /// service.
  std::error_code Start(const std::string& http_address);
  void Stop();

  /// Sends a message to all daemons by gossip.
  void Publish(GossipMessage message);
  /// Announces that this daemon is leaving, and at the end (`gone`) that it has left.
  void Leave(bool gone);
  /// Returns whether new work may be accepted now, without regard to `when_stale`.
  bool AcceptsWork() const;

  /// Applies an operator's change of the catalogue and returns the result.
  Task<ApplyReport> Apply(CatalogueWriter::Apply change);
  Task<ControlPlaneStatus> Status();

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace fulmarpoint
