// All sizes, counts and times that bound the relay. Computed once at startup and passed down.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "byte_units.hpp"

namespace fennellane {

using Time = std::chrono::microseconds;  // a point on the steady clock, or a duration

// Times of the client of discovery; see src/platform/discovery_plan.hpp.
struct DiscoveryTiming {
  // Between the starts of two attempts while nothing is heard: for a discovery that has not answered yet, and
  // the range for one that has, by how long it took. A random part of the jitter is added.
  Time first_interval{}, interval_min{}, interval_max{}, interval_jitter{};
  // At least one attempt begun in each such span is kept until the timeout.
  Time patient_interval{};
  Time attempt_timeout{};
  Time answer_silence{};  // between two parts of a full list
  Time line_silence{};    // between the head of a watch and its first line, and within a line
  Time watch_silence{};   // between two lines; discovery sends an empty one every 2 s
  // After an attempt that has failed, randomized by a factor of 0.5 to 1.5.
  Time retry_min{}, retry_max{};
};

struct Limits {
  // Sizes, in bytes.
  std::size_t max_body_size = 64 * kKiB;
  std::size_t max_head_size = 16 * kKiB;
  std::size_t max_id_size = 128;
  std::size_t max_idempotency_key_size = 255;
  std::size_t read_ring_size = 8 * kKiB;
  std::size_t answer_ring_size = 4 * kKiB;
  // the socket's send buffer, for answers that the client has not read
  std::size_t answer_socket_buffer = 16 * kKiB;
  std::size_t call_ring_size = 64 * kKiB + kKiB;  // one call: the largest body and its head
  std::size_t max_discovery_line = 4 * kMiB;
  std::size_t max_notice_batch = 32 * kKiB;
  std::uint64_t max_journal_file = 0;  // size of one file; a compaction has two at once
  // the host list saved for a start without its source; saving has two files at once
  std::uint64_t max_host_list_file = 0;
  std::size_t max_consul_answer = 32 * kMiB;  // one answer, parsed incrementally
  std::size_t max_consul_host = 64 * kKiB;    // one host's entry in an answer
  std::size_t max_fleet_answer = 8 * kMiB;    // the relays' own registrations, or the keys of all roles
  // The shared host list: Consul accepts 512 KiB in one transaction, and base64 adds a third to the list's
  // size.
  std::size_t max_fleet_list = 360 * kKiB;
  std::size_t max_degraded_endpoints = 256;   // in one relay's report
  std::size_t max_consul_value = 512 * kKiB;  // Consul's limit on the value of one key

  // Counts.
  std::size_t max_downstream_connections = 0;
  // of these, that have submitted a message, before idle ones are closed
  std::size_t max_submitting_connections = 0;
  std::size_t max_upstream_connections = 0;
  std::size_t max_held = 0;                // messages without a final result
  std::size_t max_held_and_unnoticed = 0;  // these plus ended messages whose notice has not been accepted
  std::size_t max_ended_ids = 4096;
  std::uint32_t max_destination = 65535;
  std::size_t max_consul_hosts = 20000;  // of one service
  unsigned max_interim_answers = 32;     // before one final answer
  unsigned max_accepts_per_turn = 32;    // connections accepted per pass of the event loop
  unsigned max_requests_per_turn = 4;    // per connection and pass
  // bytes of pending answers that a client must read within `linger_timeout`
  std::size_t min_linger_progress = 2048;

  // Times.
  // From a request's first byte to its last; for a connection's first request, from when it was accepted.
  // Without it, clients that send nothing or half a request would occupy all connection slots.
  Time request_timeout = std::chrono::milliseconds(2500);
  Time downstream_idle_timeout = std::chrono::minutes(2);
  // When connection slots run short, connections that have sent nothing, or part of a request, or are idle,
  // may be evicted after this.
  Time min_eviction_silence = std::chrono::milliseconds(250);
  // if there is no other candidate, a new connection may be evicted after this
  Time min_eviction_age = std::chrono::milliseconds(50);
  // of a closing connection, for the client to read its answer
  Time linger_timeout = std::chrono::seconds(2);
  Time connect_timeout{};
  Time upstream_idle_timeout{};
  // an answer this close to the deadline may be too late
  Time delivery_deadline_margin = std::chrono::milliseconds(20);
  Time answer_timeout = std::chrono::seconds(1);       // from the first byte of a host's answer to its last
  Time refusal_retry_after = std::chrono::seconds(1);  // Retry-After of a 503, if the settings allow it
  Time accept_backoff = std::chrono::milliseconds(10);
  // Before a system call that failed for lack of a local resource is repeated.
  Time local_retry_delay = std::chrono::milliseconds(5);
  // How long startup waits for its listener, and for a state folder that is missing or not permitted.
  Time startup_wait = std::chrono::seconds(10);
  // Between attempts to write to failing storage.
  Time storage_retry_min = std::chrono::milliseconds(20);
  Time storage_retry_max = std::chrono::seconds(1);
  // For the platform's answer to a notice. The platform normally answers at once, so a connection that is
  // silent for the minimum is treated as broken and replaced before the report of the end is overdue; for a
  // slow platform the timeout grows up to the maximum.
  Time notice_timeout_min = std::chrono::milliseconds(100);
  Time notice_timeout_max = std::chrono::seconds(2);
  // Between attempts to notify the platform, whose agent runs on the same machine: the report of an end is
  // overdue 300 ms after the message's deadline.
  Time notice_retry_min = std::chrono::milliseconds(20);
  Time notice_retry_max = std::chrono::milliseconds(100);
  Time agent_write_timeout = std::chrono::seconds(2);  // for the Consul agent's answer to a write
  Time agent_read_timeout = std::chrono::seconds(3);   // for its answer to a read
  // An agent on the relay's own machine: what it has counts as told, and asking it costs nothing.
  DiscoveryTiming pushed_discovery{.first_interval = std::chrono::milliseconds(800),
                                   .interval_min = std::chrono::milliseconds(200),
                                   .interval_max = std::chrono::milliseconds(2400),
                                   .interval_jitter = Time(0),
                                   .patient_interval = std::chrono::milliseconds(800),
                                   .attempt_timeout = std::chrono::milliseconds(5400),
                                   .answer_silence = std::chrono::milliseconds(800),
                                   .line_silence = std::chrono::milliseconds(800),
                                   .watch_silence = std::chrono::milliseconds(2300),
                                   .retry_min = std::chrono::milliseconds(200),
                                   .retry_max = std::chrono::milliseconds(400)};
  // One service for all relays, which many of them asking at once could overload.
  DiscoveryTiming asked_discovery{.first_interval = std::chrono::milliseconds(2400),
                                  .interval_min = std::chrono::milliseconds(2400),
                                  .interval_max = std::chrono::milliseconds(2400),
                                  .interval_jitter = std::chrono::milliseconds(600),
                                  .patient_interval = Time(0),
                                  .attempt_timeout = std::chrono::milliseconds(5400),
                                  .answer_silence = std::chrono::milliseconds(1500),
                                  .line_silence = std::chrono::seconds(3),
                                  .watch_silence = std::chrono::seconds(3),
                                  .retry_min = std::chrono::milliseconds(400),
                                  .retry_max = std::chrono::seconds(2)};
  // Not known which of these: as an agent, but after failures as a service.
  DiscoveryTiming unknown_discovery = [this] {
    DiscoveryTiming timing = pushed_discovery;
    timing.retry_min = asked_discovery.retry_min;
    timing.retry_max = asked_discovery.retry_max;
    return timing;
  }();
  Time backoff_min = std::chrono::milliseconds(50);
  Time backoff_max = std::chrono::seconds(1);
  Time discovery_log_interval = std::chrono::milliseconds(500);  // between two log lines of one kind
  // for a previous process to release the lock on the state folder
  Time lock_timeout = std::chrono::seconds(2);
  // how often the event loop's lag is measured
  Time loop_lag_check_interval = std::chrono::milliseconds(50);
  Time loop_lag_report_interval = std::chrono::seconds(1);  // how often the lag is recorded
  Time stray_log_interval = std::chrono::seconds(1);        // between two log lines about unsolicited bytes
  Time list_save_interval = std::chrono::seconds(2);        // between two saves of the host list
  Time max_budget = std::chrono::hours(24);
  // Shutdown from SIGTERM on: idle clients are disconnected, then no call is started that may outlast the
  // process, then the process exits.
  Time stop_idle_timeout = std::chrono::milliseconds(600);
  Time stop_timeout = std::chrono::milliseconds(3200);
  Time stop_margin = std::chrono::milliseconds(200);
  // limit on processing answers that have arrived by the end; applied twice
  Time stop_answer_wait = std::chrono::milliseconds(50);
};

struct ResourceLimits {  // resources of the machine, as configured
  std::size_t sockets = 1024;
  std::uint64_t memory_mb = 192;
  double disk_mb = 3;
  bool operator==(const ResourceLimits&) const = default;
};

// `slots`: maximum calls in flight; `held`: maximum messages held; `keeps_list`: the host list is saved to
// disk.
Limits make_limits(const ResourceLimits& allowance, std::size_t slots, std::size_t held, Time connect_timeout,
                   Time connection_idle, bool keeps_list = false);

}  // namespace fennellane
