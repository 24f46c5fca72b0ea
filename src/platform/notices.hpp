// Notifies the platform of messages that ended undelivered, many per request, until it has accepted each
// notice.
#pragma once

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <deque>
#include <functional>

#include "http_client.hpp"
#include "log.hpp"
#include "reducer.hpp"
#include "retry_backoff.hpp"

namespace fennellane {

class Notices {
 public:
  using OnAccepted = std::function<void(StreamId)>;
  Notices(asio::io_context& io, const Config& config, Counters& counters, Log& log, OnAccepted on_accepted);
  void start();
  void post(const PostNotice& notice);
  void redirect(const Address& address);  // pending notices are sent there from now on
  // Serializes the pending notices for handover to another process, which becomes responsible for them. Those
  // in flight are sent again.
  std::string save() const;
  void load(std::string_view bytes);  // before `start`; throws starlinghook::SnapshotError

 private:
  struct Line {
    StreamId stream = 0;
    std::string text;
    template <class Archive>
    void serialize(Archive& archive) {
      archive(stream, text);
    }
  };
  asio::awaitable<void> run();
  std::size_t next_batch_size() const;                      // number of lines in the next request
  asio::awaitable<unsigned> send_batch(std::size_t count);  // the answer's status, or 0
  // Whether these lines need not be sent again.
  bool is_batch_done(unsigned status, std::size_t count);
  void remove_lines(std::size_t count);
  asio::awaitable<void> back_off(unsigned status);  // after a failed attempt

  asio::io_context& io_;
  const Config& config_;
  Counters& counters_;
  Log& log_;
  OnAccepted on_accepted_;
  Address address_;
  HttpClient client_;
  asio::steady_timer wake_timer_;   // a notice is pending
  asio::steady_timer retry_timer_;  // delay after a failed attempt
  RetryBackoff retry_;
  Time answer_timeout_;  // for each step of an attempt; grows after one without an answer, so that a slow
                         // platform gets the time it needs
  std::deque<Line> pending_lines_;
  std::size_t max_batch_lines_ = SIZE_MAX;  // in one request
  bool redirected_ = false;                 // since the last attempt started
};

std::string format_notice(const PostNotice& notice);

}  // namespace fennellane
