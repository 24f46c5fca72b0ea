// The clients' side: accepts connections, reads requests, and writes the answers that the relay gives.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>

#include "config.hpp"
#include "connection_table.hpp"
#include "counters.hpp"
#include "descriptor.hpp"
#include "http.hpp"
#include "log.hpp"
#include "recorder.hpp"
#include "reducer.hpp"

namespace fennellane {

// The message that a request hands in, or the status that refuses it.
std::variant<MessageSubmitted, unsigned> parse_message_request(HttpReader& request, const Config& config);

// The address cannot be had, in the time that a start waits for it.
class ListenError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

class Downstream {
 public:
  using OnMessage = std::function<void(MessageSubmitted)>;  // answers before it returns
  Downstream(asio::io_context& io, const Config& config, Counters& counters, Log& log,
             record::Recorder& record, OnMessage on_offer);
  ~Downstream();

  // Takes connections as soon as the address can be had. Throws ConfigError where it is none; where it stays
  // taken, or is not this machine's, ListenError leaves the loop.
  void listen();
  // The listener, the connections and what has been read and not yet written on them, for another process.
  // Between two handlers only.
  std::string save(OutgoingDescriptors& descriptors);
  // Instead of `listen`: goes on with those of another process, but touches none before `resume`. Throws
  // starlinghook::MemoryError, std::out_of_range or std::system_error; it is of no use then.
  void load(std::string_view bytes, IncomingDescriptors& descriptors);
  void resume();

  void answer(const SendAnswer& answer);
  void set_ready() { ready_ = true; }
  // What GET /up tells as long as the relay is not ready.
  void set_not_ready(std::string_view reason);
  void disable_keep_alive();  // answers on, but keeps no connection
  void close_idle();          // those on which no request is being read
  void stop_reading();        // neither requests nor connections are taken; what has been read is answered
  std::size_t connections() const { return sessions_.size(); }

 private:
  class Session;
  bool open_listener(const asio::ip::tcp::endpoint& at, asio::error_code& error);
  void listen_at(const asio::ip::tcp::endpoint& at, Time give_up_at);
  void await_connection();
  void accept_batch();
  enum class AcceptResult { accepted, none_pending, must_pause };
  AcceptResult accept_one();
  FileDescriptor accept_descriptor(int& error);
  AcceptResult add_session(asio::ip::tcp::socket socket);
  void pause_accepting();
  bool ensure_connection_slot();
  void close_surplus_sessions();

  asio::io_context& io_;
  const Config& config_;
  Counters& counters_;
  Log& log_;
  record::Recorder& record_;
  OnMessage on_message_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer pause_timer_;
  FileDescriptor pending_descriptor_;  // a connection that the event loop had no room for yet
  std::map<RequestHandle, std::shared_ptr<Session>> sessions_;
  admission::ConnectionTable connection_table_;
  RequestHandle next_session_id_ = 1;
  bool ready_ = false;
  std::string not_ready_reason_ = "starting";
  bool accept_failure_logged_ = false;  // that a connection cannot be accepted
  bool keep_alive_disabled_ = false;
  bool reading_stopped_ = false;
};

}  // namespace fennellane
