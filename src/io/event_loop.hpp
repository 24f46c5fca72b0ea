// Guards against an event loop that was made while system calls failed for a moment.
#pragma once

#include <asio/io_context.hpp>

namespace fennellane {

// Throws std::system_error where the loop's timers do not come due: the library overlooks some failures as it
// sets them up. Before the loop has any work.
void require_working_timers(asio::io_context& io);

}  // namespace fennellane
