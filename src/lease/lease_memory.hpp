// A lease as bytes, for a process that takes over from another on the same machine: both read one clock.
#pragma once

#include "lease.hpp"

namespace fennellane::lease {

template <class Archive>
void Lease::remember(Archive& archive) {
  archive(draws_, step_, wanted_, out_, session_, confirmed_, next_try_, seen_holder_, seen_index_,
          seen_modify_, acquired_after_, key_seen_, token_, drop_, timer_set_, timer_);
}

}  // namespace fennellane::lease
