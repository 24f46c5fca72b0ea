// A slot as bytes, for a process that takes over from another on the same machine: both read one clock.
#pragma once

#include "slot.hpp"

namespace fennellane::drain {

// What was seen of the budget is not in it: the watch begins anew.
template <class Archive>
void Slot::serialize_state(Archive& archive) {
  archive(step_, wanted_, next_, call_, watching_, session_, confirmed_, next_try_, next_ask_, reason_,
          counts_.acquired, counts_.refused, counts_.lost, counts_.waits);
}

}  // namespace fennellane::drain
