#pragma once

#include <memory>

#include "server/services.h"

namespace fulmarpoint {

/// Reads the catalogue from the table service at short intervals. Stands in for the catalogue
/// replica until that is driven. Thread-safe.
class CatalogueLoader {
 public:
  explicit CatalogueLoader(Services& services);
  ~CatalogueLoader();
  CatalogueLoader(const CatalogueLoader&) = delete;
  CatalogueLoader& operator=(const CatalogueLoader&) = delete;

  void Start();
  void Stop();

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace fulmarpoint
