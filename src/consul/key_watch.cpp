#include "key_watch.hpp"

#include <algorithm>
#include <asio/co_spawn.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <utility>

namespace fennellane {

KeyWatch::KeyWatch(asio::io_context& io, const ConsulSettings& consul, const Limits& limits,
                   Counters& counters, Log& log, std::string key, ReadMode what, Time call, Time wait,
                   OnAnswer take)
    : io_(io),
      limits_(limits),
      counters_(counters),
      key_(std::move(key)),
      mode_(what),
      call_(call),
      wait_(wait),
      on_answer_(std::move(take)),
      client_(io, consul, limits,
              what == ReadMode::subtree ? limits.max_fleet_answer : limits.max_consul_value),
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
  std::uint64_t index = 0, newest = 0;
  Time backoff = limits_.backoff_min;
  const std::string flag = mode_ == ReadMode::subtree ? "?recurse&"
                           : mode_ == ReadMode::value ? "?raw&"
                                                      : "?";
  while (!stopped_) {
    const bool waits = index > 0;
    const std::string query = waits ? "index=" + std::to_string(index) + "&wait=" + milliseconds_text(wait_)
                                    : std::string("consistent");
    // An agent adds up to a 16th to the time it was asked to wait.
    const Time limit = call_ + (waits ? wait_ + wait_ / 16 : Time(0));
    ++counters_.lease_reads;
    const AgentAnswer answer = co_await client_.request("GET", "/v1/kv/" + key_ + flag + query, "", limit);
    if (stopped_) break;
    const bool answered = answer.index > 0 && (answer.status == 200 || answer.status == 404);
    // An index that goes backwards is asked for once more, from the leader, before it is believed.
    if (answered && waits && answer.index < index) {
      index = 0;
      continue;
    }
    if (!answered || !on_answer_(answer, answer.index < newest)) {
      index = 0;
      client_.close();
      retry_timer_.expires_after(backoff);
      asio::error_code cut_short;
      co_await retry_timer_.async_wait(asio::redirect_error(asio::use_awaitable, cut_short));
      backoff = std::min(backoff * 2, limits_.backoff_max);
      continue;
    }
    backoff = limits_.backoff_min;
    index = newest = answer.index;
  }
}

}  // namespace fennellane
