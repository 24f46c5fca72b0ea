// The relay's counters, printed on SIGUSR1 and at exit.
#pragma once

#include <array>
#include <cstdint>
#include <string>

#include "roles.hpp"

namespace fennellane {

constexpr std::size_t kOutcomeCount = 8;  // enumerators of starlinghook::Outcome

struct Counters {
  // Downstream.
  std::uint64_t client_connections = 0;  // connections accepted
  std::uint64_t evicted = 0;             // of these, closed to admit another connection
  std::uint64_t accepted = 0;
  std::uint64_t duplicates = 0;    // a message that is held, or that ended recently
  std::uint64_t refused = 0;       // 503, apart from id conflicts; a release compares it between builds
  std::uint64_t id_conflicts = 0;  // 503, since another message has the id: a fault of clients
  std::uint64_t malformed = 0;     // any answer other than 200, 202 and 503
  // Upstream.
  std::uint64_t sent = 0;
  std::array<std::uint64_t, kOutcomeCount> outcomes{};
  std::uint64_t connects = 0;
  std::uint64_t reused = 0;
  std::uint64_t unreadable_answers = 0;  // answers that cannot be parsed or are unknown to the protocol
  std::uint64_t strays = 0;              // unsolicited bytes from hosts, counted per occurrence
  std::uint64_t agent_strays = 0;        // the same from the platform and Consul's agent
  // Final results of messages.
  std::uint64_t delivered = 0;
  std::uint64_t late = 0;       // of these, after their class's aim; excludes messages of a previous process
  std::uint64_t withdrawn = 0;  // ended elsewhere before this relay delivered or gave up
  std::uint64_t deferred = 0;
  std::uint64_t undeliverable = 0;
  std::uint64_t notices_accepted = 0;
  std::uint64_t notice_attempts = 0;
  std::uint64_t restored = 0;  // from the journal
  // Local failures.
  std::uint64_t storage_failures = 0;  // transitions of storage from working to failing
  std::uint64_t storage_refused = 0;   // messages refused while storage failed
  std::uint64_t storage_unsent = 0;    // calls not sent because their record could not be written
  std::uint64_t local_retries = 0;     // socket calls repeated after a local resource shortage
  // Discovery.
  std::uint64_t host_lists = 0;
  std::uint64_t discovery_connects = 0;
  std::uint64_t discovery_losses = 0;  // times that nothing was heard from it any more
  std::uint64_t reloads = 0;           // new configurations applied
  // Consul.
  std::uint64_t consul_queries = 0;
  std::uint64_t consul_answers = 0;     // read completely
  std::uint64_t consul_errors = 0;      // queries without a usable answer
  std::uint64_t consul_rejected = 0;    // of these, rejected because of the answer's contents
  std::uint64_t consul_list_saves = 0;  // times the host list was saved
  std::uint64_t consul_heartbeats = 0;  // updates of the relay's own check
  // Fleet roles: this process's requests to Consul; fleet::Fleet counts the rest.
  std::uint64_t lease_calls = 0;           // create, acquire, renew and release calls
  std::uint64_t lease_reads = 0;           // blocking reads of role keys
  std::uint64_t ended_without_notice = 0;  // undelivered messages that were only logged, without a notice
};

struct JournalStats {
  std::uint64_t bytes = 0, records = 0, compactions = 0, held = 0;
};

// `fleet`: null if the relay seeks no role; `slot`: null if it uses no slot.
std::string counters_text(const Counters& counters, const JournalStats& journal,
                          const fleet::Counts* fleet = nullptr, const drain::SlotCounts* slot = nullptr);

}  // namespace fennellane
