#include "answer_pairing.hpp"

#include <stdexcept>

namespace fennellane {

void AnswerPairing::begin_call(bool requests_close) {
  if (!can_start_call() || (must_request_close() && !requests_close)) {
    throw std::logic_error("the connection cannot carry this call");
  }
  state_ = state_ == State::unused ? State::first_call : State::last_call;
  requested_close_ = requests_close;
  ++calls_;
}

bool AnswerPairing::match_answer(bool has_connection_close) {
  switch (state_) {
    case State::first_call:
      state_ = requested_close_ || has_connection_close ? State::unusable : State::idle;
      return true;
    case State::last_call:
      if (!has_connection_close) return false;
      state_ = State::unusable;
      return true;
    default:
      return false;
  }
}

}  // namespace fennellane
