#pragma once

#include <atomic>

#include "protocol/event_id.h"
#include "protocol/identifiers.h"
#include "server/catalogue_view.h"
#include "server/settings.h"
#include "transport/task.h"

namespace fulmarpoint {

class BurnTable;
class Dispatcher;
class EndpointRegistry;
class HttpClient;
class InstanceListClient;
class LookupDirectory;
class Metrics;
class ObjectClient;
class RequestLog;
struct RequestDrivers;
class RolloutTable;
class RunningRequests;
class TableClient;

/// Dependencies that the drivers share. Created once by `Daemon`, outlives all drivers. Every
/// member is thread-safe.
///
/// The drivers use it as follows:
/// - `generation_session.h`, `call_session.h`: one coroutine for each request, on the strand of its
///   connection; they choose endpoints with `dispatcher`.
/// - `PeerService` and `ControlPlaneDriver`: objects that `Daemon` owns, started after the clients;
///   `ControlPlaneDriver` calls `catalogue.Apply`, `catalogue.SetFreshness` and
///   `lookup.SetDaemons`.
struct Services {
  const Settings& settings;
  /// Identity of this process.
  const InstanceId self;
  /// Executor of the worker threads; use `MakeStrand` on it.
  const Executor executor;
  HttpClient& http;
  TableClient& tables;
  ObjectClient& objects;
  InstanceListClient& instances;
  EndpointRegistry& endpoints;
  Dispatcher& dispatcher;
  CatalogueView& catalogue;
  LookupDirectory& lookup;
  Metrics& metrics;
  RequestLog& request_log;
  RunningRequests& running;
  RolloutTable& rollouts;
  BurnTable& burn;
  const EventIdCodec& event_ids;
  RequestDrivers& drivers;
};

}  // namespace fulmarpoint
