#include "server/credit_sources.h"

#include <map>
#include <utility>

#include "protocol/peer_frame.h"
#include "server/catalogue_view.h"
#include "server/dispatcher.h"
#include "server/endpoint_registry.h"
#include "server/peer_service.h"
#include "state/admission_table.h"
#include "utils/metrics.h"

namespace fulmarpoint {

namespace {

constexpr Duration kRequestTimeout = std::chrono::milliseconds(800);

/// Endpoints that neither are leaving nor have failed, with the services of the catalogue that they
/// can run.
std::vector<CreditEndpoint> ListEndpoints(const Services& services) {
  std::map<EndpointId, CreditEndpoint> endpoints;
  for (const auto& [name, service] : services.catalogue.Current()->services) {
    for (const EndpointCandidate& candidate : services.endpoints.Candidates(*service->entry)) {
      const EndpointHealthView& health = candidate.route.health;
      // An endpoint that takes no new work should not hold spare credits.
      if (health.state == EndpointState::kLeaving) continue;
      if (health.state == EndpointState::kFailed) continue;
      CreditEndpoint& endpoint = endpoints[candidate.route.endpoint];
      endpoint.id = candidate.route.endpoint;
      endpoint.slots = health.slots;
      endpoint.active = health.active;
      endpoint.queued = health.queued;
      // An engine with several versions is a candidate for each of them.
      if (endpoint.services.empty() || endpoint.services.back() != name) {
        endpoint.services.push_back(name);
      }
    }
  }
  std::vector<CreditEndpoint> list;
  list.reserve(endpoints.size());
  for (auto& [id, endpoint] : endpoints) list.push_back(std::move(endpoint));
  return list;
}

std::vector<std::string> ListDaemons(const Services& services) {
  std::vector<std::string> names;
  for (const ListedInstance& instance : services.endpoints.Daemons()) {
    if (!instance.leaving) names.push_back(instance.name);
  }
  return names;
}

Task<void> SendRequest(Services& services, PeerService& peers, std::string address,
                       std::string body, std::function<void(std::string_view)> answer) {
  PeerFrame frame;
  frame.kind = PeerFrameKind::kCredits;
  frame.body = std::move(body);
  const PeerAnswer received =
      co_await peers.Request(std::move(address), std::move(frame), kRequestTimeout);
  services.metrics.Count("credit_answers", received.error ? "failed" : "ok");
  if (!received.error) answer(received.body);
}

}  // namespace

CreditDriver::Sources MakeCreditSources(Services& services, AdmissionTable& admission,
                                        PeerService& peers) {
  CreditDriver::Sources sources;
  sources.endpoints = [&services]() { return ListEndpoints(services); };
  sources.listed_daemons = [&services]() { return ListDaemons(services); };
  sources.waiting = [&services, &admission](const ServiceName& service) {
    return static_cast<int>(admission.LoadOf(service).waiting) +
           services.dispatcher.CreditDemand(service);
  };
  sources.send_request = [&services, &peers](const std::string& address, std::string body,
                                             std::function<void(std::string_view)> answer) {
    Spawn(MakeStrand(services.executor),
          [&services, &peers, address, body = std::move(body), answer = std::move(answer)]() {
            return SendRequest(services, peers, address, body, answer);
          });
  };
  sources.now = []() { return SteadyNow(); };
  return sources;
}

}  // namespace fulmarpoint
