// One relay of the fault laboratory with its clients: two lives under load, while its system calls fail.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "fault_client.hpp"
#include "fault_history.hpp"
#include "fault_plan.hpp"
#include "relay_process.hpp"

namespace fennellane::harness {

// What a relay is started with.
struct RelaySetup {
  std::string program;
  std::string library;    // preloaded into it
  std::string discovery;  // address
  std::size_t index = 0;  // among so many
  std::size_t relays = 1;
  std::uint64_t seed = 1;             // of the load
  unsigned contested_in_100 = 0;      // messages
  std::chrono::milliseconds delay{};  // before its faults and its end
};

class FaultRelay {
 public:
  FaultRelay(const RelaySetup& setup, const RelayPlan& plan);
  ~FaultRelay();
  FaultRelay(const FaultRelay&) = delete;
  FaultRelay& operator=(const FaultRelay&) = delete;

  // Both lives, up to the end of the load. What goes wrong is kept for `violations`.
  void run();
  // Asks it for its readiness and ends it.
  void finish();

  // Behind `run`.
  std::vector<Message> messages() const;
  const std::vector<std::string>& violations() const { return violations_; }
  std::string log() const { return relay_.log(); }

 private:
  // While a relay could not end a message in time, and for so long behind it.
  struct Outage {
    TimePoint begin, end;
  };

  void violate(const std::string& what);
  void fault_for_a_while();
  void start_clients();
  void stop_clients();
  void serve();
  void end_first_life();
  void restart();

  const RelaySetup setup_;
  const RelayPlan plan_;
  standin::RelayProcess relay_;
  const std::string switch_;  // a file: the faults hold while it exists
  std::atomic<bool> stop_ = false;
  std::vector<std::unique_ptr<FaultClient>> clients_;
  std::vector<std::thread> threads_;
  asio::io_context idle_io_;
  std::vector<asio::ip::tcp::socket> idle_;
  std::vector<std::thread> background_;
  std::vector<Outage> outages_;
  TimePoint first_life_end_{};
  std::vector<std::string> violations_;
};

}  // namespace fennellane::harness
