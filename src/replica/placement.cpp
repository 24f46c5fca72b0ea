#include "placement.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <set>
#include <utility>

namespace fennellane::replica {
namespace {

// Must be the same at every relay and in every version: relays agree on the holders by this function alone.
std::uint64_t weight(const std::string& relay, const std::string& peer) {
  const std::uint64_t relay_seed = XXH3_64bits(relay.data(), relay.size());
  return XXH3_64bits_withSeed(peer.data(), peer.size(), relay_seed);
}

}  // namespace

std::vector<Peer> choose_holders(const std::string& relay, const std::string& zone,
                                 const std::vector<Peer>& peers, std::size_t copies) {
  std::vector<std::pair<std::uint64_t, const Peer*>> ranked;
  for (const Peer& peer : peers)
    if (peer.relay != relay) ranked.emplace_back(weight(relay, peer.relay), &peer);
  std::sort(ranked.begin(), ranked.end(), [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first > b.first : a.second->relay < b.second->relay;
  });
  std::vector<Peer> chosen;
  std::set<std::string> zones{zone};
  while (chosen.size() < copies && !ranked.empty()) {
    auto next = std::find_if(ranked.begin(), ranked.end(), [&zones](const auto& candidate) {
      return !candidate.second->zone.empty() && zones.count(candidate.second->zone) == 0;
    });
    if (next == ranked.end()) {
      // Every zone has been used: start a new round, without the relay's own zone while there are others.
      const bool other_zones = std::any_of(ranked.begin(), ranked.end(), [&zone](const auto& candidate) {
        return candidate.second->zone != zone;
      });
      zones = other_zones ? std::set<std::string>{zone} : std::set<std::string>{};
      next = std::find_if(ranked.begin(), ranked.end(), [&zones](const auto& candidate) {
        return zones.count(candidate.second->zone) == 0;
      });
    }
    zones.insert(next->second->zone);
    chosen.push_back(*next->second);
    ranked.erase(next);
  }
  return chosen;
}

}  // namespace fennellane::replica
