#include "damping.hpp"

#include <algorithm>
#include <cmath>

namespace fennellane {

double Damping::penalty(Time now, const DampingSettings& settings) const {
  if (penalty_ <= 0) return 0;
  const double half_lives = static_cast<double>(std::max(Time(0), now - at_).count()) /
                            static_cast<double>(std::max(Time(1), settings.half_life).count());
  return penalty_ * std::exp2(-half_lives);
}

void Damping::record_departure(Time now, const DampingSettings& settings) {
  // The penalty is capped, so that it always decays to the reuse threshold within `max_wait`.
  const double half_lives =
      static_cast<double>(settings.max_wait.count()) / static_cast<double>(settings.half_life.count());
  const double highest = std::max(settings.suppress, settings.reuse * std::exp2(std::min(half_lives, 60.0)));
  penalty_ = std::min(penalty(now, settings) + 1, highest);
  at_ = now;
}

Time Damping::return_time(Time now, const DampingSettings& settings) const {
  const double current = penalty(now, settings);
  if (current < settings.suppress || current <= settings.reuse) return now;
  const double wait = std::log2(current / settings.reuse) * static_cast<double>(settings.half_life.count());
  return now + std::min(settings.max_wait, Time(static_cast<Time::rep>(std::ceil(wait))));
}

}  // namespace fennellane
