#include "damping.hpp"

#include <algorithm>
#include <cmath>

namespace fennellane {

double Damping::count(Time now, const DampingSettings& settings) const {
  if (count_ <= 0) return 0;
  const double lives = static_cast<double>(std::max(Time(0), now - at_).count()) /
                       static_cast<double>(std::max(Time(1), settings.half_life).count());
  return count_ * std::exp2(-lives);
}

void Damping::record_departure(Time now, const DampingSettings& settings) {
  // Guards against a count so high that a return would wait for longer than the most.
  const double lives =
      static_cast<double>(settings.max_wait.count()) / static_cast<double>(settings.half_life.count());
  const double highest = std::max(settings.suppress, settings.reuse * std::exp2(std::min(lives, 60.0)));
  count_ = std::min(count(now, settings) + 1, highest);
  at_ = now;
}

Time Damping::return_time(Time now, const DampingSettings& settings) const {
  const double present = count(now, settings);
  if (present < settings.suppress || present <= settings.reuse) return now;
  const double wait = std::log2(present / settings.reuse) * static_cast<double>(settings.half_life.count());
  return now + std::min(settings.max_wait, Time(static_cast<Time::rep>(std::ceil(wait))));
}

}  // namespace fennellane
