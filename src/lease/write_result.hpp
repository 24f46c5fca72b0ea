// The result of a write on behalf of a role.
#pragma once

#include <cstdint>

namespace fennellane::lease {

enum class WriteResult : std::uint8_t {
  accepted,
  refused,  // had no effect: the role, or the state read before, has changed
  unknown   // whether it was applied is not known
};

}  // namespace fennellane::lease
