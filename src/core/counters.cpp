#include "counters.hpp"

#include <string_view>

namespace fennellane {

std::string counters_text(const Counters& c, const JournalStats& j, const fleet::Counts* f,
                          const drain::SlotCounts* s) {
  constexpr std::array<std::string_view, kOutcomeCount> names = {
      "error", "delivered", "full", "timeout", "connect_failed", "reset", "cancelled", "not_sent"};
  std::string text = "counters";
  const auto add = [&text](std::string_view name, std::uint64_t value) {
    text += ' ';
    text += name;
    text += '=' + std::to_string(value);
  };
  add("clients", c.client_connections);
  add("made_way", c.evicted);
  add("taken", c.accepted);
  add("repeated", c.duplicates);
  add("refused", c.refused);
  add("id_conflicts", c.id_conflicts);
  add("malformed", c.malformed);
  add("sent", c.sent);
  for (std::size_t i = 0; i < names.size(); ++i) add("answer." + std::string(names[i]), c.outcomes[i]);
  add("connects", c.connects);
  add("reused", c.reused);
  add("spoilt", c.unreadable_answers);
  add("strays.hosts", c.strays);
  add("strays.agents", c.agent_strays);
  add("delivered", c.delivered);
  add("late", c.late);
  add("withdrawn", c.withdrawn);
  add("deferred", c.deferred);
  add("undeliverable", c.undeliverable);
  add("notices_taken", c.notices_accepted);
  add("notice_tries", c.notice_attempts);
  add("restored", c.restored);
  add("storage.failures", c.storage_failures);
  add("storage.refused", c.storage_refused);
  add("storage.unsent", c.storage_unsent);
  add("local_retries", c.local_retries);
  add("lists", c.host_lists);
  add("discovery_connects", c.discovery_connects);
  add("discovery_losses", c.discovery_losses);
  add("reloads", c.reloads);
  add("unnoticed", c.ended_without_notice);
  add("consul.queries", c.consul_queries);
  add("consul.answers", c.consul_answers);
  add("consul.errors", c.consul_errors);
  add("consul.rejected", c.consul_rejected);
  add("consul.saves", c.consul_list_saves);
  add("consul.beats", c.consul_heartbeats);
  if (f != nullptr) {
    add("lease.calls", c.lease_calls);
    add("lease.reads", c.lease_reads);
    add("lease.acquired", f->acquired);
    add("lease.renews_missed", f->renews_missed);
    add("lease.lapsed", f->lapsed);
    add("lease.lost", f->lost);
    add("lease.given_up", f->given_up);
    add("sweep.removed", f->swept);
    add("sweep.refused", f->sweeps_refused);
    add("refresh.shared", f->lists_shared);
    add("refresh.refused", f->shares_refused);
    add("refresh.followed", f->lists_followed);
    add("ejection.reports", f->reports);
    add("ejection.verdicts", f->verdicts);
    add("ejection.refused", f->verdicts_refused);
    add("ejection.capped", f->capped);
  }
  if (s != nullptr) {
    add("slot.taken", s->acquired);
    add("slot.refused", s->refused);
    add("slot.lost", s->lost);
    add("slot.waits", s->waits);
  }
  add("journal.held", j.held);
  add("journal.bytes", j.bytes);
  add("journal.records", j.records);
  add("journal.compactions", j.compactions);
  return text;
}

}  // namespace fennellane
