// Asio's own code, compiled here and nowhere else.
#include <asio/impl/src.hpp>
