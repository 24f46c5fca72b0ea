// The relay: everything on one thread and one loop. It brings the reducer its inputs and carries out the
// effects in their order.
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

// How its process was started, and by whom; for upgrades.
struct LaunchContext {
  upgrade::CommandLine command;
  pid_t watcher = -1;  // -1: none
};

class Relay : private upgrade::Upgradable {
 public:
  // `reread` gives the configuration as it stands now; throws ConfigError. `journal`: of one that takes over;
  // all others open theirs as they run. Throws std::system_error where the system has no room for an event
  // loop.
  Relay(Config config, const std::string& state_folder, std::function<Config()> reread, LaunchContext place,
        Journal journal = {});

  // Until SIGTERM or SIGINT, and a while after it, or until another process has taken over. Throws
  // ConfigError, ListenError, and JournalError where the state folder stays unusable or is another process's.
  void run();

  // Instead of a fresh start: stands where another process stood, with its descriptors, once it runs. The
  // journal must be as the other left it. Touches nothing. Throws std::exception; it is of no use then.
  void load(const std::string& state, IncomingDescriptors& descriptors);
  void claim_journal(Generation generation) { journal_.claim(generation); }  // throws JournalError
  // Open for as long as the process is there that this one has taken over from.
  void watch_old_process(FileDescriptor channel);

 private:
  std::string save(OutgoingDescriptors& descriptors) override;
  std::uint64_t journal_bytes() const override { return journal_.size(); }
  void fence_journal(handover::Generation to) override { journal_.fence(to); }
  void reclaim_journal(handover::Generation as) override { journal_.claim(as); }
  void upgrade_started(pid_t new_process) override;
  void upgrade_failed(const std::string& why) override;
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
  void handle_refresh_input(fleet::RefreshInput heard) {
    input(FleetInput{fleet::RefreshRoleInput{std::move(heard)}});
  }
  bool shares_list() const { return fleet_ && has_role(*config_.fleet, fleet::kRefreshRole); }
  void join_fleet();
  void handle_drain_input(drain::Input told) { input(FleetInput{fleet::DrainInput{std::move(told)}}); }
  void execute(const drain::Effect& e);
  void execute(const release::Move& e);
  void adopt_slot();
  void release_slot();
  void on_stop_requested(int signal);
  void on_upgrade_requested();
  void start_upgrade(const std::string& program);
  void planned_outage_failed(const std::string& why);

  void restore();
  void on_signal(int number);
  void stop();
  void reload();
  // Where the list comes from now; the list that stands does so until the new source has one.
  void apply_source(const Config& wanted);
  void apply_list(HostList list, bool cached);
  void set_ready();
  void print_counters();
  void open_record();
  void record_heartbeat(Time latest);

  const Config config_;
  const std::function<Config()> reread_;
  const std::string state_folder_;
  Address discovery_address_;  // as last reread
  asio::io_context io_;
  Log log_;
  Counters counters_;
  record::Recorder record_;
  FileDescriptor lock_;  // on the state folder
  Journal journal_;
  Reducer reducer_;
  Upstream upstream_;
  Notices notices_;
  std::shared_ptr<Discovery> discovery_;  // at most one of these two is there
  std::shared_ptr<ConsulSource> consul_;
  std::shared_ptr<FleetAgent> fleet_;  // null: no role of the fleet is sought
  MergedHostList merged_list_;         // where the list is shared
  Downstream downstream_;
  LoopLagMonitor loop_watch_;
  asio::steady_timer timer_;  // the module's
  asio::steady_timer stop_timer_;
  Signals signals_;
  std::vector<StreamId>
      unnoticed_ends_;   // undelivered ends without a platform, recorded in the loop's next turn
  Time recorded_cpu_{};  // of this process, at the last beat
  const Time started_;
  asio::steady_timer storage_timer_;  // the next try at storage that fails
  RetryBackoff storage_retry_;
  bool storage_open_ = false;     // the journal has been read
  bool storage_writable_ = true;  // as the reducer has been told
  Time storage_failing_since_{};
  bool open_failure_logged_ = false;
  bool ready_waits_for_storage_ = false;
  bool reload_pending_ = false;                 // for the journal to be read
  std::optional<StreamId> unrecorded_stream_;   // of the effects that are being carried out
  std::optional<StreamId> unrecorded_attempt_;  // likewise
  bool ready_ = false;
  bool stopping_ = false;
  bool stop_pending_ = false;     // for a slot of the disruption budget
  bool upgrade_pending_ = false;  // likewise
  bool slot_adopted_ = false;     // of an earlier life, until this one is ready
  enum class PlannedOutage : std::uint8_t {
    none,
    upgrade,
    release
  } planned_outage_ = PlannedOutage::none;  // that a slot was taken for

  const LaunchContext launch_context_;
  std::unique_ptr<upgrade::OldProcess> upgrade_;  // none: upgrades are off
  std::uint64_t finished_upgrades_ = 0;           // that have ended, well or not
  bool reloaded_during_upgrade_ = false;          // since the newest upgrade began
  // Of a process that has taken over, until it runs.
  bool took_over_ = false;
  Time frozen_since_{};
  pid_t old_pid_ = -1;
  MembershipSource inherited_source_{};
  std::string inherited_watch_;
  std::optional<std::uint64_t> known_version_;  // of the list that this life begins with, for its first watch
  std::optional<asio::posix::stream_descriptor> old_process_channel_;
  asio::steady_timer old_process_timer_;
};

}  // namespace fennellane
