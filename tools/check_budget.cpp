// Walks over the disruption budget's semaphore; see docs/drains.md.
#include <CLI/CLI.hpp>
#include <cstdio>

#include "budget_model.hpp"

int main(int argc, char** argv) {
  using namespace fennellane::drain;
  CLI::App app{"Walks over several relays that seek slots of one disruption budget"};
  BudgetModelBounds b;
  bool no_cas = false, long_outings = false;
  app.add_option("--relays", b.relays)->check(CLI::Range(1, 12))->capture_default_str();
  app.add_option("--most", b.most)->capture_default_str();
  app.add_option("--per-zone", b.per_zone)->capture_default_str();
  app.add_option("--ticks", b.ticks, "of one walk, one a second")
      ->check(CLI::Range(1, 2000))
      ->capture_default_str();
  app.add_option("--walks", b.walks)->capture_default_str();
  app.add_option("--seed", b.seed)->capture_default_str();
  app.add_option("--losses", b.losses)->capture_default_str();
  app.add_option("--pauses", b.pauses)->capture_default_str();
  app.add_option("--crashes", b.crashes)->capture_default_str();
  app.add_option("--restarts", b.restarts)->capture_default_str();
  app.add_flag("--no-cas", no_cas, "plant a bug: the store takes any value");
  app.add_flag("--long-outings", long_outings, "plant a bug: outings last longer than the settings say");
  CLI11_PARSE(app, argc, argv);
  b.cas = !no_cas;
  b.lasts = !long_outings;
  const BudgetModelResult r = explore(b);
  std::printf("%llu walks, %llu outings, %llu lapses, %llu refusals: %s\n",
              static_cast<unsigned long long>(r.walks), static_cast<unsigned long long>(r.outings),
              static_cast<unsigned long long>(r.lapses), static_cast<unsigned long long>(r.refusals),
              r.broken.empty() ? "no rule broken" : r.broken.c_str());
  return r.broken.empty() ? 0 : 1;
}
