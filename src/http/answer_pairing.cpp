#include "answer_pairing.hpp"

#include <stdexcept>

namespace fennellane {

void AnswerPairing::begin_call(bool asks_close) {
  if (!can_start_call() || (must_request_close() && !asks_close)) {
    throw std::logic_error("a call on a connection that may not carry it");
  }
  state_ = state_ == State::unused ? State::first_call : State::last_call;
  requested_close_ = asks_close;
  ++calls_;
}

bool AnswerPairing::match_answer(bool says_close) {
  switch (state_) {
    case State::first_call:
      state_ = requested_close_ || says_close ? State::unusable : State::idle;
      return true;
    case State::last_call:
      if (!says_close) return false;
      state_ = State::unusable;
      return true;
    default:
      return false;
  }
}

}  // namespace fennellane
