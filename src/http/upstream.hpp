// Upstream requests, one at a time on a connection, and the pool of connections that they leave behind.
#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

#include "config.hpp"
#include "counters.hpp"
#include "descriptor.hpp"
#include "http.hpp"
#include "rate_limited_log.hpp"
#include "recorder.hpp"
#include "reducer.hpp"

namespace fennellane {

class Upstream {
 public:
  using OnCallEnded = std::function<void(const CallEnded&)>;
  Upstream(asio::io_context& io, const Config& config, Counters& counters, Log& log, record::Recorder& record,
           OnCallEnded on_end);
  ~Upstream();

  // Each call ends once, by `on_end`, and never before this returns.
  void start(StartCall call);
  // Of a call that is not to go out: it ends as not sent, in the loop's next turn.
  void end_unsent(StreamId stream, std::uint32_t attempt);
  void cancel(const CancelCall& call);
  void hold_back(const CancelUnsentCall& call);
  void close_idle(HostId host);
  // No call goes out any more on a connection that is open to the host.
  void retire(HostId host);

  // The calls that are out and the idle connections, with what has been written and read on them, for another
  // process. Between two handlers only.
  std::string save(OutgoingDescriptors& descriptors);
  // Of one that has had no call: goes on with those of another process, but touches none before `resume`.
  // Throws starlinghook::MemoryError, std::out_of_range or std::system_error; it is of no use then.
  void load(std::string_view bytes, IncomingDescriptors& descriptors);
  void resume();

  std::size_t active_calls() const { return active_calls_.size(); }
  std::size_t connections() const { return *connection_count_; }
  std::size_t idle_pools() const { return idle_connections_.size(); }

 private:
  class Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;
  void add_idle(const ConnectionPtr& connection);
  ConnectionPtr pop_idle(HostId host);
  void remove_idle(const Connection& connection);
  bool ensure_connection_slot();
  // Whether the host says `Connection: close` where it is asked for the close. Only then a connection to it
  // is used again, since its answers could not be told apart.
  bool honors_close(HostId host) const;
  void set_honors_close(HostId host, bool said);
  void report_unsent();
  void report_call_ended(const CallEnded& end);

  asio::io_context& io_;
  const Config& config_;
  Counters& counters_;
  RateLimitedLog stray_log_;
  record::Recorder& record_;
  std::uint32_t last_connection_number_ = 0;  // numbers them in the record
  OnCallEnded on_call_ended_;
  std::unordered_map<StreamId, ConnectionPtr> active_calls_;  // out now
  std::unordered_map<HostId, bool> honors_close_;             // of those that were asked
  bool last_host_honors_close_ = false;
  std::map<HostId, std::vector<ConnectionPtr>>
      idle_connections_;  // the most recently used last; none is empty
  // Calls that do not go out, with their attempts; they end in the loop's next turn.
  std::vector<std::pair<StreamId, std::uint32_t>> unsent_calls_;
  // Counted by the connections themselves, of which the loop may hold some for longer than the pool lives.
  std::shared_ptr<std::size_t> connection_count_ = std::make_shared<std::size_t>(0);
};

}  // namespace fennellane
