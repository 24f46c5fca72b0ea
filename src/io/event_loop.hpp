// What the relay needs of its event loop beyond running it.
#pragma once

#include <asio/io_context.hpp>

#include "limits.hpp"

namespace fennellane {

// Guards against an event loop that was made while system calls failed for a moment.
// Throws std::system_error where the loop's timers do not come due: the library overlooks some failures as it
// sets them up. Before the loop has any work.
void require_working_timers(asio::io_context& io);

// Runs handlers until none is ready, or for `most`. Returns whether none is ready.
bool poll_until_idle(asio::io_context& io, Time most);

}  // namespace fennellane
