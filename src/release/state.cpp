#include "state.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <map>

namespace fennellane::release {
namespace {

constexpr const char* kPhases[] = {"gathering", "rolling", "halted", "back", "done", "returned"};

std::uint64_t growth(std::uint64_t before, std::uint64_t now) { return now >= before ? now - before : now; }

// Whether the share k1/n1 is above k2/n2 by more than chance: the score test of two proportions.
bool above(std::uint64_t k1, std::uint64_t n1, std::uint64_t k2, std::uint64_t n2, const HealthTest& test) {
  if (n1 < test.min_samples || n2 < test.min_samples) return false;
  const auto a = static_cast<double>(n1), b = static_cast<double>(n2);
  const double p1 = static_cast<double>(k1) / a, p2 = static_cast<double>(k2) / b;
  const double pooled = static_cast<double>(k1 + k2) / (a + b);
  const double spread = std::sqrt(pooled * (1 - pooled) * (1 / a + 1 / b));
  return p1 - p2 >= test.difference && p1 - p2 > test.z * spread;
}

std::string shares(const char* what, std::uint64_t k1, std::uint64_t n1, std::uint64_t k2, std::uint64_t n2) {
  char text[160];
  std::snprintf(
      text, sizeof text, "%s: %.1f%% of %llu where moved, %.1f%% of %llu elsewhere", what,
      100.0 * static_cast<double>(k1) / static_cast<double>(n1), static_cast<unsigned long long>(n1),
      100.0 * static_cast<double>(k2) / static_cast<double>(n2), static_cast<unsigned long long>(n2));
  return text;
}

}  // namespace

const char* name_of(Phase phase) { return kPhases[static_cast<int>(phase)]; }

std::optional<Phase> phase_named(const std::string& name) {
  const auto it = std::find(std::begin(kPhases), std::end(kPhases), name);
  if (it == std::end(kPhases)) return std::nullopt;
  return static_cast<Phase>(it - std::begin(kPhases));
}

Sums& Sums::operator+=(const Sums& o) {
  asked += o.asked;
  refused += o.refused;
  ends += o.ends;
  bad += o.bad;
  late += o.late;
  return *this;
}

Sums since(const Sums& before, const Sums& now) {
  // A process that has begun again has less of everything.
  const Sums b = now.asked < before.asked || now.ends < before.ends ? Sums{} : before;
  return {growth(b.asked, now.asked), growth(b.refused, now.refused), growth(b.ends, now.ends),
          growth(b.bad, now.bad), growth(b.late, now.late)};
}

std::vector<std::string> ordered_relays(const State& state) {
  std::vector<std::string> all;
  for (std::size_t i = 0; i < state.waves.size() && i <= state.wave; ++i)
    all.insert(all.end(), state.waves[i].begin(), state.waves[i].end());
  return all;
}

std::optional<std::string> wanted_build(const State& state, const std::string& relay) {
  if (state.phase == Phase::back) return state.from;
  if (state.phase == Phase::done) return state.to;
  if (state.phase != Phase::rolling) return std::nullopt;
  const std::vector<std::string> ordered = ordered_relays(state);
  if (std::count(ordered.begin(), ordered.end(), relay) == 0) return std::nullopt;
  return state.to;
}

std::optional<std::size_t> reach_of(const std::string& step, std::size_t relays) {
  std::size_t number = 0;
  const char* const end = step.data() + step.size();
  const auto [rest, error] = std::from_chars(step.data(), end, number);
  if (error != std::errc() || number == 0 || number > 100000) return std::nullopt;
  if (rest == end) return std::min(number, relays);
  if (rest + 1 != end || *rest != '%' || number > 100) return std::nullopt;
  return (relays * number + 99) / 100;
}

std::string steps_problem(const std::vector<std::string>& steps) {
  if (steps.empty() || steps.size() > 20) return "one to twenty waves";
  for (const std::string& step : steps)
    if (!reach_of(step, 1)) return step + " is neither a count nor a share such as 10%";
  if (steps.back() != "100%") return "the last wave has to reach 100%";
  return "";
}

std::vector<std::vector<std::string>> plan_waves(const std::vector<Report>& relays,
                                                 const std::vector<std::string>& steps) {
  std::map<std::string, std::vector<std::string>> zones;
  for (const Report& r : relays) zones[r.zone].push_back(r.relay);
  for (auto& [zone, names] : zones) std::sort(names.begin(), names.end(), std::greater<>());
  std::vector<std::string> order;
  while (order.size() < relays.size()) {
    for (auto& [zone, names] : zones) {
      if (names.empty()) continue;
      order.push_back(std::move(names.back()));
      names.pop_back();
    }
  }
  std::vector<std::vector<std::string>> waves;
  std::size_t reached = 0;
  for (const std::string& step : steps) {
    const std::size_t to = reach_of(step, order.size()).value_or(0);
    if (to <= reached) continue;  // of few relays two steps may reach the same
    waves.emplace_back(order.begin() + static_cast<std::ptrdiff_t>(reached),
                       order.begin() + static_cast<std::ptrdiff_t>(to));
    reached = to;
  }
  return waves;
}

bool tells(const Sums& moved, const Sums& rest, const HealthTest& test) {
  return moved.ends >= test.min_samples && rest.ends >= test.min_samples;
}

std::string worse(const Sums& m, const Sums& r, const HealthTest& test) {
  if (above(m.bad, m.ends, r.bad, r.ends, test)) return shares("undelivered", m.bad, m.ends, r.bad, r.ends);
  if (above(m.late, m.ends, r.late, r.ends, test)) return shares("late", m.late, m.ends, r.late, r.ends);
  if (above(m.refused, m.asked, r.refused, r.asked, test))
    return shares("refused", m.refused, m.asked, r.refused, r.asked);
  return "";
}

}  // namespace fennellane::release
