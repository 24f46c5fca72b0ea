// A message from its acceptance to its final result, with the state that must survive a crash.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "limits.hpp"

namespace fennellane {

using StreamId = std::uint64_t;
using WallTime = std::chrono::microseconds;  // since 1970
using Body = std::shared_ptr<const std::string>;

enum class Verdict : std::uint8_t { undeliverable = 1, deferred = 2 };

struct JournalEntry {
  std::string id;
  std::string idempotency_key;  // identifies a repeat to the partner; empty: the client gave none
  std::uint32_t message_class = 0;
  std::uint32_t tenant = 0;
  std::uint32_t destination = 0;
  WallTime deadline{};
  std::uint32_t attempts = 0;
  bool in_flight = false;  // the newest attempt has no outcome yet
  WallTime attempt_started{};
  std::uint32_t attempt_zone = 0;
  bool may_have_run = false;
  WallTime uncertain_since{};  // start of the first attempt that may have run
  std::uint32_t uncertain_zone = 0;
  std::optional<Verdict> verdict;  // given up; the notice has not been accepted yet
  Time retry_after{};
  Body body = std::make_shared<const std::string>();
};

}  // namespace fennellane
