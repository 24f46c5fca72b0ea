// A stand-in for the platform's discovery, with faults: lists, watches with an empty line every 2 s, notices.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "sample_config.hpp"
#include "threaded_server.hpp"

namespace fennellane::standin {

// What discovery does while a fault lasts. It learns nothing then: a change reaches it at the fault's end.
enum class DiscoveryFault : std::uint8_t {
  none,
  silent,         // accepts and says nothing; answers all that waits at the end
  forgetful,      // the same, but what was open or asked by then is never answered
  resetting,      // resets open and new connections
  head_only,      // answers with a head, and never goes on
  half_line,      // the same, with half of a list behind the head
  older_version,  // a watch begins with a change of a version that is older than the one asked for
};

class DiscoveryAgent {
 public:
  using Clock = std::chrono::steady_clock;

  explicit DiscoveryAgent(std::vector<HostLine> hosts);
  ~DiscoveryAgent();
  DiscoveryAgent(const DiscoveryAgent&) = delete;
  DiscoveryAgent& operator=(const DiscoveryAgent&) = delete;

  std::string address() const { return server_.address(); }
  void begin_fault(DiscoveryFault fault);
  void end_fault();
  // How long each answer takes to begin, also without a fault. Nothing is lost.
  void set_delay(std::chrono::milliseconds delay) { delay_ = delay; }
  // Replaces lines of the list, or adds them, under a new version. `gone` removes a host.
  void change(const std::vector<HostLine>& lines);

  // Requests for a list or a watch so far, and watches that are open.
  std::size_t requests() const { return requests_; }
  std::size_t fetches() const { return fetches_; }
  std::size_t watches() const { return watches_; }
  // Connections that were asked for something and are open.
  std::size_t pending() const { return pending_; }
  // Whether the notices hold one with this text.
  bool noticed(const std::string& text) const;

 private:
  struct Exchange;
  void serve(const ThreadedServer::Socket& socket);
  void answer_notices(const ThreadedServer::Socket& socket, const std::string& batch);
  void answer_list(Exchange& exchange);
  void answer_watch(Exchange& exchange, int known_version);
  bool await_turn(Exchange& exchange);
  void follow(Exchange& exchange, int sent_version);
  bool sleep_for(Exchange& exchange, std::chrono::milliseconds span);
  bool is_open(const Exchange& exchange) const;
  std::string changes_since(int version, bool full) const;

  struct VersionedLine {
    HostLine host;
    int version = 1;
  };

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<VersionedLine> lines_;
  std::vector<std::vector<HostLine>> unheard_;  // changes during the fault
  int version_ = 1;
  DiscoveryFault fault_ = DiscoveryFault::none;
  std::size_t outages_ = 0;  // begun so far
  bool stopping_ = false;
  std::string notices_;
  std::atomic<std::chrono::milliseconds> delay_{};
  std::atomic<std::size_t> requests_ = 0, fetches_ = 0, watches_ = 0, pending_ = 0;
  ThreadedServer server_;  // last, since its threads use all the others
};

}  // namespace fennellane::standin
