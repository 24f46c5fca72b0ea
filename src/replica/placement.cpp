#include "placement.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <set>
#include <utility>

namespace fennellane::replica {
namespace {

// The same at every relay and in every version: which peer holds what is agreed by this alone.
std::uint64_t weight(const std::string& relay, const std::string& peer) {
  const std::uint64_t of_relay = XXH3_64bits(relay.data(), relay.size());
  return XXH3_64bits_withSeed(peer.data(), peer.size(), of_relay);
}

}  // namespace

std::vector<Peer> choose_holders(const std::string& relay, const std::string& zone,
                                 const std::vector<Peer>& all, std::size_t copies) {
  std::vector<std::pair<std::uint64_t, const Peer*>> ranked;
  for (const Peer& peer : all)
    if (peer.relay != relay) ranked.emplace_back(weight(relay, peer.relay), &peer);
  std::sort(ranked.begin(), ranked.end(), [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first > b.first : a.second->relay < b.second->relay;
  });
  std::vector<Peer> chosen;
  std::set<std::string> zones{zone};
  while (chosen.size() < copies && !ranked.empty()) {
    auto next = std::find_if(ranked.begin(), ranked.end(), [&zones](const auto& each) {
      return !each.second->zone.empty() && zones.count(each.second->zone) == 0;
    });
    if (next == ranked.end()) {
      // Every zone has had its turn: a new round, but for the relay's own zone while there are others.
      const bool others = std::any_of(ranked.begin(), ranked.end(),
                                      [&zone](const auto& each) { return each.second->zone != zone; });
      zones = others ? std::set<std::string>{zone} : std::set<std::string>{};
      next = std::find_if(ranked.begin(), ranked.end(),
                          [&zones](const auto& each) { return zones.count(each.second->zone) == 0; });
    }
    zones.insert(next->second->zone);
    chosen.push_back(*next->second);
    ranked.erase(next);
  }
  return chosen;
}

}  // namespace fennellane::replica
