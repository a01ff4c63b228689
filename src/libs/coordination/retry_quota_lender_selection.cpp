#include "coordination/retry_quota_lender_selection.h"

#include <algorithm>
#include <utility>

namespace fulmarpoint {

std::vector<PeerRecord> RetryQuotaLenderSelection::SelectLenders(std::vector<PeerRecord> neighbours,
                                                                 TimePoint now,
                                                                 Random& random) const {
  if (now < m_rests_until) return {};
  std::shuffle(neighbours.begin(), neighbours.end(), random);
  neighbours.resize(std::min(neighbours.size(), m_options.most_lenders));
  return neighbours;
}

}  // namespace fulmarpoint
