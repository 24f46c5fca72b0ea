// Serialization of a lease for a process that takes over from another on the same machine: both read the same
// clock.
#pragma once

#include "lease.hpp"

namespace fennellane::lease {

template <class Archive>
void Lease::serialize_state(Archive& archive) {
  archive(random_draws_, state_, role_wanted_, pending_call_, session_, confirmed_, next_attempt_,
          key_holder_, key_lock_index_, key_modify_index_, index_before_acquire_, key_read_, token_,
          lock_lost_, timer_set_, timer_);
}

}  // namespace fennellane::lease
