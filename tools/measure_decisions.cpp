// Measures what a decision of the module costs, by messages a second and by messages held.
#include <cstddef>
#include <cstdio>
#include <initializer_list>

#include "decision_cost.hpp"

int main() {
  std::printf("messages/s  held  CPU us a message  longest us\n");
  for (const double rate : {100.0, 1000.0, 5000.0, 10000.0}) {
    for (const std::size_t held : {100u, 1000u, 10000u}) {
      const fennellane::harness::DecisionCost cost = fennellane::harness::measure_decisions(rate, held);
      std::printf("%10.0f %5zu %17.1f %11.0f\n", rate, held, cost.us_per_message, cost.longest_us);
    }
  }
}
