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
    case ENOSPC:  // epoll watches
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

// Pending network errors of the new connection, as listed in accept(2).
bool affects_one_connection(int accept_error) {
  switch (accept_error) {
    case EINTR:
    case ECONNABORTED:
    case EPERM:  // firewall rule
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
