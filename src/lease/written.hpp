// What has become of a write on behalf of a role.
#pragma once

#include <cstdint>

namespace fennellane::lease {

enum class Written : std::uint8_t {
  taken,
  refused,  // nothing of it took place: the role, or what was read before, has changed
  failed    // nobody knows
};

}  // namespace fennellane::lease
