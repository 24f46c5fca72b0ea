// Plays seeded schedules of faults between several relays, Consul and a partner, and says whether every rule
// was kept, how long a role was without an owner, and (with --load) what many relays cost Consul.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <exception>
#include <thread>

#include "release_lab.hpp"

namespace {

using namespace fennellane::harness;
using std::chrono::microseconds;

double ms_at(std::vector<microseconds>& spans, double share) {
  if (spans.empty()) return 0;
  std::sort(spans.begin(), spans.end());
  const auto at = static_cast<std::size_t>(share * static_cast<double>(spans.size() - 1) + 0.5);
  return static_cast<double>(spans[at].count()) / 1000;
}

void print_faults(const std::vector<Fault>& faults) {
  for (const Fault& f : faults) std::printf("  %s\n", text_of(f).c_str());
}

void print_events(const History& history) {
  constexpr const char* kNames[] = {"acquired", "released", "lost", "written", "refused", "restarted"};
  for (const auto& e : history.store)
    std::printf("  %.3f %s %s by %s token %llu, held by %s\n",
                std::chrono::duration<double>(e.at - history.store.front().at).count(),
                kNames[static_cast<int>(e.kind)], e.key.c_str(), e.session.c_str(),
                static_cast<unsigned long long>(e.lock_index),
                e.holder.empty() ? "nobody" : e.holder.c_str());
}

// So many relays that seek one role and are left alone, then their holder is killed.
int measure_load(LabSettings settings, int seconds) {
  settings.messages = false;
  FleetLab lab(settings);
  lab.start();
  if (!lab.waits_for_holder_other_than(settings.relays)) return 1;
  std::this_thread::sleep_for(std::chrono::seconds(3));
  const std::size_t before = lab.consul().requests();
  std::this_thread::sleep_for(std::chrono::seconds(seconds));
  const double steady = static_cast<double>(lab.consul().requests() - before) / seconds;
  const std::size_t holder = lab.holder();
  lab.relay(holder).end(SIGKILL);
  std::size_t at = lab.consul().requests(), peak = 0;
  const auto killed = std::chrono::steady_clock::now();
  std::size_t during = at;
  while (!lab.waits_for_holder_other_than(holder, std::chrono::seconds(1)) &&
         std::chrono::steady_clock::now() - killed < std::chrono::seconds(120)) {
    const std::size_t now = lab.consul().requests();
    peak = std::max(peak, now - at);
    at = now;
  }
  const double took = std::chrono::duration<double>(std::chrono::steady_clock::now() - killed).count();
  during = lab.consul().requests() - during;
  std::printf(
      "%zu relays: %.1f calls a second in all, %.3f a relay; the holder killed: %.1f s to the next, %zu "
      "calls, at "
      "most %zu in a second, %zu sessions then\n",
      settings.relays, steady, steady / static_cast<double>(settings.relays), took, during, peak,
      lab.consul().sessions());
  return 0;
}

// The cap on endpoints out over so many relays: how long from the first message until the cap is in force at
// all, and until no more rest than it says; and the calls at Consul then.
int measure_ejection(const LabSettings& settings, int seconds) {
  using Clock = std::chrono::steady_clock;
  const auto seconds_since = [](Clock::time_point t) {
    return std::chrono::duration<double>(Clock::now() - t).count();
  };
  FleetLab lab(settings);
  lab.start();
  if (!lab.waits_for_holder_other_than(settings.relays, std::chrono::seconds(60))) return 1;
  for (std::size_t i = 0; i < lab.size(); ++i) lab.to_partner(i).set(PathFault::refuse);
  std::this_thread::sleep_for(std::chrono::seconds(2));
  const double relays = static_cast<double>(lab.size());
  const std::size_t quiet = lab.consul().requests();
  std::this_thread::sleep_for(std::chrono::seconds(seconds));
  const double well = static_cast<double>(lab.consul().requests() - quiet) / seconds / relays;
  const auto began = Clock::now();
  double over = 0, capped = 0;  // seconds
  std::size_t most = 0;
  const auto offer_to_all = [&] {
    for (std::size_t i = 0; i < lab.size(); ++i) lab.offer_to(i);
    const std::size_t rest = lab.resting();
    most = std::max(most, rest);
    if (rest > settings.most_ejected) over = seconds_since(began);
  };
  while (capped == 0 && seconds_since(began) < 60) {
    offer_to_all();
    std::size_t heed = 0;
    for (std::size_t i = 0; i < lab.size(); ++i)
      heed += lab.relay(i).logged("cap on endpoints out is reached") > 0 ? 1 : 0;
    if (heed == lab.size()) capped = seconds_since(began);
  }
  const std::size_t at = lab.consul().requests();
  const auto binding = Clock::now();
  while (seconds_since(binding) < seconds) offer_to_all();
  const double binds = static_cast<double>(lab.consul().requests() - at) / seconds_since(binding) / relays;
  std::printf(
      "%zu relays, at most %zu endpoints may rest: the cap in force at all %.1f s after the first message%s; "
      "at most %zu rested, more than the cap for the last time after %.1f s; calls at Consul a second and "
      "relay: %.2f while all is well, %.2f while it binds\n",
      lab.size(), settings.most_ejected, capped, capped == 0 ? " (NOT reached)" : "", most, over, well,
      binds);
  return capped == 0 ? 1 : 0;
}

// A release over so many relays: how long until all have moved, or, of a sick build, until it was noticed and
// all were back; and what became of the messages meanwhile, beside the same time without a release.
int measure_release(const LabSettings& settings, const std::string& to, int watch_ms) {
  using Clock = std::chrono::steady_clock;
  const auto seconds_since = [](Clock::time_point t) {
    return std::chrono::duration<double>(Clock::now() - t).count();
  };
  Builds builds(settings.program);
  ReleaseTiming timing;
  timing.report = 500;
  timing.gather = 3000;
  timing.watch = watch_ms;
  timing.watch_most = std::max(watch_ms, 30000);
  ReleaseLab release(builds, settings, timing);
  if (!release.start()) return 1;
  const auto share = [&](Clock::time_point from) {
    const History h = release.lab().history();
    std::size_t calls = 0;
    for (const auto& c : h.calls) calls += c.at >= from ? 1 : 0;
    return std::pair(h.taken.size(), calls);
  };
  const auto quiet = Clock::now();
  release.comes_to(fennellane::release::Phase::done, std::chrono::seconds(10));
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  const auto [taken_before, calls_before] = share(quiet);
  const auto began = Clock::now();
  const std::string trouble =
      release.order(fennellane::ReleaseRequest::Action::start, to, {"1", "10%", "30%", "100%"});
  if (!trouble.empty()) {
    std::fprintf(stderr, "%s\n", trouble.c_str());
    return 1;
  }
  using fennellane::release::Phase;
  if (to == "sick") {
    while (release.serving("sick") == 0 && seconds_since(began) < 120)
      release.comes_to(Phase::back, std::chrono::seconds(0));
    const auto moved = Clock::now();
    const bool noticed = release.comes_to(Phase::back);
    const double breach_after = seconds_since(moved);
    const bool back = release.comes_to(Phase::returned);
    std::printf(
        "%zu relays, a sick build: noticed %.1f s after its first relay served, all back %.1f s after "
        "that%s; %s\n",
        release.lab().size(), breach_after, seconds_since(moved) - breach_after,
        noticed && back ? "" : " (NOT reached)", release.state().reason.c_str());
    return noticed && back ? 0 : 1;
  }
  const bool done = release.comes_to(Phase::done, std::chrono::seconds(600));
  const double took = seconds_since(began);
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  const auto [taken, calls] = share(began);
  const MostOut out = most_out(release.lab().history());
  std::printf(
      "%zu relays, at most %zu out: %s after %.1f s in %zu waves, at most %zu out at once; delivered %zu of "
      "%zu "
      "messages, and %zu of %zu in 10 s without a release; %s\n",
      release.lab().size(), settings.most, done ? "done" : "NOT done", took, release.state().waves.size(),
      out.slots, calls, taken - taken_before, calls_before, taken_before,
      breach(release.lab().history()).c_str());
  return done ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Plays seeded schedules of faults between several relays, Consul and a partner"};
  LabSettings settings;
  std::uint64_t first = 1, count = 10;
  int load = 0, slower = 1;
  bool no_fence = false, quiet = false, events = false, upgrades = false, stops = false, ejection = false;
  std::size_t most = 0, per_zone = 0;
  app.add_option("program", settings.program, "the relay's")->required();
  app.add_option("--relays", settings.relays)->check(CLI::Range(2, 400))->capture_default_str();
  app.add_option("--seed", first, "of the first schedule")->capture_default_str();
  app.add_option("--count", count, "schedules")->check(CLI::Range(1, 10000))->capture_default_str();
  app.add_option("--faults", settings.faults, "in each")->check(CLI::Range(0, 50))->capture_default_str();
  app.add_option("--slower", slower, "all times of the lease, so many times as long")
      ->check(CLI::Range(1, 100))
      ->capture_default_str();
  app.add_option("--load", load, "instead: measure the calls at Consul for so many seconds")
      ->check(CLI::Range(1, 600));
  app.add_flag("--no-fence", no_fence, "plant a bug: a store that takes any session's write");
  std::string release_to;
  int watch_ms = 5000;
  app.add_option("--release", release_to, "instead: measure a release to this build")
      ->check(CLI::IsMember({"b", "sick"}));
  app.add_option("--watch", watch_ms, "how long a wave of it is watched, in ms")->capture_default_str();
  app.add_flag("--upgrades", upgrades, "upgrades with a disruption budget, and faults among them");
  app.add_flag("--outings", stops, "the same, with stops by SIGTERM too");
  app.add_flag("--ejection", ejection, "a cap on endpoints out, of a destination whose hosts fail");
  app.add_option("--most", most, "of the budget; 0: one or two, by seed");
  app.add_option("--per-zone", per_zone, "of the budget; 0: no bound, or one, by seed");
  app.add_flag("--quiet", quiet, "only what broke, and the sum");
  app.add_flag("--events", events, "what the store saw of each schedule");
  CLI11_PARSE(app, argc, argv);
  settings.fence = !no_fence;
  LabTiming& t = settings.timing;
  for (int* each : {&t.ttl, &t.renew, &t.margin, &t.lock_delay, &t.call, &t.retry, &t.spread, &t.wait})
    *each *= slower;
  try {
    if (load > 0 && ejection) {
      add_ejection(settings, 3, 50, slower);
      return measure_ejection(settings, load);
    }
    if (load > 0) return measure_load(settings, load);
    if (!release_to.empty()) {
      add_budget(settings, most > 0 ? most : std::max<std::size_t>(1, settings.relays / 10), 0, true);
      return measure_release(settings, release_to, watch_ms);
    }
    std::vector<microseconds> spans;
    std::size_t broken = 0, stuck = 0, refused = 0, written = 0, lapses = 0, messages = 0;
    std::size_t slots = 0, outages = 0, most_slots = 0, most_outages = 0;
    const LabSettings plain = settings;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
      settings = plain;
      settings.seed = seed;
      std::vector<Fault> faults;
      if (upgrades || stops) {
        const auto ttl = add_budget(settings, most > 0 ? most : 1 + seed % 2,
                                    per_zone > 0 ? per_zone : seed / 2 % 2, stops);
        faults = draw_outings(seed, settings.faults, settings.relays, ttl, stops);
      } else {
        if (ejection) add_ejection(settings, 2 + seed % 3, seed / 3 % 2 == 0 ? 50 : 25);
        faults = draw_faults(seed, settings.faults, settings.relays, settings.timing);
      }
      FleetLab lab(settings);
      const History history = lab.run(faults);
      const std::string what = breach(history);
      using Kind = fennellane::standin::StoreEvent::Kind;
      for (const auto& e : history.store) {
        refused += e.kind == Kind::refused ? 1 : 0;
        written += e.kind == Kind::written ? 1 : 0;
        lapses += e.kind == Kind::lost ? 1 : 0;
        slots += e.kind == Kind::written && e.key.find("/budget/") != std::string::npos ? 1 : 0;
      }
      messages += history.taken.size();
      const MostOut out = most_out(history);
      most_slots = std::max(most_slots, out.slots);
      most_outages = std::max(most_outages, out.outages);
      outages += history.outages.size();
      if (events) print_faults(faults);
      if (events) print_events(history);
      for (const microseconds span : failovers(history)) spans.push_back(span);
      broken += what.empty() ? 0 : 1;
      stuck += lab.recovered() ? 0 : 1;
      if (!what.empty() || !lab.recovered()) {
        std::printf("seed %llu: %s%s\n", static_cast<unsigned long long>(seed),
                    what.empty() ? "" : what.c_str(), lab.recovered() ? "" : " (not recovered in time)");
        print_faults(faults);
      } else if (!quiet) {
        std::printf("seed %llu: kept\n", static_cast<unsigned long long>(seed));
      }
      std::fflush(stdout);
    }
    std::printf(
        "%llu schedules, %zu broken, %zu not recovered; %zu lapses, %zu writes taken, %zu refused, %zu "
        "messages; "
        "lapse to the next owner's first write: p50 %.0f ms, p99 %.0f ms, most %.0f ms (%zu)\n",
        static_cast<unsigned long long>(count), broken, stuck, lapses, written, refused, messages,
        ms_at(spans, 0.5), ms_at(spans, 0.99), ms_at(spans, 1), spans.size());
    if (upgrades || stops)
      std::printf("%zu slots taken, at most %zu at once; %zu stops, at most %zu out at once\n", slots,
                  most_slots, outages, most_outages);
    return broken + stuck > 0 ? 1 : 0;
  } catch (const std::exception& e) {
    std::fprintf(stderr, "%s\n", e.what());
    return 1;
  }
}
