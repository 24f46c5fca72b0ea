// Explores the handover's model and prints how much was seen and, where a rule breaks, the shortest way
// there.
#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdio>

#include "handover_model.hpp"

int main(int argc, char** argv) {
  CLI::App app{"Explores every interleaving of a handover, within bounds"};
  fennellane::handover::ModelBounds bounds;
  bool no_fence = false;
  app.add_option("--messages", bounds.messages)->check(CLI::Range(1, 3))->capture_default_str();
  app.add_option("--upgrades", bounds.upgrades)->check(CLI::Range(1, 9))->capture_default_str();
  app.add_option("--crashes", bounds.crashes)->check(CLI::Range(0, 9))->capture_default_str();
  app.add_option("--failures", bounds.failures)->check(CLI::Range(0, 9))->capture_default_str();
  app.add_option("--timeouts", bounds.timeouts)->check(CLI::Range(0, 9))->capture_default_str();
  app.add_option("--restarts", bounds.restarts)->check(CLI::Range(0, 9))->capture_default_str();
  app.add_flag("--no-fence", no_fence, "plant a bug: a journal that anyone may append to");
  CLI11_PARSE(app, argc, argv);
  bounds.fence = !no_fence;
  const auto begin = std::chrono::steady_clock::now();
  const fennellane::handover::ModelResult result = explore(bounds);
  const double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
  std::printf("%zu states, %zu transitions, %zu ends, %.1f s%s\n", result.states, result.transitions,
              result.ends, seconds, result.whole ? "" : ", not all explored");
  if (result.broken.empty()) return result.whole ? 0 : 2;
  std::printf("broken: %s\n", result.broken.c_str());
  for (const std::string& step : result.trace) std::printf("  %s\n", step.c_str());
  return 1;
}
