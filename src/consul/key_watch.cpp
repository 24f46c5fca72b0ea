#include "key_watch.hpp"

#include <algorithm>
#include <asio/co_spawn.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <utility>

namespace fennellane {

KeyWatch::KeyWatch(asio::io_context& io, const ConsulSettings& consul, const Limits& limits,
                   Counters& counters, Log& log, std::string key, ReadMode mode, Time call, Time wait,
                   OnAnswer on_answer)
    : io_(io),
      limits_(limits),
      counters_(counters),
      key_(std::move(key)),
      mode_(mode),
      call_(call),
      wait_(wait),
      on_answer_(std::move(on_answer)),
      client_(io, consul, limits,
              mode == ReadMode::subtree ? limits.max_fleet_answer : limits.max_consul_value),
      retry_timer_(io) {
  client_.report_strays(counters.agent_strays, log);
}

void KeyWatch::start() {
  asio::co_spawn(
      io_, [self = shared_from_this()]() -> asio::awaitable<void> { co_await self->run(); }, rethrow);
}

void KeyWatch::stop() {
  stopped_ = true;
  client_.close();
  retry_timer_.cancel();
}

asio::awaitable<void> KeyWatch::run() {
  std::uint64_t index = 0, last_index = 0;
  Time backoff = limits_.backoff_min;
  const std::string flag = mode_ == ReadMode::subtree ? "?recurse&"
                           : mode_ == ReadMode::value ? "?raw&"
                                                      : "?";
  while (!stopped_) {
    const bool blocking = index > 0;
    const std::string query = blocking
                                  ? "index=" + std::to_string(index) + "&wait=" + milliseconds_text(wait_)
                                  : std::string("consistent");
    // An agent adds up to 1/16 to the requested wait.
    const Time limit = call_ + (blocking ? wait_ + wait_ / 16 : Time(0));
    ++counters_.lease_reads;
    const AgentAnswer answer = co_await client_.request("GET", "/v1/kv/" + key_ + flag + query, "", limit);
    if (stopped_) break;
    const bool answered = answer.index > 0 && (answer.status == 200 || answer.status == 404);
    // If the index decreases, the read is repeated at the leader before the answer is accepted.
    if (answered && blocking && answer.index < index) {
      index = 0;
      continue;
    }
    if (!answered || !on_answer_(answer, answer.index < last_index)) {
      index = 0;
      client_.close();
      retry_timer_.expires_after(backoff);
      asio::error_code cut_short;
      co_await retry_timer_.async_wait(asio::redirect_error(asio::use_awaitable, cut_short));
      backoff = std::min(backoff * 2, limits_.backoff_max);
      continue;
    }
    backoff = limits_.backoff_min;
    index = last_index = answer.index;
  }
}

}  // namespace fennellane
