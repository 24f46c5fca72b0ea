#include "fault_lab.hpp"

#include <array>
#include <memory>
#include <thread>
#include <vector>

#include "fault_peers.hpp"
#include "fault_relay.hpp"

namespace fennellane::harness {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Clock = std::chrono::steady_clock;

constexpr double kRate = 800;  // calls a second that the destination takes
constexpr int kDestination = 7;

class FaultLab {
 public:
  FaultLab(const std::string& program, const std::string& library, const FaultPlan& plan)
      : plan_(plan),
        partners_{std::make_unique<FaultyPartner>(plan.seed, plan.partner_copies),
                  std::make_unique<FaultyPartner>(plan.seed + 1, plan.partner_copies)},
        platform_(plan.seed + 2, plan,
                  {{"h0", partners_[0]->address(), kDestination, "ready", kRate},
                   {"h1", partners_[1]->address(), kDestination, "ready", kRate}}) {
    for (std::size_t i = 0; i < plan.relays.size(); ++i) {
      const RelaySetup setup{program,
                             library,
                             platform_.address(),
                             i,
                             plan.relays.size(),
                             plan.seed,
                             plan.contested_in_100,
                             plan.relay_gap * static_cast<milliseconds::rep>(i)};
      relays_.push_back(std::make_unique<FaultRelay>(setup, plan.relays[i]));
    }
  }

  FaultReport run() {
    run_relays();
    await_all_ends();
    for (const auto& relay : relays_) relay->finish();
    return report();
  }

 private:
  void run_relays() {
    std::vector<std::thread> threads;
    for (const auto& relay : relays_) threads.emplace_back([&relay] { relay->run(); });
    for (std::thread& t : threads) t.join();
  }

  // A message that was taken on has its end a little after its time at the latest.
  void await_all_ends() const {
    constexpr milliseconds kLook{200};
    const auto limit = Clock::now() + kMessageBudget + seconds(3);
    while (!history().all_taken_have_ends() && Clock::now() < limit) std::this_thread::sleep_for(kLook);
  }

  History history() const {
    History history;
    for (const auto& relay : relays_) {
      for (const Message& message : relay->messages()) history.messages[key_of(message)] = message;
    }
    for (const auto& partner : partners_) history.add(partner->arrivals());
    history.notices = platform_.notices();
    return history;
  }

  FaultReport report() const {
    FaultReport report;
    History all = history();
    if (plan_.plants_flaws) plant_flaws(all);
    check(all, report);
    for (const auto& relay : relays_) {
      const std::vector<std::string>& more = relay->violations();
      report.violations.insert(report.violations.end(), more.begin(), more.end());
    }
    if (report.violations.empty()) return report;
    for (const auto& relay : relays_) report.log += relay->log();
    return report;
  }

  const FaultPlan plan_;
  std::array<std::unique_ptr<FaultyPartner>, 2> partners_;
  FaultyPlatform platform_;
  std::vector<std::unique_ptr<FaultRelay>> relays_;
};

}  // namespace

FaultReport run_faults(const std::string& program, const std::string& library, const FaultPlan& plan) {
  return FaultLab(program, library, plan).run();
}

}  // namespace fennellane::harness
