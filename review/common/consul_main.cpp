// The project's own stand-in of a Consul agent as a process: says its address on standard output, and ends
// with its standard input.
#include <cstdio>

#include "consul_agent.hpp"

int main() {
  fennellane::standin::ConsulAgent agent;
  std::printf("%s\n", agent.address().c_str());
  std::fflush(stdout);
  while (std::getchar() != EOF) {
  }
  return 0;
}
