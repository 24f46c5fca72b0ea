// What waits to be read on a socket, without reading it.
#pragma once

namespace fennellane {

enum class UnreadInput {
  none,
  bytes,
  end,      // the peer has closed or reset the connection
  unknown,  // for a shortage here
};

// Of a socket that is open; does not block.
UnreadInput peek_unread_input(int socket);

}  // namespace fennellane
