// Plays relays whose discovery fails, moves and returns while hosts drain, from seeds, and checks what came
// of it.
#include <CLI/CLI.hpp>
#include <atomic>
#include <cstdio>
#include <mutex>
#include <thread>
#include <vector>

#include "discovery_lab.hpp"

int main(int argc, char** argv) {
  using fennellane::harness::DiscoveryReport;
  CLI::App app{"plays relays whose discovery fails, moves and returns, and checks what came of it"};
  std::string program;
  std::uint64_t first = 1, count = 50;
  std::size_t at_once = 8;
  bool shows_log = false;
  app.add_option("--program", program, "the relay")->required();
  app.add_option("--first", first, "the first seed");
  app.add_option("--seeds", count, "how many seeds");
  app.add_option("--at-once", at_once, "runs side by side")->check(CLI::Range(1, 32));
  app.add_flag("--log", shows_log, "show the log of a run that was not right");
  CLI11_PARSE(app, argc, argv);

  std::atomic<std::uint64_t> next = first;
  std::mutex mutex;
  DiscoveryReport sum;
  std::size_t wrong = 0;
  const auto work = [&] {
    for (std::uint64_t seed = next++; seed < first + count; seed = next++) {
      const DiscoveryReport report = fennellane::harness::run_discovery_faults(program, seed);
      const std::scoped_lock lock(mutex);
      sum.taken += report.taken;
      sum.delivered += report.delivered;
      sum.requests += report.requests;
      if (report.violations.empty()) continue;
      ++wrong;
      std::printf("seed %llu: %s\n", static_cast<unsigned long long>(seed), report.course.c_str());
      for (const std::string& violation : report.violations) std::printf("    %s\n", violation.c_str());
      if (shows_log) std::printf("%s\n", report.log.c_str());
    }
  };
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < at_once; ++i) threads.emplace_back(work);
  for (std::thread& thread : threads) thread.join();
  std::printf("%llu runs, %zu not right; %zu messages taken on, %zu delivered; %zu requests to discovery\n",
              static_cast<unsigned long long>(count), wrong, sum.taken, sum.delivered, sum.requests);
  return wrong == 0 ? 0 : 1;
}
