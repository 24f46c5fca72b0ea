// Helpers for the event loop.
#pragma once

#include <asio/io_context.hpp>

#include "limits.hpp"

namespace fennellane {

// Throws std::system_error if the loop's timers do not expire: the library ignores some errors while setting
// them up, for instance when system calls fail transiently. Call before the loop has any work.
void require_working_timers(asio::io_context& io);

// Runs handlers until none is ready or `max_duration` has passed. Returns whether none is ready.
bool poll_until_idle(asio::io_context& io, Time max_duration);

}  // namespace fennellane
