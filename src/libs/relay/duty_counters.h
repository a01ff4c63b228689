#pragma once

#include <map>
#include <vector>

#include "coordination/usage_ledger.h"
#include "protocol/duty_messages.h"
#include "relay/relay_settings.h"

namespace fulmarpoint {

struct RelayContext;

/// What this daemon counts for the singleton duties: the requests that began to run, by
/// organisation, and the load on each service's engines. Used on the daemon's thread.
class DutyCounters {
 public:
  DutyCounters(InstanceId self, const DutySettings& settings)
      : m_ledger(std::move(self), settings.usage_window) {}

  /// A request of the organisation began to run `age` ago. Requests without an organisation are not
  /// counted.
  void OnBegun(const OrganisationId& organisation, Duration age);
  /// A prompt was sent to an engine that has to read it.
  void OnPromptSent(const ServiceName& service, std::int64_t tokens);
  /// The first event of a stream arrived; `is_late` if after the route's objective.
  void OnFirstEvent(const ServiceName& service, bool is_late);

  /// Returns the load on the services with model engines. `context` is not changed.
  std::vector<ServiceLoad> Loads(RelayContext& context) const;
  UsageLedger& Ledger() { return m_ledger; }

 private:
  UsageLedger m_ledger;
  std::map<ServiceName, ServiceLoad> m_loads;
};

}  // namespace fulmarpoint
