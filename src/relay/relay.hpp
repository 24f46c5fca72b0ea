// The relay. Everything runs on one thread and one event loop: it passes inputs to the reducer and executes
// the returned effects in order.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cluster_source.hpp"
#include "config.hpp"
#include "consul_source.hpp"
#include "counters.hpp"
#include "discovery.hpp"
#include "downstream.hpp"
#include "fleet_agent.hpp"
#include "journal.hpp"
#include "log.hpp"
#include "loop_lag_monitor.hpp"
#include "merged_host_list.hpp"
#include "notices.hpp"
#include "old_process.hpp"
#include "recorder.hpp"
#include "reducer.hpp"
#include "retry_backoff.hpp"
#include "signals.hpp"
#include "upstream.hpp"

namespace fennellane {

// How this process was started and by which process; for upgrades.
struct LaunchContext {
  upgrade::CommandLine command;
  pid_t watcher = -1;  // -1: none
};

class Relay : private upgrade::Upgradable {
 public:
  // `reread` returns the current configuration or throws ConfigError. `journal` is passed by a process that
  // takes over; otherwise run() opens it. Throws std::system_error if the system lacks the resources for an
  // event loop.
  Relay(Config config, const std::string& state_folder, std::function<Config()> reread, LaunchContext context,
        Journal journal = {});

  // Runs until it has shut down after SIGTERM or SIGINT, or until another process has taken over. Throws
  // ConfigError, ListenError, and JournalError if the state folder stays unusable or another process uses it.
  void run();

  // Restores the state and descriptors of another process, so that run() continues its work instead of
  // starting fresh. The journal must be as the other process left it. Has no side effects. Throws
  // std::exception; the relay is unusable then.
  void load(const std::string& state, IncomingDescriptors& descriptors);
  void claim_journal(Generation generation) { journal_.claim(generation); }  // throws JournalError
  // `channel` stays open for as long as the process lives that this one took over from.
  void watch_old_process(FileDescriptor channel);

 private:
  std::string save(OutgoingDescriptors& descriptors) override;
  std::uint64_t journal_bytes() const override { return journal_.size(); }
  void fence_journal(handover::Generation owner) override { journal_.fence(owner); }
  void reclaim_journal(handover::Generation generation) override { journal_.claim(generation); }
  void upgrade_started(pid_t new_process) override;
  void upgrade_failed(const std::string& reason) override;
  [[noreturn]] void exit_after_handover(pid_t new_process) override;
  [[noreturn]] void restart_from_journal() override;
  template <class Archive>
  void serialize_state(Archive& archive);
  void answer_pending_requests();
  void start_fresh();
  void start_serving();
  void open_storage();
  bool is_dropped(const Effect& effect) const;
  void report_storage_state();
  void schedule_storage_repair();
  void start_after_takeover();
  void await_old_process_exit();
  void enable_upgrades();
  void complete_unnoticed();

  void input(const Input& input);
  void execute(RecordAccepted& e);
  void execute(RecordAttempt& e);
  void execute(RecordOutcome& e);
  void execute(RecordGivenUp& e);
  void execute(RecordEnded& e);
  void execute(SendAnswer& e);
  void execute(StartCall& e);
  void execute(CancelCall& e);
  void execute(CancelUnsentCall& e);
  void execute(CloseIdleConnections& e);
  void execute(RetireHost& e);
  void execute(PostNotice& e);
  void execute(SetTimer& e);
  void execute(LogMessage& e);
  void execute(FleetEffect& e);
  void execute(const fleet::StartDiscoveryWatch& e);
  void execute(const fleet::StopDiscoveryWatch&);
  void execute(const fleet::ApplyList& e);
  void apply_own_list(HostList list);
  std::string discovery_name() const;
  void handle_refresh_input(fleet::RefreshInput refresh_input) {
    input(FleetInput{fleet::RefreshRoleInput{std::move(refresh_input)}});
  }
  bool shares_list() const { return fleet_ && has_role(*config_.fleet, fleet::kRefreshRole); }
  void join_fleet();
  void handle_drain_input(drain::Input drain_input) {
    input(FleetInput{fleet::DrainInput{std::move(drain_input)}});
  }
  void execute(const drain::Effect& e);
  void execute(const release::Move& e);
  void adopt_slot();
  void release_slot();
  void on_stop_requested(int signal);
  void on_upgrade_requested();
  void start_upgrade(const std::string& program);
  void planned_outage_failed(const std::string& reason);

  void restore();
  void on_signal(int number);
  void stop();
  void reload();
  // Switches to the source of the host list; the current list stays until the new source delivers one.
  void apply_source(const Config& wanted);
  void apply_list(HostList list, bool cached);
  void set_ready();
  void print_counters();
  void open_record();
  void record_heartbeat(Time max_lag);

  const Config config_;
  const std::function<Config()> reread_;
  const std::string state_folder_;
  Address discovery_address_;  // as of the last reload
  asio::io_context io_;
  Log log_;
  Counters counters_;
  record::Recorder record_;
  FileDescriptor lock_;  // lock of the state folder
  Journal journal_;
  Reducer reducer_;
  Upstream upstream_;
  Notices notices_;
  std::shared_ptr<Discovery> discovery_;  // at most one of this and consul_ is set
  std::shared_ptr<ConsulSource> consul_;
  std::shared_ptr<FleetAgent> fleet_;  // null: takes part in no work of the fleet
  MergedHostList merged_list_;         // where the fleet shares the list
  Downstream downstream_;
  LoopLagMonitor loop_lag_monitor_;
  asio::steady_timer timer_;  // the reducer's
  asio::steady_timer stop_timer_;
  Signals signals_;
  std::vector<StreamId> unnoticed_ends_;  // without a platform: undelivered messages to be recorded as ended
  Time recorded_cpu_{};                   // CPU time of this process at the last heartbeat
  const Time started_;
  asio::steady_timer storage_timer_;  // next attempt to open or repair the journal
  RetryBackoff storage_retry_;
  bool storage_open_ = false;     // the journal was read
  bool storage_writable_ = true;  // as last reported to the reducer
  Time storage_failing_since_{};
  bool open_failure_logged_ = false;
  bool ready_waits_for_storage_ = false;
  bool reload_pending_ = false;                 // until the journal has been read
  std::optional<StreamId> unrecorded_stream_;   // message among the effects being executed
  std::optional<StreamId> unrecorded_attempt_;  // likewise
  bool ready_ = false;
  bool stopping_ = false;
  bool stop_pending_ = false;     // waits for a slot of the disruption budget
  bool upgrade_pending_ = false;  // likewise
  bool slot_adopted_ = false;     // holds the previous process's slot until ready
  enum class PlannedOutage : std::uint8_t {
    none,
    upgrade,
    release
  } planned_outage_ = PlannedOutage::none;  // what a slot was acquired for

  const LaunchContext launch_context_;
  std::unique_ptr<upgrade::OldProcess> upgrade_;  // null: upgrades are off
  std::uint64_t finished_upgrades_ = 0;           // successful or not
  bool reloaded_during_upgrade_ = false;          // since the latest upgrade began
  // After a takeover, until run().
  bool took_over_ = false;
  Time frozen_since_{};
  pid_t old_pid_ = -1;
  MembershipSource inherited_source_{};
  std::string inherited_watch_;
  // Of the stored list that this process starts with, for the first watch.
  std::optional<std::uint64_t> known_version_;
  std::optional<asio::posix::stream_descriptor> old_process_channel_;
  asio::steady_timer old_process_timer_;
};

}  // namespace fennellane
