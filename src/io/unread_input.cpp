#include "unread_input.hpp"

#include <sys/socket.h>

#include <cerrno>

#include "socket_error.hpp"

namespace fennellane {

UnreadInput peek_unread_input(int socket) {
  char byte = 0;
  while (true) {
    const auto size = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (size > 0) return UnreadInput::bytes;
    if (size == 0) return UnreadInput::end;
    const SocketError error = classify_socket_error(errno);
    if (error == SocketError::not_ready) return UnreadInput::none;
    if (error == SocketError::local_shortage) return UnreadInput::unknown;
    if (error == SocketError::peer) return UnreadInput::end;
  }
}

}  // namespace fennellane
