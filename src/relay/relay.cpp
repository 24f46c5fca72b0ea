#include "relay.hpp"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <asio/post.hpp>
#include <csignal>
#include <filesystem>
#include <utility>

#include "clock.hpp"
#include "event_loop.hpp"
#include "legend.hpp"
#include "run_file.hpp"

namespace fennellane {
namespace {

// The answer to a request that arrives before the journal has been read.
SendAnswer refusal_before_start(const MessageSubmitted& message, Time retry_after) {
  return SendAnswer{message.request, AdmissionReply::refused, retry_after, AdmissionOutcome::storage_failing,
                    0};
}

}  // namespace

Relay::Relay(Config config, const std::string& state_folder, std::function<Config()> reread,
             LaunchContext context, Journal journal)
    : config_(std::move(config)),
      reread_(std::move(reread)),
      state_folder_(state_folder),
      discovery_address_(config_.discovery),
      io_(1),
      log_(config_.name, config_.log),
      journal_(std::move(journal)),
      reducer_(config_.boot.settings, config_.limits, journal_.next_stream(), counters_),
      upstream_(io_, config_, counters_, log_, record_, [this](const CallEnded& ended) { input(ended); }),
      notices_(io_, config_, counters_, log_, [this](StreamId stream) { input(NoticeAccepted{stream}); }),
      downstream_(
          io_, config_, counters_, log_, record_,
          [this](MessageSubmitted message) {
            if (!storage_open_) {
              ++counters_.refused;
              return downstream_.answer(refusal_before_start(message, reducer_.refusal_retry_after()));
            }
            message.journal_has_room =
                journal_.has_room(message.id.size() + message.idempotency_key.size(), message.body->size());
            input(message);
          }),
      loop_lag_monitor_(io_, config_.limits.loop_lag_check_interval, config_.limits.loop_lag_report_interval,
                        [this](Time max_lag) { record_heartbeat(max_lag); }),
      timer_(io_),
      stop_timer_(io_),
      signals_(io_, {SIGTERM, SIGINT, SIGHUP, SIGUSR1, SIGUSR2}),
      started_(steady_now()),
      storage_timer_(io_),
      storage_retry_(config_.limits.storage_retry_min, config_.limits.storage_retry_max, config_.seed),
      launch_context_(std::move(context)),
      old_process_timer_(io_) {
  require_working_timers(io_);
}

void Relay::run() {
  std::signal(SIGPIPE, SIG_IGN);  // a closed pipe behind the log must not end the relay
  std::signal(SIGXFSZ, SIG_IGN);  // nor must the file size limit
  signals_.start([this](int number) { on_signal(number); });
  open_record();
  if (took_over_) {
    start_after_takeover();
  } else {
    start_fresh();
  }
  io_.run();
  answer_pending_requests();
  print_counters();
  if (upgrade_) upgrade::remove_run_file(state_folder_);
}

// Answers the requests that have arrived, so that no connection closes with a request unanswered. Clients
// that send without a pause would prolong this forever, so after the time limit nothing more is read.
void Relay::answer_pending_requests() {
  const Time max_wait = config_.limits.stop_answer_wait;
  io_.restart();
  if (poll_until_idle(io_, max_wait)) return;
  downstream_.stop_reading();
  poll_until_idle(io_, max_wait);
}

// Listens before the journal is open, so that clients get the reason for a refusal while it cannot be read.
void Relay::start_fresh() {
  downstream_.listen();
  open_storage();
}

// Starts everything that needs the journal's contents.
void Relay::start_serving() {
  input(Started{journal_.next_stream()});
  if (!config_.known_hosts.hosts.empty())
    apply_list(config_.known_hosts, config_.source != MembershipSource::list);
  restore();
  join_fleet();
  // A list stored by a previous process may be outdated, but during an outage of discovery it is the only
  // one.
  if (!config_.known_hosts.hosts.empty()) set_ready();
  if (config_.has_platform) notices_.start();
  // Only at the start: after a reload the current hosts may come from another source.
  if (config_.source == MembershipSource::platform && config_.known_hosts.full &&
      !config_.known_hosts.hosts.empty()) {
    known_version_ = config_.known_hosts.version;
  }
  apply_source(config_);
  enable_upgrades();
  if (std::exchange(reload_pending_, false)) reload();
}

void Relay::restore() {
  if (journal_.truncated_bytes() > 0)
    log_("journal", "truncated a torn tail of " + std::to_string(journal_.truncated_bytes()) + " bytes");
  const auto held = journal_.held();  // a copy: replaying modifies the original
  for (const auto& [stream, entry] : held) {
    // Read again for each message, so that the replay of earlier ones does not prolong its deadline.
    const Time now = steady_now();
    MessageRestored restored{stream, entry};
    restored.time_left = std::max(Time(0), entry.deadline - now);
    restored.attempt_age = std::max(Time(0), now - entry.attempt_started);
    restored.uncertain_age = std::max(Time(0), now - entry.uncertain_since);
    restored.more_follow = true;
    input(restored);
  }
  if (held.empty()) return;
  input(TimerExpired{});  // ends the replay
  log_("journal", std::to_string(held.size()) + " messages restored");
}

void Relay::input(const Input& input) {
  record_.note(input);
  for (Effect& effect : reducer_.reduce(steady_now(), input)) {
    if (!is_dropped(effect)) record_.note(effect);
    std::visit([this](auto& e) { execute(e); }, effect);
  }
  report_storage_state();
}

void Relay::execute(CancelCall& e) { upstream_.cancel(e); }
void Relay::execute(CancelUnsentCall& e) { upstream_.cancel_unsent(e); }
void Relay::execute(CloseIdleConnections& e) { upstream_.close_idle(e.host); }
void Relay::execute(RetireHost& e) { upstream_.retire(e.host); }
void Relay::execute(PostNotice& e) {
  if (e.stream == unrecorded_stream_) return;  // its client is refused instead
  if (config_.has_platform) return notices_.post(e);
  // Without a platform the notice goes to the log only, and the end is recorded right afterwards.
  ++counters_.ended_without_notice;
  log_("undelivered", e.id + (e.verdict == Verdict::deferred ? ": deferred" : ": undeliverable"));
  unnoticed_ends_.push_back(e.stream);
  asio::post(io_, [this] { complete_unnoticed(); });
}
void Relay::complete_unnoticed() {
  for (const StreamId stream : std::exchange(unnoticed_ends_, {})) input(NoticeAccepted{stream});
}
void Relay::execute(SetTimer& e) {
  timer_.expires_at(to_time_point(e.at));
  timer_.async_wait([this](asio::error_code error) {
    if (!error) input(TimerExpired{});
  });
}
void Relay::execute(LogMessage& e) { log_("module", e.text); }

void Relay::execute(FleetEffect& e) {
  if (const auto* slot = std::get_if<fleet::DrainEffect>(&e.effect)) return execute(slot->effect);
  if (const auto* mover = std::get_if<fleet::MoverEffect>(&e.effect)) {
    if (const auto* move = std::get_if<release::Move>(&mover->effect)) return execute(*move);
  }
  const auto* const refresh = std::get_if<fleet::RefreshRoleEffect>(&e.effect);
  if (!refresh) return fleet_->execute(e.effect);
  if (const auto* start = std::get_if<fleet::StartDiscoveryWatch>(&refresh->effect)) return execute(*start);
  if (const auto* stop = std::get_if<fleet::StopDiscoveryWatch>(&refresh->effect)) return execute(*stop);
  if (const auto* list = std::get_if<fleet::ApplyList>(&refresh->effect)) return execute(*list);
  fleet_->execute(e.effect);
}

// --- The host list that one relay watches on behalf of the fleet
void Relay::execute(const fleet::StartDiscoveryWatch& e) {
  discovery_ = std::make_shared<Discovery>(io_, config_, discovery_address_, counters_, log_,
                                           [this](HostList list, bool) { apply_own_list(std::move(list)); });
  discovery_->on_activity([this] { handle_refresh_input(fleet::DiscoveryAnswered{}); });
  if (e.from_version) discovery_->set_known_version(*e.from_version);
  discovery_->start();
}
void Relay::execute(const fleet::StopDiscoveryWatch&) {
  if (const auto discovery = std::exchange(discovery_, nullptr)) discovery->stop();
}
void Relay::execute(const fleet::ApplyList& e) {
  try {
    HostList list = parse_hosts(e.text, config_.boot);
    merged_list_.apply(list);
    apply_list(std::move(list), e.cached);
  } catch (const ConfigError& error) {
    log_("refresh", std::string("the shared list cannot be used: ") + error.what());
  }
}
// The name that all relays of the fleet use for it.
std::string Relay::discovery_name() const {
  const std::string& name = config_.fleet->discovery_name;
  return name.empty() ? discovery_address_.text() : name;
}
void Relay::apply_own_list(HostList list) {
  merged_list_.apply(list);
  const std::uint64_t version = list.version;
  apply_list(std::move(list), false);
  if (merged_list_.has_full_list())
    handle_refresh_input(fleet::DiscoveredList{version, hosts_json(merged_list_.full_list(), config_.boot)});
}

// Configures the work on behalf of the fleet. Roles are sought once the relay is ready and resigned when it
// stops.
void Relay::join_fleet() {
  if (!config_.fleet) return;
  const FleetSettings& wanted = *config_.fleet;
  fleet_ = std::make_shared<FleetAgent>(
      io_, *config_.consul, wanted, config_.name, config_.limits, counters_, log_,
      [this](fleet::Input fleet_input) { input(FleetInput{std::move(fleet_input)}); });
  fleet::Plan plan;
  plan.roles = wanted.roles;
  plan.timing = wanted.timing;
  plan.seed = config_.seed;
  if (!wanted.sweep.service.empty()) plan.sweep = wanted.sweep;
  if (has_role(wanted, fleet::kRefreshRole)) plan.refresh = wanted.refresh;
  if (wanted.drain) plan.slot = wanted.drain->slot;
  if (wanted.release) {
    plan.mover = wanted.release->mover;
    plan.mover->build = std::filesystem::path(launch_context_.command.program).filename().string();
    plan.coordinator = wanted.release->coordinator;
  }
  if (wanted.ejection) {
    plan.reporter = wanted.ejection->reporter;
    plan.arbiter = wanted.ejection->arbiter;
  }
  input(FleetPlanReceived{std::move(plan)});
  fleet_->start();
  if (wanted.drain && !took_over_) adopt_slot();
  if (ready_) input(FleetInput{fleet::AcquireRoles{}});
}

void Relay::on_signal(int number) {
  if (number == SIGUSR1) return print_counters();
  if (number == SIGHUP) return reload();
  if (number != SIGUSR2) return stopping_ ? void() : on_stop_requested(number);
  if (!upgrade_ || stopping_) {
    return log_("upgrade", stopping_ ? "the relay is stopping"
                                     : "upgrades are off: the settings have no section for them");
  }
  on_upgrade_requested();
}

// The relay first becomes ready only when the journal is writable, since no message can be accepted before.
void Relay::set_ready() {
  if (!ready_ && journal_.failure()) {
    downstream_.set_not_ready(journal_.failure()->text());
    ready_waits_for_storage_ = true;
    return;
  }
  ready_waits_for_storage_ = false;
  const bool first = !std::exchange(ready_, true);
  if (first) record_.note(record::Kind::ready, 0, 0);
  downstream_.set_ready();
  if (consul_) consul_->set_ready();
  if (first && fleet_ && !stopping_) input(FleetInput{fleet::AcquireRoles{}});
  if (first) release_slot();
}

void Relay::apply_list(HostList list, bool cached) {
  const bool any = !list.hosts.empty() || list.full;
  input(ClusterChanged{std::move(list), cached});
  if (any) set_ready();  // the journal has been replayed already
}

void Relay::apply_source(const Config& wanted) {
  const std::shared_ptr<ConsulSource> old_consul = std::exchange(consul_, nullptr);
  const std::shared_ptr<Discovery> old_discovery = std::exchange(discovery_, nullptr);
  if (old_consul) old_consul->stop();
  if (old_discovery) old_discovery->stop();
  const auto on_list = [this](HostList list, bool cached) { apply_list(std::move(list), cached); };
  const auto inherit = [this, &wanted](auto& source) {
    if (inherited_source_ == wanted.source && !inherited_watch_.empty()) source.load(inherited_watch_);
  };
  if (shares_list() && wanted.source != MembershipSource::platform)
    handle_refresh_input(fleet::RefreshPaused{});
  switch (wanted.source) {
    case MembershipSource::platform:
      log_("membership", "from the platform, at " + wanted.discovery.text());
      if (shares_list()) {
        fleet::RefreshStarted started{discovery_name(), std::nullopt, false};
        if (const auto version = std::exchange(known_version_, std::nullopt)) {
          merged_list_.apply(config_.known_hosts);
          started.known = fleet::DiscoveredList{*version, hosts_json(config_.known_hosts, config_.boot)};
        }
        return handle_refresh_input(std::move(started));
      }
      discovery_ = std::make_shared<Discovery>(io_, config_, wanted.discovery, counters_, log_, on_list);
      inherit(*discovery_);
      if (const auto version = std::exchange(known_version_, std::nullopt))
        discovery_->set_known_version(*version);
      return discovery_->start();
    case MembershipSource::list:
      log_("membership", "from the settings, " + std::to_string(wanted.known_hosts.hosts.size()) + " hosts");
      return apply_list(wanted.known_hosts, false);
    case MembershipSource::consul:
      log_("membership", "from Consul, at " + wanted.consul->agent.text());
      consul_ = std::make_shared<ConsulSource>(
          io_, *wanted.consul,
          ConsulSourceContext{
              config_.name, wanted.seed, {config_.boot.zones, config_.boot.kinds}, state_folder_},
          config_.limits, counters_, log_, on_list, old_consul.get());
      inherit(*consul_);
      if (ready_) consul_->set_ready();
      consul_->start();
  }
}

// Applies a new configuration completely or not at all. Held messages, calls in flight and pending notices
// are unaffected, and the current list stays until the new discovery address has sent one.
void Relay::reload() {
  if (!storage_open_) {
    reload_pending_ = true;
    return;
  }
  reloaded_during_upgrade_ = true;
  record_.note(record::Kind::signalled, 0, SIGHUP);
  try {
    const Config wanted = reread_();
    for (const std::string& part : changed_fixed_parts(config_, wanted)) {
      log_("reload", part + " has changed and needs a restart; the old one stays");
    }
    ++counters_.reloads;
    const bool discovery_moved = wanted.discovery != discovery_address_;
    discovery_address_ = wanted.discovery;
    if (config_.has_platform && discovery_moved) notices_.redirect(wanted.discovery);
    // A relay that follows the shared list has no watch of its own, but discovery is still its source.
    const bool from_platform = discovery_ || (reducer_.fleet() && reducer_.fleet()->follows_shared_list());
    if (wanted.source == MembershipSource::platform && from_platform) {
      if (!discovery_moved) return log_("reload", "the address of discovery is unchanged");
      log_("reload", "discovery is at " + wanted.discovery.text());
      if (shares_list())
        return handle_refresh_input(fleet::RefreshStarted{discovery_name(), std::nullopt, true});
      return discovery_->redirect(wanted.discovery);
    }
    // Otherwise the registration would be removed and created again at once, and the two requests can
    // overtake each other.
    if (wanted.source == MembershipSource::consul && consul_ && consul_->settings() == *wanted.consul) {
      return log_("reload", "nothing of Consul has changed");
    }
    apply_source(wanted);
  } catch (const ConfigError& e) {
    log_("reload", std::string("the old configuration stays: ") + e.what());
  }
}

// Keeps listening, answering and journaling until the end. Connections close once they are answered, no call
// starts that could outlast the process, and the next process continues the messages still held.
void Relay::stop() {
  stopping_ = true;
  const Limits& limits = config_.limits;
  log_("", "stopping");
  if (upgrade_) upgrade_->abort_upgrade("the relay is to stop");
  if (storage_open_) input(StopRequested{steady_now() + limits.stop_timeout - limits.stop_margin});
  downstream_.disable_keep_alive();
  const fleet::Fleet* const fleet = reducer_.fleet();
  const bool planned = fleet && fleet->slot() && fleet->slot()->step() == drain::Slot::Step::offline;
  if (consul_) consul_->leave(planned);
  if (fleet_) input(FleetInput{fleet::ResignRoles{}});
  stop_timer_.expires_after(limits.stop_idle_timeout);
  stop_timer_.async_wait([this, &limits](asio::error_code error) {
    if (error) return;
    downstream_.close_idle();
    stop_timer_.expires_after(limits.stop_timeout - limits.stop_idle_timeout);
    stop_timer_.async_wait([this](asio::error_code e) {
      if (!e) io_.stop();
    });
  });
}

// The record's legend holds the names by index and the classes' time limits, for reading it later.
void Relay::open_record() {
  const std::string default_path = state_folder_ + "/" + record::kFileName;
  // A record left by a previous process would count against the disk limit.
  if (!config_.record || !config_.record->folder.empty()) ::unlink(default_path.c_str());
  if (!config_.record) return;
  const std::string path =
      config_.record->folder.empty() ? default_path : config_.record->folder + "/" + config_.name + ".record";
  const wire::InstanceSettings& boot = config_.boot;
  std::vector<record::ClassLegend> classes;
  for (std::size_t i = 0; i < boot.classes.size(); ++i) {
    const starlinghook::ClassSettings& c = boot.settings.classes.at(i);
    classes.push_back({boot.classes[i], c.aim, c.deadline, c.worth});
  }
  try {
    record_.open(path, record::record_file_size(config_.record->file_bytes),
                 record::legend_text({config_.name, std::move(classes), boot.tenants}));
  } catch (const record::RecordError& e) {
    return log_("record", std::string("not available: ") + e.what());
  }
  record_.note(record::Kind::began, 0, 0, {static_cast<std::uint32_t>(::getpid())}, config_.name);
  loop_lag_monitor_.start();
}

void Relay::record_heartbeat(Time max_lag) {
  rusage usage{};
  ::getrusage(RUSAGE_SELF, &usage);
  const auto to_time = [](const timeval& t) { return std::chrono::seconds(t.tv_sec) + Time(t.tv_usec); };
  const Time cpu = to_time(usage.ru_utime) + to_time(usage.ru_stime);
  const auto count = [](std::size_t n) { return static_cast<std::uint32_t>(n); };
  record_.note(
      record::Kind::beat, 0,
      static_cast<std::uint16_t>(std::min<Time::rep>(max_lag.count() / 1000, UINT16_MAX)),
      {count(journal_.held().size()), count(upstream_.active_calls()), count(downstream_.connections())});
  record_.note(record::Kind::load, 0, 0,
               {record::us32(cpu - std::exchange(recorded_cpu_, cpu)),
                static_cast<std::uint32_t>(usage.ru_maxrss), count(upstream_.connections())});
}

void Relay::print_counters() {
  log_.report(counters_text(
      counters_, {journal_.size(), journal_.records(), journal_.compactions(), journal_.held().size()},
      reducer_.fleet() ? &reducer_.fleet()->counts() : nullptr,
      reducer_.fleet() && reducer_.fleet()->slot() ? &reducer_.fleet()->slot()->counts() : nullptr));
}

}  // namespace fennellane
