#include "answer_pairing.hpp"

#include <stdexcept>

namespace fennellane {

void AnswerPairing::begin_call(bool asks_close) {
  if (!may_call() || (must_ask_close() && !asks_close)) {
    throw std::logic_error("a call on a connection that may not carry it");
  }
  state_ = state_ == State::unused ? State::first_call : State::last_call;
  asked_close_ = asks_close;
  ++calls_;
}

bool AnswerPairing::is_own(bool says_close) {
  switch (state_) {
    case State::first_call:
      state_ = asked_close_ || says_close ? State::spent : State::resting;
      return true;
    case State::last_call:
      if (!says_close) return false;
      state_ = State::spent;
      return true;
    default:
      return false;
  }
}

}  // namespace fennellane
