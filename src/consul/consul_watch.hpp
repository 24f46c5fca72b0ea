// One watch on /v1/health/service/NAME: repeats blocking queries and reads the answers incrementally.
#pragma once

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>

#include "answer_reader.hpp"
#include "consul_settings.hpp"
#include "counters.hpp"
#include "http_client.hpp"
#include "log.hpp"
#include "watch_plan.hpp"

namespace fennellane {

class ConsulWatch {
 public:
  // Returns whether to repeat the query at once.
  using OnAnswer = std::function<bool(const ServiceAnswer&)>;
  ConsulWatch(asio::io_context& io, const ConsulSettings& settings, std::uint32_t service,
              const NamePositions& names, const Limits& limits, std::uint64_t seed,
              QueryRateLimiter& rate_limiter, Counters& counters, Log& log, OnAnswer on_answer);

  // Runs until `stop`; the caller must keep this object alive until it has returned.
  asio::awaitable<void> run();
  void stop();

 private:
  asio::awaitable<bool> run_query();  // false: failed, with the cause in `error_`
  asio::awaitable<bool> read_body(ServiceAnswer& answer, asio::steady_timer::time_point end);
  asio::awaitable<void> sleep_for(Time span);
  bool fail(std::string reason);
  std::string request(const WatchQuery& query) const;
  AnswerHead head() const;
  void log_error_change(const std::string& error);

  const ConsulSettings& settings_;
  const ConsulService& service_;
  const Limits& limits_;
  QueryRateLimiter& rate_limiter_;
  Counters& counters_;
  Log& log_;
  OnAnswer on_answer_;
  AnswerReader reader_;
  WatchPlan plan_;
  HttpClient client_;
  asio::steady_timer sleep_timer_;
  std::string error_;           // of the present query
  std::string logged_error_;    // the error logged last; empty = none
  std::string logged_problem_;  // of unusable hosts, as logged last
  bool stopped_ = false;
};

}  // namespace fennellane
