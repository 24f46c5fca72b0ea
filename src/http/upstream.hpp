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
#include "limited_log.hpp"
#include "recorder.hpp"
#include "reducer.hpp"

namespace fennellane {

class Upstream {
 public:
  using OnEnd = std::function<void(const CallEnded&)>;
  Upstream(asio::io_context& io, const Config& config, Counters& counters, Log& log, record::Recorder& record,
           OnEnd on_end);
  ~Upstream();

  // Each call ends once, by `on_end`, and never before this returns.
  void start(StartCall call);
  // Of a call that is not to go out: it ends as not sent, in the loop's next turn.
  void end_unsent(StreamId stream, std::uint32_t attempt);
  void cancel(const CancelCall& call);
  void hold_back(const HoldBack& call);
  void close_idle(HostId host);
  // No call goes out any more on a connection that is open to the host.
  void retire(HostId host);

  // The calls that are out and the idle connections, with what has been written and read on them, for another
  // process. Between two handlers only.
  std::string save(DescriptorsOut& descriptors);
  // Of one that has had no call: goes on with those of another process, but touches none before `resume`.
  // Throws starlinghook::MemoryError, std::out_of_range or std::system_error; it is of no use then.
  void load(std::string_view bytes, DescriptorsIn& descriptors);
  void resume();

  std::size_t calls() const { return calls_.size(); }
  std::size_t connections() const { return *connections_; }
  std::size_t pools() const { return idle_.size(); }

 private:
  class Connection;
  using Pointer = std::shared_ptr<Connection>;
  void park(const Pointer& connection);
  Pointer take_idle(HostId host);
  void forget_idle(const Connection& connection);
  bool make_room();
  // Whether the host says `Connection: close` where it is asked for the close. Only then a connection to it
  // is used again, since its answers could not be told apart.
  bool says_close(HostId host) const;
  void note_says_close(HostId host, bool said);
  void report_unsent();
  void report(const CallEnded& end);

  asio::io_context& io_;
  const Config& config_;
  Counters& counters_;
  LimitedLog stray_log_;
  record::Recorder& record_;
  std::uint32_t last_connection_ = 0;  // numbers them in the record
  OnEnd on_end_;
  std::unordered_map<StreamId, Pointer> calls_;  // out now
  std::unordered_map<HostId, bool> says_close_;  // of those that were asked
  bool last_said_close_ = false;
  std::map<HostId, std::vector<Pointer>> idle_;  // the most recently used last; none is empty
  // Calls that do not go out, with their attempts; they end in the loop's next turn.
  std::vector<std::pair<StreamId, std::uint32_t>> unsent_;
  // Counted by the connections themselves, of which the loop may hold some for longer than the pool lives.
  std::shared_ptr<std::size_t> connections_ = std::make_shared<std::size_t>(0);
};

}  // namespace fennellane
