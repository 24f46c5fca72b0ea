// Explores the lease's model and prints how much was seen and, where a rule breaks, the shortest way there.
#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdio>

#include "lease_model.hpp"

int main(int argc, char** argv) {
  CLI::App app{"Explores every interleaving of contenders for one role, within bounds"};
  fennellane::lease::LeaseModelBounds b;
  bool no_fence = false;
  app.add_option("--contenders", b.contenders)->check(CLI::Range(1, 3))->capture_default_str();
  app.add_option("--ticks", b.ticks, "the horizon, one tick a second")
      ->check(CLI::Range(1, 60))
      ->capture_default_str();
  app.add_option("--ttl", b.ttl)->check(CLI::Range(1, 60))->capture_default_str();
  app.add_option("--renew-every", b.renew_every)->check(CLI::Range(1, 60))->capture_default_str();
  app.add_option("--margin", b.margin)->check(CLI::Range(0, 60))->capture_default_str();
  app.add_option("--lock-delay", b.lock_delay)->check(CLI::Range(0, 60))->capture_default_str();
  app.add_option("--call", b.call)->check(CLI::Range(1, 60))->capture_default_str();
  app.add_option("--losses", b.losses)->check(CLI::Range(0, 9))->capture_default_str();
  app.add_option("--pauses", b.pauses)->check(CLI::Range(0, 9))->capture_default_str();
  app.add_option("--restarts", b.restarts)->check(CLI::Range(0, 9))->capture_default_str();
  app.add_option("--crashes", b.crashes)->check(CLI::Range(0, 9))->capture_default_str();
  app.add_option("--writes", b.writes)->check(CLI::Range(0, 9))->capture_default_str();
  app.add_option("--calls", b.calls)->check(CLI::Range(0, 9))->capture_default_str();
  app.add_option("--most-states", b.most_states)->capture_default_str();
  app.add_option("--walks", b.walks, "so many random walks instead of all interleavings")
      ->capture_default_str();
  app.add_option("--seed", b.seed, "of the walks")->capture_default_str();
  app.add_flag("--no-fence", no_fence, "plant a bug: a value that takes any write");
  app.add_flag("--from-answer", b.from_answer, "plant a bug: the lease measured from the renew's answer");
  CLI11_PARSE(app, argc, argv);
  b.fence = !no_fence;
  const auto begin = std::chrono::steady_clock::now();
  const fennellane::lease::LeaseModelResult r = fennellane::lease::explore(b);
  const double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
  std::printf("%zu states, %zu transitions, %zu checks that let a contender act, %.1f s%s\n", r.states,
              r.transitions, r.acts, seconds, r.whole ? "" : ", not all explored");
  if (!r.broken.empty())
    std::printf("broken: %s\n", r.broken.c_str());
  else if (!r.whole)
    std::printf("the way to the newest state:\n");
  for (const std::string& step : r.trace) std::printf("  %s\n", step.c_str());
  if (!r.broken.empty()) return 1;
  return r.whole ? 0 : 2;
}
