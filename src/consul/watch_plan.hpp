// Decides the next query of a watch by the rules of Consul's blocking queries. Pure state machine: performs
// no I/O and reads no clock.
//
// From Consul's public API documentation ("Blocking Queries", "Consistency Modes"): an index is at least 1,
// has to be reset to 0 when it decreases, and is unaffected by an error.
#pragma once

#include <cstdint>
#include <random>
#include <string>

#include "consul_settings.hpp"

namespace fennellane {

// Limits the queries per second of all watches with a token bucket.
class QueryRateLimiter {
 public:
  explicit QueryRateLimiter(double per_second) : rate_(per_second), tokens_(per_second) {}
  // Takes one token and returns when the query may be sent: `now` or later.
  Time reserve(Time now);

 private:
  const double rate_;
  double tokens_;  // negative: reserved in advance
  Time at_{};
};

struct AnswerHead {
  unsigned status = 0;
  std::uint64_t index = 0;   // X-Consul-Index; 0 = none
  bool known_leader = true;  // X-Consul-KnownLeader
  Time last_contact{};       // X-Consul-LastContact
  Time retry_after{};        // Retry-After, of a 429
};

struct WatchQuery {
  std::uint64_t index = 0;  // 0: not blocking
  Time wait{};
  Consistency consistency = Consistency::normal;
};

class WatchPlan {
 public:
  WatchPlan(const ConsulSettings& settings, std::uint64_t seed, Time backoff_min, Time backoff_max);

  // The next query. Its answer is reported by `on_head`, then by `on_answer_read` or `on_failure`.
  WatchQuery next_query();

  enum class AnswerUse {
    usable,           // read the body
    without_leader,   // read the body; the server is out of touch with the leader: missing hosts are kept
    index_decreased,  // older than the known state: skip the body and query the leader
    rejected          // not an answer; see `error`
  };
  AnswerUse on_head(const AnswerHead& head);
  void on_answer_read();  // the body was read completely
  // The query failed: a broken connection, an unreadable or a late answer. Wait for `pause()` before the
  // next.
  void on_failure();
  // Makes the next query non-blocking and sends it to the leader.
  void query_again() { query_again_ = true; }

  Time pause() const { return pause_; }  // before the next query; 0 = none
  bool from_leader() const { return query_.consistency != Consistency::stale; }  // the current query
  const std::string& error() const { return error_; }  // the newest error, in one line; empty = none
  std::uint64_t index() const { return index_; }

 private:
  void back_off(Time min_backoff);

  const ConsulSettings& settings_;
  const Time backoff_min_, backoff_max_;
  std::minstd_rand random_;
  std::uint64_t index_ = 0;
  std::uint64_t answered_index_ = 0;  // of the answer being read
  bool query_again_ = false;
  bool ask_leader_ = false;  // query the leader next, even if the settings say stale
  WatchQuery query_;
  unsigned failures_ = 0;
  Time pause_{};
  std::string error_;
};

}  // namespace fennellane
