#pragma once

namespace fulmarpoint {

class AdminRoutes;
class ControlPlaneDriver;
struct Services;

/// Registers `GET` and `PUT /v1/admin/catalogue`, `GET /v1/admin/catalogue/history` and
/// `GET /v1/admin/members`. All arguments must outlive `routes`.
void RegisterCatalogueRoutes(AdminRoutes& routes, Services& services, ControlPlaneDriver& control);

}  // namespace fulmarpoint
