#pragma once

#include "server/credit_driver.h"
#include "server/services.h"

namespace fulmarpoint {

class AdmissionTable;
class PeerService;

/// Returns the inputs of the credit driver. The arguments must outlive the driver.
CreditDriver::Sources MakeCreditSources(Services& services, AdmissionTable& admission,
                                        PeerService& peers);

}  // namespace fulmarpoint
