#include "socket_error.hpp"

#include <cerrno>

namespace fennellane {

SocketError classify_socket_error(int error) {
  switch (error) {
    case 0:
      return SocketError::none;
    case EINTR:
      return SocketError::interrupted;
    case EAGAIN:
    case EINPROGRESS:
    case EALREADY:
      return SocketError::not_ready;
    case ENOBUFS:
    case ENOMEM:
    case EMFILE:
    case ENFILE:
    case ENOSPC:  // of watches that epoll may hold
    case EADDRNOTAVAIL:
    case EADDRINUSE:
    case ENETDOWN:
    case ENETUNREACH:
      return SocketError::local_shortage;
    default:
      return SocketError::peer;
  }
}

SocketError classify_socket_error(const asio::error_code& error) {
  return classify_socket_error(error.value());
}

// As accept(2) lists them: errors of the network that are waiting on the new connection.
bool affects_one_connection(int accept_error) {
  switch (accept_error) {
    case EINTR:
    case ECONNABORTED:
    case EPERM:  // a firewall's rule
    case EPROTO:
    case ENOPROTOOPT:
    case EOPNOTSUPP:
    case ENETDOWN:
    case ENETUNREACH:
    case EHOSTDOWN:
    case EHOSTUNREACH:
    case ENONET:
      return true;
    default:
      return false;
  }
}

}  // namespace fennellane
