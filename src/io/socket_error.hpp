// What the error of a socket's system call means for the one who made it: the one place that sorts them.
#pragma once

#include <asio/error_code.hpp>

namespace fennellane {

enum class SocketError {
  none,
  interrupted,     // the same call again, at once
  not_ready,       // once the socket is ready
  local_shortage,  // of memory, descriptors, ports or routes here: after a pause; tells nothing of the peer
  peer,            // the connection is over, or never came up
};

// Of an errno; 0 is none.
SocketError classify_socket_error(int error);
SocketError classify_socket_error(const asio::error_code& error);

// Of accept4: whether only the connection that was to be accepted is gone, and the next one may be fine.
bool affects_one_connection(int accept_error);

}  // namespace fennellane
