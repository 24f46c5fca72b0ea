#include "sweep.hpp"

#include <utility>

namespace fennellane::fleet {

std::vector<Registration> Sweep::find_stale(Time now, const std::vector<Registration>& registrations) {
  std::vector<Registration> stale;
  decltype(critical_since_) critical;
  for (const Registration& r : registrations) {
    if (!r.critical || r.check.empty()) continue;  // its own check is the only sign that it is dead
    const std::pair key(r.node, r.id);
    const auto known = critical_since_.find(key);
    // A check that passed in between has another index, and its time starts anew.
    const bool same = known != critical_since_.end() && known->second.check_index == r.check_index;
    const Observation observation = same ? known->second : Observation{r.check_index, now};
    critical[key] = observation;
    if (now - observation.since >= settings_.stale_after && stale.size() < settings_.max_removals)
      stale.push_back(r);
  }
  critical_since_ = std::move(critical);
  return stale;
}

}  // namespace fennellane::fleet
