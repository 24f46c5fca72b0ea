// What one watch on Consul asks next: the rules of blocking queries, without input, output or clock.
//
// From Consul's public API documentation ("Blocking Queries", "Consistency Modes"): an index is never below
// 1, goes back to 0 when it goes backwards, and is unaffected by an error.
#pragma once

#include <cstdint>
#include <random>
#include <string>

#include "consul_settings.hpp"

namespace fennellane {

// Queries a second over all watches: a bucket of tokens.
class QueryRateLimiter {
 public:
  explicit QueryRateLimiter(double per_second) : rate_(per_second), tokens_(per_second) {}
  // Takes one and says when it may go: `now`, or later.
  Time reserve(Time now);

 private:
  const double rate_;
  double tokens_;  // below 0: taken ahead
  Time at_{};
};

struct AnswerHead {
  unsigned status = 0;
  std::uint64_t index = 0;   // X-Consul-Index; 0 = none
  bool known_leader = true;  // X-Consul-KnownLeader
  Time last_contact{};       // X-Consul-LastContact
  Time retry_after{};        // of a 429
};

struct WatchQuery {
  std::uint64_t index = 0;  // 0: answered at once
  Time wait{};
  Consistency consistency = Consistency::normal;
};

class WatchPlan {
 public:
  WatchPlan(const ConsulSettings& settings, std::uint64_t seed, Time backoff_least, Time backoff_most);

  // The next query; the answer to it is told by `head`, then by `taken` or `failed`.
  WatchQuery next_query();

  enum class AnswerUse {
    usable,           // its body is an answer to go by
    without_leader,   // the same, of a server that is out of touch: nothing is gone only because it is not
                      // named
    index_decreased,  // older than what is known: not read, and asked for again from the leader
    rejected          // no answer; `trouble` says why
  };
  AnswerUse on_head(const AnswerHead& head);
  void on_answer_read();  // the body was read whole
  // The query failed: a broken connection, a spoilt or late answer. Pause for `pause()` before the next.
  void on_failure();
  // The same answer is wanted once more, at once and from the leader.
  void query_again() { query_again_ = true; }

  Time pause() const { return pause_; }  // before the next query; 0 = none
  bool from_leader() const { return query_.consistency != Consistency::stale; }  // the query that is out
  const std::string& error() const { return error_; }  // the newest, in one line; empty = none
  std::uint64_t index() const { return index_; }

 private:
  void back_off(Time least);

  const ConsulSettings& settings_;
  const Time backoff_min_, backoff_max_;
  std::minstd_rand random_;
  std::uint64_t index_ = 0;
  std::uint64_t answered_index_ = 0;  // of the answer whose body is being read
  bool query_again_ = false;
  bool ask_leader_ = false;  // the next query, although the settings say stale
  WatchQuery query_;
  unsigned failures_ = 0;
  Time pause_{};
  std::string error_;
};

}  // namespace fennellane
