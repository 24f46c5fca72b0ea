// Tells the platform of messages that end undelivered, many in one request, until it has taken each.
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
  Notices(asio::io_context& io, const Config& config, Counters& counters, Log& log, OnAccepted on_taken);
  void start();
  void post(const PostNotice& notice);
  void redirect(const Address& address);  // what is owed goes there from now on
  // What is owed, for another process, which owes it from then on: what was on its way goes once more.
  std::string save() const;
  void load(std::string_view bytes);  // before `start`; throws starlinghook::MemoryError

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
  std::size_t next_batch_size() const;                      // how many lines go next
  asio::awaitable<unsigned> send_batch(std::size_t count);  // the answer's status, or 0
  // Whether these lines are owed no more.
  bool is_batch_done(unsigned status, std::size_t count);
  void remove_lines(std::size_t count);
  asio::awaitable<void> back_off(unsigned status);  // after a try that failed

  asio::io_context& io_;
  const Config& config_;
  Counters& counters_;
  Log& log_;
  OnAccepted on_accepted_;
  Address address_;
  HttpClient client_;
  asio::steady_timer wake_timer_;   // something is owed
  asio::steady_timer retry_timer_;  // after a try that failed
  RetryBackoff retry_;
  Time
      answer_timeout_;  // for each step of a try: longer after one that failed, as long as the platform needs
  std::deque<Line> pending_lines_;
  std::size_t max_batch_lines_ = SIZE_MAX;  // in one batch
  bool redirected_ = false;                 // since the newest try began
};

std::string format_notice(const PostNotice& notice);

}  // namespace fennellane
