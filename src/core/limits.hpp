// Every size, count and time that bounds the relay. Filled once at start and handed down.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "byte_units.hpp"

namespace fennellane {

using Time = std::chrono::microseconds;  // a point on the steady clock, or a span

struct Limits {
  // Sizes, in bytes.
  std::size_t max_body_size = 64 * kKiB;
  std::size_t max_head_size = 16 * kKiB;
  std::size_t max_id_size = 128;
  std::size_t max_idempotency_key_size = 255;
  std::size_t read_ring_size = 8 * kKiB;
  std::size_t answer_ring_size = 4 * kKiB;
  std::size_t answer_socket_buffer = 16 * kKiB;   // the system's, of answers that a client has not taken
  std::size_t call_ring_size = 64 * kKiB + kKiB;  // one call: the largest body, and a head
  std::size_t max_discovery_line = 4 * kMiB;
  std::size_t max_notice_batch = 32 * kKiB;
  std::uint64_t max_journal_file = 0;  // one file; while it is compacted there are two
  std::uint64_t max_host_list_file =
      0;  // the list kept for a start without its source; two while it is written
  std::size_t max_consul_answer = 32 * kMiB;  // one answer, read piece by piece
  std::size_t max_consul_host = 64 * kKiB;    // one host's part of it
  std::size_t max_fleet_answer = 8 * kMiB;    // the relays' own registrations, or all roles' keys
  // The list that is shared: Consul takes 512 KiB in one transaction, and a third of it is what base64 adds.
  std::size_t max_fleet_list = 360 * kKiB;
  std::size_t max_degraded_endpoints = 256;   // endpoints in one relay's report of what rests
  std::size_t max_consul_value = 512 * kKiB;  // one key's value, as Consul bounds it

  // Counts.
  std::size_t max_downstream_connections = 0;
  std::size_t max_submitting_connections = 0;  // of these, over which messages came, before idle ones close
  std::size_t max_upstream_connections = 0;
  std::size_t max_held = 0;                // messages that are owed an end
  std::size_t max_held_and_unnoticed = 0;  // these and the ended ones whose notice has not been taken
  std::size_t max_ended_ids = 4096;
  std::uint32_t max_destination = 65535;
  std::size_t max_consul_hosts = 20000;  // of one service
  unsigned max_interim_answers = 32;     // in front of one answer
  unsigned max_accepts_per_turn = 32;    // connections accepted before the loop looks at others
  unsigned max_requests_per_turn = 4;    // of one connection, likewise
  std::size_t min_linger_progress =
      2048;  // bytes of answers that a client takes in `linger`, where they wait

  // Times.
  // From a request's first byte to its last, and for a connection's first one from when it was accepted.
  // Guards the places against clients that connect and say nothing, or half of something.
  Time request_timeout = std::chrono::milliseconds(2500);
  Time downstream_idle_timeout = std::chrono::minutes(2);
  // Where places are short, those that have said nothing yet, or half of something, or are idle, make way.
  Time min_eviction_silence = std::chrono::milliseconds(250);
  Time min_eviction_age =
      std::chrono::milliseconds(50);              // and where nothing else is left, a new one after this
  Time linger_timeout = std::chrono::seconds(2);  // of a closing connection, so that its answer is read
  Time connect_timeout{};
  Time upstream_idle_timeout{};
  Time delivery_deadline_margin =
      std::chrono::milliseconds(20);                   // a delivery so close to its deadline may be too late
  Time answer_timeout = std::chrono::seconds(1);       // from a host's answer's first byte to its last
  Time refusal_retry_after = std::chrono::seconds(1);  // advice with 503, where the settings allow any
  Time accept_backoff = std::chrono::milliseconds(10);
  // After a call that failed for want of something here, before the same call again.
  Time local_retry_delay = std::chrono::milliseconds(5);
  // A listener, or a state folder that is missing or not permitted, is waited for so long at a start.
  Time startup_wait = std::chrono::seconds(10);
  // Between tries at storage that fails.
  Time storage_retry_min = std::chrono::milliseconds(20);
  Time storage_retry_max = std::chrono::seconds(1);
  // For the platform's answer to a notice. It answers at once, so a connection that says nothing for the
  // least time is taken for broken and replaced, before the end that it was to tell is overdue; a platform
  // that is slow is given up to the most.
  Time notice_timeout_min = std::chrono::milliseconds(100);
  Time notice_timeout_max = std::chrono::seconds(2);
  // Between tries to tell the platform, whose agent stands on the same machine: an end is overdue 300 ms
  // behind its message's time.
  Time notice_retry_min = std::chrono::milliseconds(20);
  Time notice_retry_max = std::chrono::milliseconds(100);
  Time agent_write_timeout = std::chrono::seconds(2);  // Consul's agent's answer to a write
  Time agent_read_timeout = std::chrono::seconds(3);   // and to a question
  // A change counts as told 6 s after discovery had it and could be reached, whatever call failed before. So
  // the longest step that may have begun just before that (a connect, an answer, a silence), the longest
  // pause behind it and a call that succeeds take less together.
  Time discovery_connect_timeout = std::chrono::milliseconds(1500);
  Time discovery_answer_timeout = std::chrono::milliseconds(1500);   // between two pieces of an answer
  Time discovery_list_timeout = std::chrono::seconds(3);             // a whole list, from first to last byte
  Time discovery_silence_timeout = std::chrono::milliseconds(3200);  // an empty line comes every 2 s
  Time backoff_min = std::chrono::milliseconds(50);
  Time backoff_max = std::chrono::seconds(1);
  // Between tries at discovery, from half to one and a half of it. Guards it, where it is short of room,
  // against many relays asking it so often that it answers none.
  Time discovery_backoff_min = std::chrono::milliseconds(400);
  Time discovery_backoff_max = std::chrono::seconds(2);
  Time lock_timeout = std::chrono::seconds(2);  // for a process before this one to let go of the state folder
  Time loop_lag_check_interval = std::chrono::milliseconds(50);  // at how late the loop runs
  Time loop_lag_report_interval = std::chrono::seconds(1);       // and how often that is noted
  Time stray_log_interval = std::chrono::seconds(1);  // between two lines on bytes that answer no call
  Time list_save_interval = std::chrono::seconds(2);  // between two times that the list is kept
  Time max_budget = std::chrono::hours(24);
  // From SIGTERM on: idle clients are sent away, then no call starts that may outlast the end, then the end.
  Time stop_idle_timeout = std::chrono::milliseconds(600);
  Time stop_timeout = std::chrono::milliseconds(3200);
  Time stop_margin = std::chrono::milliseconds(200);
  Time stop_answer_wait = std::chrono::milliseconds(50);  // for what has come by the end, and once more
};

struct ResourceLimits {  // of the machine, as configured
  std::size_t sockets = 1024;
  std::uint64_t memory_mb = 192;
  double disk_mb = 3;
  bool operator==(const ResourceLimits&) const = default;
};

// `slots` calls may be out at once, `held` messages be held; `keeps_list`: a list of hosts is kept on the
// disk.
Limits make_limits(const ResourceLimits& allowance, std::size_t slots, std::size_t held, Time connect,
                   Time idle, bool keeps_list = false);

}  // namespace fennellane
