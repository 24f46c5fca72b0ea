// The relay's part in a hot upgrade: handing over to a new process and taking over from an old one.
#include <unistd.h>

#include <asio/post.hpp>
#include <csignal>
#include <cstdlib>
#include <utility>

#include "clock.hpp"
#include "relay.hpp"
#include "run_file.hpp"
#include "snapshot.hpp"
#include "watch.hpp"

namespace fennellane {
namespace {

constexpr std::uint32_t kSnapshotVersion = 4;

std::string ms_text(Time span) {
  char text[32];
  std::snprintf(text, sizeof text, "%.1f ms", static_cast<double>(span.count()) / 1000);
  return text;
}

}  // namespace

template <class Archive>
void Relay::serialize_state(Archive& archive) {
  static_assert(std::is_trivially_copyable_v<Counters>);
  std::uint64_t size = sizeof counters_;
  archive(size);
  if (size != sizeof counters_) throw starlinghook::SnapshotError("the counters are of another version");
  archive(cereal::binary_data(&counters_, sizeof counters_));
  // Counts the upgrade under way, since the next one may be requested from the new process at once.
  std::uint64_t upgrades = finished_upgrades_ + 1;
  archive(unnoticed_ends_, ready_, upgrades);
  if (Archive::is_loading::value) finished_upgrades_ = upgrades;
}

std::string Relay::save(OutgoingDescriptors& descriptors) {
  return write_snapshot(kSnapshotVersion, [&](SnapshotWriter& archive) {
    archive(config_.name, config_.listen, config_.raw_settings, steady_now(), ::getpid(),
            descriptors.add(lock_.get()));
    serialize_state(archive);
    archive(reducer_.save(), upstream_.save(descriptors), downstream_.save(descriptors), notices_.save());
    const bool consul = consul_ != nullptr;
    archive(consul       ? MembershipSource::consul
            : discovery_ ? MembershipSource::platform
                         : MembershipSource::list,
            consul       ? consul_->save()
            : discovery_ ? discovery_->save()
                         : std::string());
  });
}

void Relay::load(const std::string& state, IncomingDescriptors& descriptors) {
  read_snapshot(state, "the relay's state", kSnapshotVersion, [&](SnapshotReader& archive) {
    Config running = config_;  // apart from what the state overwrites
    std::uint32_t lock = 0;
    archive(running.name, running.listen, running.raw_settings, frozen_since_, old_pid_, lock);
    const std::vector<std::string> changed = changed_fixed_parts(running, config_);
    if (!changed.empty()) {
      throw starlinghook::SnapshotError(changed.front() + " has changed and needs a restart");
    }
    lock_ = descriptors.extract(lock);
    serialize_state(archive);
    std::string reducer, upstream, downstream, notices;
    archive(reducer, upstream, downstream, notices, inherited_source_, inherited_watch_);
    reducer_.load(config_.boot.settings, reducer, [this](StreamId stream) {
      const auto it = journal_.held().find(stream);
      return it == journal_.held().end() ? Body() : it->second.body;
    });
    upstream_.load(upstream, descriptors);
    downstream_.load(downstream, descriptors);
    notices_.load(notices);
  });
  took_over_ = true;
  storage_open_ = true;
}

// Resumes clients first, since they are waiting.
void Relay::start_after_takeover() {
  // Otherwise a request that has been read already would be answered as by a relay that is not ready yet.
  if (ready_) downstream_.set_ready();
  upstream_.resume();
  downstream_.resume();
  const Time downtime = steady_now() - frozen_since_;
  if (reducer_.next_timer() != Time::max()) {
    SetTimer timer{reducer_.next_timer()};
    execute(timer);
  }
  if (!unnoticed_ends_.empty()) asio::post(io_, [this] { complete_unnoticed(); });
  if (config_.has_platform) notices_.start();
  join_fleet();
  // The upgrade for which the slot was acquired is over.
  if (const fleet::Fleet* f = reducer_.fleet();
      f && f->slot() && f->slot()->step() == drain::Slot::Step::offline)
    handle_drain_input(drain::OutageEnded{});
  apply_source(config_);
  inherited_watch_.clear();
  log_("upgrade", "serves after " + ms_text(downtime) + ", with " + std::to_string(journal_.held().size()) +
                      " messages, " + std::to_string(downstream_.connections()) + " clients, " +
                      std::to_string(upstream_.active_calls()) + " calls in flight");
  enable_upgrades();
}

// Enables upgrades if they are configured.
void Relay::enable_upgrades() {
  if (!config_.upgrade) return upgrade::remove_run_file(state_folder_);  // of a previous process
  const UpgradeSettings& wanted = *config_.upgrade;
  upgrade::CommandLine command = launch_context_.command;
  if (!wanted.program.empty()) command.program = command.arguments.front() = wanted.program;
  handover::Limits limits;
  limits.start_timeout = wanted.start_timeout;
  limits.state_timeout = wanted.state_timeout;
  limits.takeover_timeout = wanted.takeover_timeout;
  upgrade_ = std::make_unique<upgrade::OldProcess>(io_, std::move(command), launch_context_.watcher,
                                                   journal_.generation(), limits,
                                                   static_cast<upgrade::Upgradable&>(*this), log_);
  if (took_over_) return await_old_process_exit();
  upgrade::write_run_file(state_folder_, {::getpid(), 0, finished_upgrades_, true, "no upgrade yet"});
}

void Relay::watch_old_process(FileDescriptor channel) {
  old_process_channel_.emplace(io_, channel.release());
}

// Waits until the old process is gone, then does what it may have left undone.
void Relay::await_old_process_exit() {
  const auto on_channel_closed = [this] {
    constexpr std::chrono::milliseconds kPollInterval{5};
    // A process's files are closed before its children get another parent.
    if (::getppid() == old_pid_) {
      old_process_timer_.expires_after(kPollInterval);
      return old_process_timer_.async_wait([this](asio::error_code error) {
        if (!error) await_old_process_exit();
      });
    }
    old_process_channel_.reset();
    if (launch_context_.watcher > 0) upgrade::set_parent_death_signal(launch_context_.watcher);
    const auto file = upgrade::read_run_file(state_folder_);
    if (file && file->pid == ::getpid()) return;
    upgrade::write_run_file(state_folder_, {::getpid(), 0, finished_upgrades_, true,
                                            "the old process died, and this one serves"});
  };
  old_process_channel_->async_wait(asio::posix::stream_descriptor::wait_read,
                                   [on_channel_closed](asio::error_code error) {
                                     if (!error) on_channel_closed();
                                   });
}

void Relay::upgrade_started(pid_t new_process) {
  // Without this file the watcher would not know which process to follow.
  if (!upgrade::write_run_file(
          state_folder_, {::getpid(), new_process, finished_upgrades_, true, "an upgrade is under way"})) {
    throw JournalError("the state folder takes no file");
  }
}

void Relay::upgrade_failed(const std::string& reason) {
  upgrade::write_run_file(state_folder_, {::getpid(), 0, ++finished_upgrades_, false, reason});
  planned_outage_failed(reason);
}

// Everything open here stays open in the new process, so this one just exits and closes nothing itself.
void Relay::exit_after_handover(pid_t new_process) {
  upgrade::write_run_file(state_folder_, {new_process, 0, finished_upgrades_ + 1, true,
                                          "process " + std::to_string(new_process) + " serves"});
  if (reloaded_during_upgrade_) ::kill(new_process, SIGHUP);
  while (const std::optional<int> number = signals_.read_pending()) {
    if (*number != SIGUSR2) ::kill(new_process, *number);
  }
  log_("upgrade", "process " + std::to_string(new_process) + " has taken over");
  std::_Exit(upgrade::kHandedOverExitCode);
}

void Relay::restart_from_journal() {
  log_("upgrade", "restarts from the journal");
  upgrade::reexec(launch_context_.command, launch_context_.watcher);
  std::_Exit(1);
}

}  // namespace fennellane
