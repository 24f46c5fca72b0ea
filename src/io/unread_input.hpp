// Checks for unread input on a socket without reading it.
#pragma once

namespace fennellane {

enum class UnreadInput {
  none,
  bytes,
  end,      // the peer has closed or reset the connection
  unknown,  // because of a local shortage
};

// Requires an open socket; does not block.
UnreadInput peek_unread_input(int socket);

}  // namespace fennellane
