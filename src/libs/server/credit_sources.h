#pragma once

#include "server/credit_driver.h"
#include "server/services.h"

namespace fulmarpoint {

class AdmissionTable;
class PeerService;

/// Returns what the credit driver of a daemon asks for. The arguments outlive the driver.
CreditDriver::Sources MakeCreditSources(Services& services, AdmissionTable& admission,
                                        PeerService& peers);

}  // namespace fulmarpoint
