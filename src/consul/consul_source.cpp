#include "consul_source.hpp"

#include <algorithm>
#include <asio/co_spawn.hpp>

#include "clock.hpp"
#include "snapshot.hpp"

namespace fennellane {

ConsulSource::ConsulSource(asio::io_context& io, const ConsulSettings& settings, ConsulSourceContext context,
                           const Limits& limits, Counters& counters, Log& log, OnHostList on_list,
                           const ConsulSource* previous)
    : io_(io),
      settings_(settings),
      context_(std::move(context)),
      limits_(limits),
      counters_(counters),
      log_(log),
      on_list_(std::move(on_list)),
      rate_limiter_(settings.queries_per_second),
      membership_(settings.membership),
      store_(context_.state_folder, limits.max_host_list_file),
      membership_timer_(io),
      save_timer_(io) {
  for (std::uint32_t s = 0; s < settings_.services.size(); ++s) {
    watches_.push_back(std::make_unique<ConsulWatch>(
        io, settings_, s, context_.names, limits, context_.seed + s, rate_limiter_, counters, log,
        [this](const ServiceAnswer& answer) { return apply_answer(answer); }));
  }
  if (settings_.registration) {
    registration_ = std::make_shared<Registration>(
        io, settings_, settings_.registration->service + "-" + context_.relay, limits, counters, log);
  }
  if (previous != nullptr) restore_from(*previous);
}

// Restores the hosts of services that are still watched; those of other services are dropped.
void ConsulSource::restore_from(const ConsulSource& previous) {
  previous.membership_.for_each_instance([this, &previous](std::uint32_t service, const Instance& instance) {
    const std::string& name = previous.settings_.services[service].name;
    const auto it = std::find_if(settings_.services.begin(), settings_.services.end(),
                                 [&name](const ConsulService& s) { return s.name == name; });
    if (it == settings_.services.end()) return;
    membership_.restore(static_cast<std::uint32_t>(it - settings_.services.begin()), instance);
  });
  seeded_ = true;
}

std::string ConsulSource::services_text() const {
  std::string text;
  for (const ConsulService& s : settings_.services) text += s.name + "\n" + s.tag + "\n";
  return text;
}

std::string ConsulSource::save() {
  return write_snapshot([this](SnapshotWriter& archive) {
    archive(services_text(), membership_.save(), registration_ && registration_->registered());
  });
}

void ConsulSource::load(std::string_view bytes) {
  read_snapshot(bytes, "what is known from Consul", [this](SnapshotReader& archive) {
    std::string services, membership;
    bool registered = false;
    archive(services, membership, registered);
    if (registered && registration_) registration_->adopt();
    if (services != services_text()) return;
    membership_.load(membership);
    restored_from_handover_ = true;
  });
}

void ConsulSource::start() {
  if (restored_from_handover_) {
    set_timer();
  } else if (seeded_) {
    on_list_(membership_.full_list(), false);
  } else {
    const std::string error =
        store_.load(settings_, context_.names,
                    [this](std::uint32_t service, const Instance& i) { membership_.restore(service, i); });
    if (!error.empty()) log_("consul", error);
    HostList list = membership_.full_list();
    if (!list.hosts.empty()) {
      log_("consul", std::to_string(list.hosts.size()) + " hosts restored from the previous process");
      on_list_(std::move(list), true);
    }
  }
  for (const auto& watch : watches_) {
    asio::co_spawn(
        io_, [self = shared_from_this(), w = watch.get()]() -> asio::awaitable<void> { co_await w->run(); },
        rethrow);
  }
  if (registration_) registration_->start();
}

void ConsulSource::stop() {
  stopped_ = true;
  for (const auto& watch : watches_) watch->stop();
  membership_timer_.cancel();
  save_timer_.cancel();
  if (registration_) registration_->leave();
}

void ConsulSource::leave(bool returns) {
  if (registration_) registration_->leave(returns);
  if (save_scheduled_) save_list();
}

void ConsulSource::set_ready() {
  if (registration_) registration_->set_ready();
}

bool ConsulSource::apply_answer(const ServiceAnswer& answer) {
  MembershipChange change = membership_.apply(steady_now(), answer);
  const bool query_again = change.query_again;
  if (!answer.changed.empty() || !answer.removed.empty()) schedule_save();
  publish(std::move(change));
  return query_again;
}

void ConsulSource::publish(MembershipChange change) {
  for (const std::string& line : change.log_lines) log_("consul", line);
  if (change.list && !stopped_) {
    ++counters_.host_lists;
    on_list_(std::move(*change.list), false);
  }
  if (!stopped_) set_timer();
}

void ConsulSource::set_timer() {
  const Time next = membership_.next_due();
  if (next == Time::max()) {
    membership_timer_.cancel();
    return;
  }
  membership_timer_.expires_at(to_time_point(next));
  membership_timer_.async_wait([weak = weak_from_this()](asio::error_code error) {
    const auto self = weak.lock();
    if (!error && self && !self->stopped_) self->publish(self->membership_.tick(steady_now()));
  });
}

// Rate-limits saving, so that a flapping host does not cause a file write for each change.
void ConsulSource::schedule_save() {
  if (save_scheduled_ || limits_.max_host_list_file == 0) return;
  save_scheduled_ = true;
  save_timer_.expires_after(limits_.list_save_interval);
  save_timer_.async_wait([weak = weak_from_this()](asio::error_code error) {
    const auto self = weak.lock();
    if (!error && self && !self->stopped_) self->save_list();
  });
}

void ConsulSource::save_list() {
  save_scheduled_ = false;
  const std::string error = store_.save(membership_, settings_, context_.names);
  ++counters_.consul_list_saves;
  if (!error.empty()) log_("consul", error);
}

}  // namespace fennellane
