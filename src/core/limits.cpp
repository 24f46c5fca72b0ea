#include "limits.hpp"

#include <algorithm>

namespace fennellane {

Limits make_limits(const ResourceLimits& allowance, std::size_t slots, std::size_t held, Time connect_timeout,
                   Time connection_idle, bool keeps_list) {
  Limits limits;
  // Descriptors for files, epoll, timers, the listener, discovery and notices.
  constexpr std::size_t kReservedDescriptors = 32;
  const std::size_t sockets = std::max(allowance.sockets, kReservedDescriptors + 8) - kReservedDescriptors;
  // One eighth of the memory is for upstream buffers and one half for clients, whose body and ring buffers
  // count as 96 KiB each. Clients may use a third of all descriptors for requests, so most of the remaining
  // sockets are theirs.
  const std::size_t memory = static_cast<std::size_t>(allowance.memory_mb) * kMiB;
  const std::size_t max_upstream = std::max<std::size_t>(4, std::min(sockets * 2 / 5, slots * 6 + 64));
  limits.max_upstream_connections = std::clamp(memory / 8 / (limits.call_ring_size + limits.read_ring_size),
                                               std::min(slots, max_upstream), max_upstream);
  limits.max_downstream_connections =
      std::clamp<std::size_t>(memory / 2 / (96 * kKiB), 4, sockets - limits.max_upstream_connections);
  // Callers may use a third of all descriptors for requests; half of that is kept free for new ones.
  limits.max_submitting_connections = std::min(allowance.sockets / 6, limits.max_downstream_connections / 2);
  limits.max_held = held;
  limits.max_held_and_unnoticed = held * 2 + 64;
  // During a compaction the old and the new journal exist side by side.
  constexpr std::uint64_t kBlock = 512;
  const auto disk = static_cast<std::uint64_t>(std::max(0.0, allowance.disk_mb) * 1e6);
  // A fifth of the disk is for the host list, of which two files may exist side by side as well.
  if (keeps_list) limits.max_host_list_file = disk / 10 / kBlock * kBlock;
  limits.max_journal_file = (disk - 2 * limits.max_host_list_file) / 2 / kBlock * kBlock;
  limits.max_journal_file -= std::min(limits.max_journal_file, 8 * kBlock);
  limits.connect_timeout = connect_timeout;
  limits.upstream_idle_timeout = connection_idle * 3 / 4;
  return limits;
}

}  // namespace fennellane
