// Upstream requests, one at a time per connection, and the pool of idle connections.
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
           OnCallEnded on_call_ended);
  ~Upstream();

  // Each call ends exactly once, through `on_call_ended`, and never before this returns.
  void start(StartCall call);
  // Ends a call that is not to be sent as `not_sent`, in the loop's next turn.
  void end_unsent(StreamId stream, std::uint32_t attempt);
  void cancel(const CancelCall& call);
  void cancel_unsent(const CancelUnsentCall& call);
  void close_idle(HostId host);
  // No further call uses the connections currently open to the host.
  void retire(HostId host);

  // Serializes the calls in flight and the idle connections, with what was written and read on them, for
  // handover to another process. Call only between two handlers.
  std::string save(OutgoingDescriptors& descriptors);
  // Requires that no call was started: takes over another process's state, without using any of its sockets
  // before `resume`. Throws starlinghook::SnapshotError, std::out_of_range or std::system_error; the object
  // is unusable afterwards.
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
  // Whether the host answers a call that requests the close with `Connection: close`. A connection is reused
  // only if it does, since its answers could not be told apart otherwise.
  bool honors_close(HostId host) const;
  void set_honors_close(HostId host, bool honors);
  void report_unsent();
  void report_call_ended(const CallEnded& end);

  asio::io_context& io_;
  const Config& config_;
  Counters& counters_;
  RateLimitedLog stray_log_;
  record::Recorder& record_;
  std::uint32_t last_connection_number_ = 0;  // numbers the connections in the record
  OnCallEnded on_call_ended_;
  std::unordered_map<StreamId, ConnectionPtr> active_calls_;
  std::unordered_map<HostId, bool> honors_close_;  // by host, as last observed
  bool last_host_honors_close_ = false;
  // By host, the most recently used connection last; no vector is empty.
  std::map<HostId, std::vector<ConnectionPtr>> idle_connections_;
  // Calls that are not sent, with their attempts; they end in the loop's next turn.
  std::vector<std::pair<StreamId, std::uint32_t>> unsent_calls_;
  // Counted by the connections themselves, since the loop may hold some of them for longer than the pool
  // exists.
  std::shared_ptr<std::size_t> connection_count_ = std::make_shared<std::size_t>(0);
};

}  // namespace fennellane
