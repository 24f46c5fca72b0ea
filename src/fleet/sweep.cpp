#include "sweep.hpp"

#include <utility>

namespace fennellane::fleet {

std::vector<Registration> Sweep::find_stale(Time now, const std::vector<Registration>& all) {
  std::vector<Registration> stale;
  decltype(critical_since_) critical;
  for (const Registration& r : all) {
    if (!r.critical || r.check.empty()) continue;  // without a check of its own nothing tells that it is gone
    const std::pair key(r.node, r.id);
    const auto known = critical_since_.find(key);
    // A check that has passed in between has another index: its time begins anew.
    const bool same = known != critical_since_.end() && known->second.check_index == r.check_index;
    const Seen seen = same ? known->second : Seen{r.check_index, now};
    critical[key] = seen;
    if (now - seen.since >= settings_.stale_after && stale.size() < settings_.max_removals)
      stale.push_back(r);
  }
  critical_since_ = std::move(critical);
  return stale;
}

}  // namespace fennellane::fleet
