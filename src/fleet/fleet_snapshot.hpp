// The fleet's part of the reducer's snapshot. The sweep's observations are not part of it: its staleness
// times start anew.
#pragma once

#include "drain_snapshot.hpp"
#include "lease_snapshot.hpp"
#include "roles.hpp"

namespace fennellane::fleet {

template <class Archive>
void Fleet::serialize_state(Archive& archive) {
  for (lease::Lease& lease : leases_) lease.serialize_state(archive);
  archive(counts_.acquired, counts_.renews_missed, counts_.lapsed, counts_.lost, counts_.given_up,
          counts_.swept, counts_.sweeps_refused, counts_.lists_shared, counts_.shares_refused,
          counts_.lists_followed, counts_.reports, counts_.verdicts, counts_.verdicts_refused,
          counts_.capped);
  if (slot_) slot_->serialize_state(archive);
  if (mover_) mover_->serialize_state(archive);
  if (reporter_) reporter_->serialize_state(archive);
}

}  // namespace fennellane::fleet
