// One watch on /v1/health/service/NAME: asks, reads the answer as it comes, and asks again.
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
  // Returns whether the same answer is wanted once more, at once.
  using OnAnswer = std::function<bool(const ServiceAnswer&)>;
  ConsulWatch(asio::io_context& io, const ConsulSettings& settings, std::uint32_t service,
              const NamePositions& names, const Limits& limits, std::uint64_t seed, QueryRateLimiter& budget,
              Counters& counters, Log& log, OnAnswer on_answer);

  // Until `stop`; whoever spawns it keeps this object until it has returned.
  asio::awaitable<void> run();
  void stop();

 private:
  asio::awaitable<bool> run_query();  // false: it has failed, with the cause in `trouble_`
  asio::awaitable<bool> read_body(ServiceAnswer& answer, asio::steady_timer::time_point end);
  asio::awaitable<void> sleep_for(Time span);
  bool fail(std::string why);
  std::string request(const WatchQuery& query) const;
  AnswerHead head() const;
  void log_error_change(const std::string& trouble);

  const ConsulSettings& settings_;
  const ConsulService& service_;
  const Limits& limits_;
  QueryRateLimiter& budget_;
  Counters& counters_;
  Log& log_;
  OnAnswer on_answer_;
  AnswerReader reader_;
  WatchPlan plan_;
  HttpClient client_;
  asio::steady_timer pause_;
  std::string error_;           // of the present query
  std::string logged_error_;    // the trouble that the log has heard of; empty = none
  std::string logged_problem_;  // of hosts that cannot be used, as the log has heard it
  bool stopped_ = false;
};

}  // namespace fennellane
