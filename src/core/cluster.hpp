// The cluster: the upstream hosts that a membership source lists, independent of any protocol.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "starlinghook/delivery.hpp"

namespace fennellane {

struct Address {
  std::string host;  // numeric
  std::uint16_t port = 0;
  std::string text() const { return host + ":" + std::to_string(port); }
  bool operator==(const Address&) const = default;
};

// One host as reported by its source.
struct HostEntry {
  std::string id;
  Address address;
  std::uint32_t zone = 0;  // position in the settings' list; past its end if unknown
  std::uint32_t kind = 0;
  std::uint32_t destination = 0;
  double rate = 0;
  std::uint64_t started_ms = 0;  // its last start, as Unix time; 0: long ago, or not told
  starlinghook::Condition condition = starlinghook::Condition::ready;
};

struct HostList {
  std::uint64_t version = 0;
  bool full = false;
  std::vector<HostEntry> hosts;
};

}  // namespace fennellane
