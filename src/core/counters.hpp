// What the relay counts, printed on SIGUSR1 and at its end.
#pragma once

#include <array>
#include <cstdint>
#include <string>

#include "roles.hpp"

namespace fennellane {

constexpr std::size_t kOutcomeCount = 8;  // of starlinghook::Outcome

struct Counters {
  // Downstream.
  std::uint64_t client_connections = 0;  // connections accepted
  std::uint64_t evicted = 0;             // of these, closed for another where all places were taken
  std::uint64_t accepted = 0;
  std::uint64_t duplicates = 0;  // an id already held or just ended
  std::uint64_t refused = 0;     // 503
  std::uint64_t malformed = 0;   // any other answer than 200, 202 and 503
  // Upstream.
  std::uint64_t sent = 0;
  std::array<std::uint64_t, kOutcomeCount> outcomes{};
  std::uint64_t connects = 0;
  std::uint64_t reused = 0;
  std::uint64_t unreadable_answers = 0;  // answers that cannot be read or are none that the protocol knows
  std::uint64_t strays = 0;              // bytes on connections to hosts that answered no call, each time
  std::uint64_t agent_strays = 0;        // likewise to the platform and to Consul's agent
  // Ends.
  std::uint64_t delivered = 0;
  std::uint64_t late = 0;       // of these, after their class's aim; without those of an earlier life
  std::uint64_t withdrawn = 0;  // over before the relay ended it
  std::uint64_t deferred = 0;
  std::uint64_t undeliverable = 0;
  std::uint64_t notices_accepted = 0;
  std::uint64_t notice_attempts = 0;
  std::uint64_t restored = 0;  // from the journal
  // Failures here.
  std::uint64_t storage_failures = 0;  // times that storage began to fail
  std::uint64_t storage_refused = 0;   // messages refused since it failed
  std::uint64_t storage_unsent = 0;    // calls not sent since their record failed
  std::uint64_t local_retries = 0;     // socket calls made again after a local shortage
  // Discovery.
  std::uint64_t host_lists = 0;
  std::uint64_t discovery_connects = 0;
  std::uint64_t reloads = 0;  // new configurations taken up
  // Consul.
  std::uint64_t consul_queries = 0;
  std::uint64_t consul_answers = 0;     // read whole
  std::uint64_t consul_errors = 0;      // queries that brought none
  std::uint64_t consul_rejected = 0;    // of these, for what was in the answer
  std::uint64_t consul_list_saves = 0;  // times that the list was kept
  std::uint64_t consul_heartbeats = 0;  // of the relay's own check
  // Roles of the fleet: what this process asked of Consul; the rest is counted by fleet::Fleet.
  std::uint64_t lease_calls = 0;           // creates, acquires, renews and releases
  std::uint64_t lease_reads = 0;           // blocking reads of roles' keys
  std::uint64_t ended_without_notice = 0;  // undelivered ends that only the log has heard of
};

struct JournalStats {
  std::uint64_t bytes = 0, records = 0, compactions = 0, held = 0;
};

// `fleet`: null where no role is sought; `slot`: where no slot is.
std::string counters_text(const Counters& counters, const JournalStats& journal,
                          const fleet::Counts* fleet = nullptr, const drain::SlotCounts* slot = nullptr);

}  // namespace fennellane
