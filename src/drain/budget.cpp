#include "budget.hpp"

#include <algorithm>
#include <map>

namespace fennellane::drain {

Budget pruned(Budget budget, const std::set<std::string>& live_sessions) {
  std::erase_if(budget.holders, [&](const Holder& h) { return live_sessions.count(h.session) == 0; });
  return budget;
}

std::string refusal(const Budget& budget, const Census& census, const std::string& relay,
                    const std::string& zone) {
  std::map<std::string, std::string> out;  // relay to zone
  for (const Holder& h : budget.holders) out[h.relay] = h.zone;
  for (const Down& d : census.down) out.emplace(d.relay, d.zone);
  out.erase(relay);
  const auto over = [&](std::size_t count, std::uint32_t bound, const std::string& of, bool of_zone) {
    std::string names;
    for (const auto& [each, at] : out) names += of_zone && at != zone ? "" : " " + each;
    return std::to_string(count) + " of " + std::to_string(bound) + " are out" + of + ":" + names;
  };
  const Cap& cap = budget.cap;
  if (cap.max_relays > 0 && out.size() >= cap.max_relays) return over(out.size(), cap.max_relays, "", false);
  if (cap.percent > 0) {
    const std::uint32_t share = std::max(1u, census.relays * cap.percent / 100);
    if (out.size() >= share) return over(out.size(), share, " by the share", false);
  }
  const auto in_zone = static_cast<std::size_t>(
      std::count_if(out.begin(), out.end(), [&](const auto& each) { return each.second == zone; }));
  if (cap.per_zone > 0 && in_zone >= cap.per_zone)
    return over(in_zone, cap.per_zone, " in zone " + zone, true);
  return "";
}

}  // namespace fennellane::drain
