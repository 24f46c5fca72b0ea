// A TCP proxy on loopback that puts faults between two processes: one for each path, so that each path has
// its own. All of them run on one thread. For tests and measurements.
#pragma once

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace fennellane::harness {

enum class PathFault : std::uint8_t {
  none,
  delay,      // each piece waits for `delay` before it goes on
  hold_up,    // what the client sends stands still, and arrives late once the fault is over
  hold_down,  // the same for what the server sends
  hold,       // both: a partition as TCP shows it
  drop,       // what comes is lost, and the connection is reset when the fault is over
  refuse      // connections are reset, new ones as they come
};
const char* name_of(PathFault fault);
inline constexpr int kPathFaults = 7;

class ProxyLoop;

class FaultProxy {
 public:
  // Listens on an ephemeral port of `listen` (127.0.0.x) and connects to `target` from `source`, so that who
  // is called sees which path the call came on.
  FaultProxy(ProxyLoop& loop, const std::string& listen, const std::string& source,
             const std::string& target);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  std::string address() const { return address_; }
  void set(PathFault fault, std::chrono::milliseconds delay = {});
  void reset();  // all connections, once

 private:
  struct State;
  ProxyLoop& loop_;
  std::shared_ptr<State> state_;
  std::string address_;
};

// The thread that all proxies run on; outlives them.
class ProxyLoop {
 public:
  ProxyLoop();
  ~ProxyLoop();
  ProxyLoop(const ProxyLoop&) = delete;
  ProxyLoop& operator=(const ProxyLoop&) = delete;
  asio::io_context& io() { return io_; }

 private:
  asio::io_context io_{1};
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  std::thread thread_;
};

}  // namespace fennellane::harness
