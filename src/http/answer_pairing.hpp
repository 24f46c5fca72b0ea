// Matches answers to calls on one HTTP/1.1 connection, where answers carry no call id. Pure state machine:
// performs no I/O and reads no clock.
//
// The network path may repeat, delay or forge answers, so the next answer need not belong to the newest call.
// Two calls per connection can be matched reliably: the first call, if no bytes preceded it, owns the first
// answer; and a call that requests `Connection: close` owns the answer that says `Connection: close`, since
// no earlier answer does. A connection therefore carries at most these two calls, the second only if it
// requests the close.
#pragma once

#include <cstdint>

namespace fennellane {

class AnswerPairing {
 public:
  // Whether another call may be written.
  bool can_start_call() const { return state_ == State::unused || state_ == State::idle; }
  // Whether the next call must request that the connection be closed.
  bool must_request_close() const { return state_ == State::idle; }
  // Called just before the first byte of a call is written, with no unread input on the connection. Requires
  // `can_start_call()`.
  void begin_call(bool requests_close);

  // Given a complete final answer while a call is in flight, returns whether it belongs to that call. If so,
  // the call has ended.
  bool match_answer(bool has_connection_close);
  // Whether the next bytes to arrive, complete or not, are the call's answer.
  bool next_answer_matches() const { return state_ == State::first_call; }
  // Number of calls started.
  unsigned calls() const { return calls_; }

  // Unsolicited bytes arrived or the connection has ended: it carries no further call.
  void mark_unusable() { state_ = State::unusable; }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(state_, calls_, requested_close_);
  }

 private:
  enum class State : std::uint8_t { unused, first_call, idle, last_call, unusable };

  State state_ = State::unused;
  std::uint8_t calls_ = 0;
  bool requested_close_ = false;
};

}  // namespace fennellane
