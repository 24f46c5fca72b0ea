// What has become of a write on behalf of a role.
#pragma once

#include <cstdint>

namespace fennellane::lease {

enum class WriteResult : std::uint8_t {
  accepted,
  refused,  // nothing of it took place: the role, or what was read before, has changed
  unknown   // nobody knows
};

}  // namespace fennellane::lease
