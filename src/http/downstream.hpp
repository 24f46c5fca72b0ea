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
#include "counters.hpp"
#include "descriptor.hpp"
#include "http.hpp"
#include "log.hpp"
#include "places.hpp"
#include "recorder.hpp"
#include "reducer.hpp"

namespace fennellane {

// The message that a request hands in, or the status that refuses it.
std::variant<Offered, unsigned> read_offer(HttpReader& request, const Config& config);

// The address cannot be had, in the time that a start waits for it.
class ListenError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

class Downstream {
 public:
  using OnOffer = std::function<void(Offered)>;  // answers before it returns
  Downstream(asio::io_context& io, const Config& config, Counters& counters, Log& log,
             record::Recorder& record, OnOffer on_offer);
  ~Downstream();

  // Takes connections as soon as the address can be had. Throws ConfigError where it is none; where it stays
  // taken, or is not this machine's, ListenError leaves the loop.
  void listen();
  // The listener, the connections and what has been read and not yet written on them, for another process.
  // Between two handlers only.
  std::string save(DescriptorsOut& descriptors);
  // Instead of `listen`: goes on with those of another process, but touches none before `resume`. Throws
  // starlinghook::MemoryError, std::out_of_range or std::system_error; it is of no use then.
  void load(std::string_view bytes, DescriptorsIn& descriptors);
  void resume();

  void answer(const Answer& answer);
  void set_ready() { ready_ = true; }
  // What GET /up tells as long as the relay is not ready.
  void set_not_ready(std::string_view reason);
  void send_away();     // answers on, but keeps no connection
  void close_idle();    // those on which no request is being read
  void stop_reading();  // neither requests nor connections are taken; what has been read is answered
  std::size_t connections() const { return sessions_.size(); }

 private:
  class Session;
  bool open_listener(const asio::ip::tcp::endpoint& at, asio::error_code& error);
  void listen_at(const asio::ip::tcp::endpoint& at, Time give_up_at);
  void accept();
  void accept_some();
  enum class Accepted { one, none_waits, must_pause };
  Accepted accept_one();
  FileDescriptor accept_descriptor(int& error);
  Accepted enter(asio::ip::tcp::socket socket);
  void pause_accepting();
  bool make_room();
  void close_surplus();

  asio::io_context& io_;
  const Config& config_;
  Counters& counters_;
  Log& log_;
  record::Recorder& record_;
  OnOffer on_offer_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer pause_;
  FileDescriptor accepted_;  // a connection that the event loop had no room for yet
  std::map<ReplyTo, std::shared_ptr<Session>> sessions_;
  admission::Places places_;
  ReplyTo next_ = 1;
  bool ready_ = false;
  std::string not_ready_ = "starting";
  bool said_ = false;  // that a connection cannot be accepted
  bool sending_away_ = false;
  bool reading_stopped_ = false;
};

}  // namespace fennellane
