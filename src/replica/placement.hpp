// Which peers hold the copies of a relay's messages: rendezvous hashing, so that a peer that comes or goes
// moves only the copies that it takes up or held. Without input, output or clock.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace fennellane::replica {

struct Peer {
  std::string relay;
  std::string zone;     // empty: not told
  std::string address;  // numeric, host:port
  bool operator==(const Peer&) const = default;
};

// So many of `all`, the best first, none of them `relay` itself: of other zones than its own before those of
// its own, since a zone may be lost as a whole, and each further zone before a second one of the same.
std::vector<Peer> choose_holders(const std::string& relay, const std::string& zone,
                                 const std::vector<Peer>& all, std::size_t copies);

}  // namespace fennellane::replica
