// Interprets a host's answer to a call according to the protocol's table, and parses the load report that it
// may carry.
#pragma once

#include <string_view>

#include "config.hpp"
#include "http.hpp"
#include "reducer.hpp"

namespace fennellane {

struct AnswerMeaning {
  starlinghook::Outcome outcome = starlinghook::Outcome::error;
  bool ended_elsewhere = false;
  bool no_slot = false;
  bool recognized = true;
  Time retry_after{};
};
AnswerMeaning interpret_answer(const HttpReader& answer);

// Returns a report with `present == false` if any part of it cannot be parsed.
starlinghook::LoadReport parse_load_report(std::string_view text, const wire::InstanceSettings& boot);

}  // namespace fennellane
