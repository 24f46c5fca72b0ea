// Compiles Asio's implementation, in this file only.
#include <asio/impl/src.hpp>
