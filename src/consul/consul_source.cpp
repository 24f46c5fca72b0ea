#include "consul_source.hpp"

#include <algorithm>
#include <asio/co_spawn.hpp>

#include "clock.hpp"
#include "memory.hpp"

namespace fennellane {

ConsulSource::ConsulSource(asio::io_context& io, const ConsulSettings& settings, ConsulPlace place,
                           const Limits& limits, Counters& counters, Log& log, OnList on_list,
                           const ConsulSource* before)
    : io_(io),
      settings_(settings),
      place_(std::move(place)),
      limits_(limits),
      counters_(counters),
      log_(log),
      on_list_(std::move(on_list)),
      budget_(settings.queries_per_second),
      membership_(settings.membership),
      store_(place_.state_folder, limits.list_file),
      due_(io),
      saving_(io) {
  for (std::uint32_t s = 0; s < settings_.services.size(); ++s) {
    watches_.push_back(std::make_unique<ConsulWatch>(
        io, settings_, s, place_.names, limits, place_.seed + s, budget_, counters, log,
        [this](const ServiceAnswer& answer) { return take(answer); }));
  }
  if (settings_.registration) {
    registration_ = std::make_shared<Registration>(
        io, settings_, settings_.registration->service + "-" + place_.relay, limits, counters, log);
  }
  if (before != nullptr) copy(*before);
}

// Services that are still watched go on with what is known of them; others are gone.
void ConsulSource::copy(const ConsulSource& before) {
  before.membership_.each_instance([this, &before](std::uint32_t service, const Instance& instance) {
    const std::string& name = before.settings_.services[service].name;
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
  return written_memory([this](MemoryWriter& archive) {
    archive(services_text(), membership_.save(), registration_ && registration_->registered());
  });
}

void ConsulSource::load(std::string_view bytes) {
  read_memory(bytes, "what is known from Consul", [this](MemoryReader& archive) {
    std::string services, membership;
    bool registered = false;
    archive(services, membership, registered);
    if (registered && registration_) registration_->adopt();
    if (services != services_text()) return;
    membership_.load(membership);
    adopted_ = true;
  });
}

void ConsulSource::start() {
  if (adopted_) {
    arm();
  } else if (seeded_) {
    on_list_(membership_.whole_list(), false);
  } else {
    const std::string wrong =
        store_.load(settings_, place_.names,
                    [this](std::uint32_t service, const Instance& i) { membership_.restore(service, i); });
    if (!wrong.empty()) log_("consul", wrong);
    HostList list = membership_.whole_list();
    if (!list.hosts.empty()) {
      log_("consul", std::to_string(list.hosts.size()) + " hosts are known from an earlier life");
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
  due_.cancel();
  saving_.cancel();
  if (registration_) registration_->leave();
}

void ConsulSource::leave(bool returns) {
  if (registration_) registration_->leave(returns);
  if (save_armed_) keep_list();
}

void ConsulSource::set_ready() {
  if (registration_) registration_->set_ready();
}

bool ConsulSource::take(const ServiceAnswer& answer) {
  MembershipChange change = membership_.take(steady_now(), answer);
  const bool ask_again = change.ask_again;
  if (!answer.changed.empty() || !answer.gone.empty()) save_later();
  tell(std::move(change));
  return ask_again;
}

void ConsulSource::tell(MembershipChange change) {
  for (const std::string& line : change.lines) log_("consul", line);
  if (change.list && !stopped_) {
    ++counters_.lists;
    on_list_(std::move(*change.list), false);
  }
  if (!stopped_) arm();
}

void ConsulSource::arm() {
  const Time next = membership_.next();
  if (next == Time::max()) {
    due_.cancel();
    return;
  }
  due_.expires_at(steady_moment(next));
  due_.async_wait([weak = weak_from_this()](asio::error_code error) {
    const auto self = weak.lock();
    if (!error && self && !self->stopped_) self->tell(self->membership_.tick(steady_now()));
  });
}

// Guards the loop and the disk against a file written anew with each flip.
void ConsulSource::save_later() {
  if (save_armed_ || limits_.list_file == 0) return;
  save_armed_ = true;
  saving_.expires_after(limits_.list_gap);
  saving_.async_wait([weak = weak_from_this()](asio::error_code error) {
    const auto self = weak.lock();
    if (!error && self && !self->stopped_) self->keep_list();
  });
}

void ConsulSource::keep_list() {
  save_armed_ = false;
  const std::string wrong = store_.save(membership_, settings_, place_.names);
  ++counters_.consul_saves;
  if (!wrong.empty()) log_("consul", wrong);
}

}  // namespace fennellane
