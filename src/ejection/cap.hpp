// The fleet's cap on endpoints out: what all relays together rest or slow down, how much of that may be, and
// which endpoints may not rest since too many are out already. Values and what follows from them, without
// input, output or clock. The terms are Envoy's outlier ejection (max_ejection_percent); here it is agreed by
// all relays. See docs/drains.md.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "lease.hpp"

namespace fennellane::ejection {

using lease::Time;
using lease::Token;

// What one relay has learnt of an endpoint that the list calls ready: it rests, is cold after an outage, or
// answers tell of less than half of its limit.
enum class DegradationKind : std::uint8_t { failing, slow_start, reduced_limit };
const char* name_of(DegradationKind state);

struct DegradedEndpoint {
  std::string host;
  DegradationKind kind{};
  double failure_share = 0;  // recent share of failures there, 0 to 1
  bool exempt = false;       // by the cap: it fails, and does not rest
  bool operator==(const DegradedEndpoint&) const = default;
};
struct Listed {  // as one relay's own list has it
  std::string host;
  std::uint32_t destination = 0;
  bool ready = true;  // false: it drains, by an operator's maintenance or by its health
};
struct View {  // of one relay
  std::vector<Listed> listed;
  std::vector<DegradedEndpoint> degraded_endpoints;
};
struct Report {  // what it writes for the arbiter
  std::string relay;
  std::uint64_t heartbeat = 0;  // grows with each
  std::vector<DegradedEndpoint> degraded_endpoints;
};

struct Cap {                          // shares round down, and at least one endpoint may be out
  std::uint32_t percent = 50;         // of a destination's endpoints
  std::uint32_t all_percent = 30;     // of all
  std::uint32_t voices_percent = 10;  // of the relays that report; an endpoint is out where so many say so
  std::uint32_t voices = 2;           // and no fewer than so many, nor more than there are
  bool operator==(const Cap&) const = default;
};

struct Verdict {
  Token token = 0;  // of the arbiter's role
  std::uint64_t heartbeat = 0;
  bool all = false;                   // the cap on all endpoints is reached
  std::vector<std::uint32_t> closed;  // destinations whose cap is reached, ascending
  std::vector<std::string> out;       // that fail across the fleet, and may rest; ascending
  std::uint32_t failing = 0, reduced = 0, drained = 0, listed = 0, relays = 0;  // endpoints; relays heard
  bool binds() const { return all || !closed.empty(); }
  // Whether both let the same endpoints rest.
  bool agrees_with(const Verdict& other) const {
    return all == other.all && closed == other.closed && out == other.out;
  }
};

// What the reports amount to. Endpoints that drain, and those that enough relays find cold or lowered, use
// the cap up and are not taken back: for them the list and the rules decide. Of those that fail the worst may
// rest as far as there is room, and one that may already (`before`) goes before one that is hardly worse.
Verdict weigh(const Cap& cap, const std::vector<Listed>& listed, const std::vector<Report>& reports,
              const std::vector<std::string>& before);

// Those of the list that may not rest.
std::vector<std::string> exempt_endpoints(const Verdict& verdict, const std::vector<Listed>& listed);

}  // namespace fennellane::ejection
