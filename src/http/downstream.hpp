// Client-facing HTTP server: accepts connections, reads requests, and writes the relay's answers.
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

// Parses the message from a request, or returns the HTTP status that rejects it.
std::variant<MessageSubmitted, unsigned> parse_message_request(HttpReader& request, const Config& config);

// The listen address stayed unavailable for the time that a start waits for it.
class ListenError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

class Downstream {
 public:
  using OnMessage = std::function<void(MessageSubmitted)>;  // answers before it returns
  Downstream(asio::io_context& io, const Config& config, Counters& counters, Log& log,
             record::Recorder& record, OnMessage on_message);
  ~Downstream();

  // Accepts connections as soon as the address is available. Throws ConfigError if the address is invalid. If
  // it stays in use or does not belong to this machine, ListenError is thrown out of the event loop.
  void listen();
  // Serializes the listener, the connections, and their unprocessed input and unwritten output, for handover
  // to another process. Call only between two handlers.
  std::string save(OutgoingDescriptors& descriptors);
  // Called instead of `listen`: takes over another process's state, without using any of its sockets before
  // `resume`. Throws starlinghook::SnapshotError, std::out_of_range or std::system_error; the object is
  // unusable afterwards.
  void load(std::string_view bytes, IncomingDescriptors& descriptors);
  void resume();

  void answer(const SendAnswer& answer);
  void set_ready() { ready_ = true; }
  // The reason that GET /up reports while the relay is not ready.
  void set_not_ready(std::string_view reason);
  void disable_keep_alive();  // from now on each answer closes its connection
  void close_idle();          // connections on which no request is being read
  void stop_reading();        // reads no more requests and accepts no more connections; requests already read
                              // are answered
  std::size_t connections() const { return sessions_.size(); }

 private:
  class Session;
  bool open_listener(const asio::ip::tcp::endpoint& at, asio::error_code& error);
  void listen_at(const asio::ip::tcp::endpoint& at, Time deadline);
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
  FileDescriptor pending_descriptor_;  // accepted, but not yet registered with the event loop
  std::map<RequestHandle, std::shared_ptr<Session>> sessions_;
  admission::ConnectionTable connection_table_;
  RequestHandle next_session_id_ = 1;
  bool ready_ = false;
  std::string not_ready_reason_ = "starting";
  bool accept_failure_logged_ = false;  // logged once, not per failure
  bool keep_alive_disabled_ = false;
  bool reading_stopped_ = false;
};

}  // namespace fennellane
