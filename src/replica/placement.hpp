// Chooses the peers that hold copies of a relay's messages by rendezvous hashing, so that a peer that joins
// or leaves only moves the copies that it gains or held. Pure function: performs no I/O and reads no clock.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace fennellane::replica {

struct Peer {
  std::string relay;
  std::string zone;     // empty: unknown
  std::string address;  // numeric, host:port
  bool operator==(const Peer&) const = default;
};

// Up to `copies` of `peers`, the best first, excluding `relay` itself. Peers of other zones come before those
// of its own, since a zone may be lost as a whole, and each further zone before a second peer of the same
// zone.
std::vector<Peer> choose_holders(const std::string& relay, const std::string& zone,
                                 const std::vector<Peer>& peers, std::size_t copies);

}  // namespace fennellane::replica
