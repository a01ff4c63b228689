#include "coordination/retry_quota_lender_selection.h"

#include <algorithm>
#include <utility>

namespace fulmarpoint {

std::vector<PeerRecord> RetryQuotaLenderSelection::SelectLenders(std::vector<PeerRecord> neighbours,
                                                                 TimePoint now,
                                                                 Random& random) const {
  if (now < m_cool_down_until) return {};
  std::shuffle(neighbours.begin(), neighbours.end(), random);
  neighbours.resize(std::min(neighbours.size(), m_options.max_lenders));
  return neighbours;
}

}  // namespace fulmarpoint
