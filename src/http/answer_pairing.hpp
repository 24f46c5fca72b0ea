// Which call an answer belongs to on one HTTP/1.1 connection whose answers carry no id of their call. No
// input or output and no clock.
//
// A path may repeat, delay or make up answers, so the next answer need not be the newest call's. Two calls of
// a connection have an answer that is surely theirs: the first, where nothing came before it, has the first
// answer; and one that asks for the connection's close has the answer that says `Connection: close`, as none
// before it does. So a connection carries these two at most, the second only asking for the close.
#pragma once

#include <cstdint>

namespace fennellane {

class AnswerPairing {
 public:
  // Whether another call may be written.
  bool can_start_call() const { return state_ == State::unused || state_ == State::idle; }
  // Whether that call has to ask for the connection's close.
  bool must_request_close() const { return state_ == State::idle; }
  // The call's first byte is about to be written, and nothing unread has come. Requires `may_call`.
  void begin_call(bool asks_close);

  // Of a whole final answer while a call is out: whether it is that call's. If so, the call is over.
  bool match_answer(bool says_close);
  // Whether whatever comes next, in whole or in part, is the call's answer.
  bool next_answer_matches() const { return state_ == State::first_call; }
  // How many calls have begun.
  unsigned calls() const { return calls_; }

  // Bytes came that no call had asked for, or the connection has ended: it carries no other call.
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
