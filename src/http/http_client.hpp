// HTTP client for coroutines, used for calls to the discovery agent and to Consul's agent. Each call uses its
// own connection, so that no answer can belong to another call. Every step has a timeout, after which the
// connection is closed and the step fails.
//
// GCC 12 generates code that traps at run time for a co_await in a condition inside a loop. Results are
// therefore stored in a variable before they are tested, here and in all code that uses this class.
#pragma once

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <exception>
#include <optional>
#include <string>

#include "answer_pairing.hpp"
#include "config.hpp"
#include "http.hpp"
#include "rate_limited_log.hpp"
#include "ring_buffer.hpp"

namespace fennellane {

// Completion handler for co_spawn: rethrows an exception that leaves a coroutine, so that it also leaves the
// event loop. Otherwise one part of the relay could fail silently while the others go on.
inline void rethrow(std::exception_ptr error) {
  if (error) std::rethrow_exception(error);
}

class HttpClient {
 public:
  // `max_request_bytes`: size limit of one request; 0 selects the default.
  HttpClient(asio::io_context& io, const Address& address, const Limits& limits, std::size_t max_body_bytes,
             std::size_t max_request_bytes = 0);

  // Counts unsolicited bytes in `counter` and logs them, rate-limited. Both arguments must outlive this
  // object.
  void enable_stray_reporting(std::uint64_t& counter, Log& log);

  asio::awaitable<bool> connect(Time limit);
  // At most once per connection.
  asio::awaitable<bool> send(std::string text, Time limit);
  // Reads the next piece of the answer. Returns false if the connection has ended, or the answer is
  // unreadable or may belong to another call. Closes the connection after a complete answer.
  asio::awaitable<bool> read(Time limit);
  // Reads one complete answer within the limit.
  asio::awaitable<bool> read_answer(Time limit);
  // Same, with a shorter limit for each piece.
  asio::awaitable<bool> read_answer(Time piece_limit, Time total_limit);
  // Switches to another address: the connection to the old one is closed at once and pending operations on it
  // fail.
  void redirect(const Address& address);
  HttpReader& answer() { return answer_; }
  const HttpReader& answer() const { return answer_; }
  bool open() const { return socket_.is_open(); }
  void close();

 private:
  void arm_timer(Time limit);
  asio::awaitable<bool> can_send(Time limit);
  void report_stray();
  bool skip_interim_answer();
  std::size_t feed_answer();
  // Whether the received answer contains, or is followed by, another answer that is not a copy of it. Either
  // of the two may belong to the call.
  bool has_conflicting_answer() const;
  void close_after_answer();

  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  Address address_;
  RingBuffer in_;
  RingBuffer out_;
  HttpReader answer_;
  AnswerPairing pairing_;
  const unsigned max_interim_answers_;
  const Time local_retry_delay_;
  unsigned interim_answers_ = 0;  // answers skipped before the call's own
  std::string answer_prefix_;     // the first bytes of the answer as received
  const Time stray_log_interval_;
  std::uint64_t* stray_counter_ = nullptr;
  std::optional<RateLimitedLog> stray_log_;
};

}  // namespace fennellane
