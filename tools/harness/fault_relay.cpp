#include "fault_relay.hpp"

#include <signal.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <stdexcept>

#include "sample_config.hpp"

namespace fennellane::harness {
namespace {

namespace fs = std::filesystem;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Clock = std::chrono::steady_clock;

constexpr milliseconds kBeforeFaults{300};
constexpr milliseconds kBeforeEnd{1300};
constexpr milliseconds kAfterRestart{1300};
constexpr seconds kTermLimit{4};  // behind the platform's earliest SIGKILL, 3.7 s
constexpr milliseconds kDown{100};
constexpr milliseconds kExcuse{1500};  // behind an outage, by the protocol
constexpr std::size_t kClients = 5;
constexpr int kMostHeld = 400;

std::string config_of(const RelaySetup& setup, const std::string& address) {
  standin::ConfigParts parts;
  parts.listen = address;
  parts.discovery = setup.discovery;
  parts.max_open = kMostHeld;
  parts.index = setup.index;
  parts.relays = setup.relays;
  return standin::config_json(parts);
}

}  // namespace

FaultRelay::FaultRelay(const RelaySetup& setup, const RelayPlan& plan)
    : setup_(setup), plan_(plan), relay_(setup.program), switch_(relay_.folder() + "/faults") {
  relay_.replace_config(config_of(setup, relay_.address()));
  relay_.set_variable("LD_PRELOAD", setup.library);
  relay_.set_variable("ASAN_OPTIONS", "verify_asan_link_order=0");
  relay_.set_variable("FENNELLANE_FAULTS", plan.rules);
  relay_.set_variable("FENNELLANE_FAULT_SWITCH", switch_);
}

FaultRelay::~FaultRelay() {
  stop_clients();
  for (std::thread& t : background_) t.join();
}

void FaultRelay::violate(const std::string& what) {
  violations_.push_back("relay " + std::to_string(setup_.index) + ": " + what);
}

void FaultRelay::run() {
  try {
    if (plan_.at_start) fault_for_a_while();
    relay_.start();
    serve();
  } catch (const std::runtime_error& e) {
    violate(std::string("did not start: ") + e.what());
  }
  stop_clients();
}

void FaultRelay::fault_for_a_while() {
  const TimePoint now = Clock::now();
  outages_.push_back({now, now + plan_.span + kExcuse});
  std::ofstream(switch_) << "on";
  background_.emplace_back([this] {
    std::this_thread::sleep_for(plan_.span);
    std::error_code ignored;
    fs::remove(switch_, ignored);
  });
}

void FaultRelay::start_clients() {
  for (std::size_t i = 0; i < kClients; ++i) {
    const std::string name = "r" + std::to_string(setup_.index) + "c" + std::to_string(i);
    const std::uint64_t seed = (setup_.seed * 31 + setup_.index) * 31 + i;
    clients_.push_back(std::make_unique<FaultClient>(relay_, seed, name, setup_.contested_in_100));
  }
  for (auto& client : clients_) threads_.emplace_back([&] { client->run(stop_); });
  for (std::size_t i = 0; i < plan_.idle_clients; ++i) idle_.push_back(relay_.connected(idle_io_));
}

void FaultRelay::stop_clients() {
  stop_ = true;
  for (std::thread& t : threads_) t.join();
  threads_.clear();
}

void FaultRelay::serve() {
  start_clients();
  std::this_thread::sleep_for(kBeforeFaults + setup_.delay);
  if (plan_.under_load) fault_for_a_while();
  std::this_thread::sleep_for(kBeforeEnd - kBeforeFaults);
  const TimePoint ending = Clock::now();
  end_first_life();
  restart();
  outages_.push_back({ending, Clock::now() + kExcuse});
  std::this_thread::sleep_for(kAfterRestart);
}

void FaultRelay::end_first_life() {
  if (relay_.gone()) violate("ended by itself under load");
  for (int i = 0; i < plan_.extra_signals; ++i) relay_.signal(SIGHUP);
  if (plan_.end == LifeEnd::kill) {
    relay_.end(SIGKILL);
    return;
  }
  relay_.signal(SIGTERM);
  for (int i = 0; i < plan_.extra_signals; ++i) relay_.signal(SIGTERM);
  const bool gone = standin::happens([&] { return relay_.gone(); }, kTermLimit);
  if (!gone && plan_.end == LifeEnd::sigterm) violate("SIGTERM did not end it in time");
  if (const int code = relay_.end(SIGKILL); gone && code != 0) {
    violate("the first life ended with " + std::to_string(code));
  }
}

void FaultRelay::restart() {
  std::this_thread::sleep_for(kDown);
  if (plan_.replace_folder) {
    fs::remove_all(relay_.state_folder());
    fs::create_directory(relay_.state_folder());
  }
  if (plan_.clock_step_s != 0) {
    relay_.set_variable("FENNELLANE_FAULT_CLOCK_S", std::to_string(plan_.clock_step_s));
  }
  if (plan_.at_restart) fault_for_a_while();
  first_life_end_ = Clock::now();
  relay_.start();
}

void FaultRelay::finish() {
  if (relay_.gone()) return;
  if (relay_.ask("GET /up HTTP/1.1\r\n\r\n") != 200) violate("GET /up is not answered with 200 at the end");
  if (const int code = relay_.end(SIGTERM); code != 0) {
    violate("the second life ended with " + std::to_string(code));
  }
}

std::vector<Message> FaultRelay::messages() const {
  std::vector<Message> all;
  for (const auto& client : clients_) {
    all.insert(all.end(), client->messages().begin(), client->messages().end());
  }
  for (Message& message : all) {
    message.may_vanish = plan_.replace_folder && message.due - kMessageBudget < first_life_end_;
    message.excused_until = message.due;
    for (const Outage& outage : outages_) {
      if (outage.begin <= message.excused_until) {
        message.excused_until = std::max(message.excused_until, outage.end);
      }
    }
  }
  return all;
}

}  // namespace fennellane::harness
