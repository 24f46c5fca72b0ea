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
#include "loop_watch.hpp"
#include "notices.hpp"
#include "old_process.hpp"
#include "recorder.hpp"
#include "reducer.hpp"
#include "retry_pause.hpp"
#include "signals.hpp"
#include "upstream.hpp"
#include "whole_list.hpp"

namespace fennellane {

// How its process was started, and by whom; for upgrades.
struct ProcessPlace {
  upgrade::CommandLine command;
  pid_t watcher = -1;  // -1: none
};

class Relay : private upgrade::Upgradable {
 public:
  // `reread` gives the configuration as it stands now; throws ConfigError. `journal`: of one that takes over;
  // all others open theirs as they run. Throws std::system_error where the system has no room for an event
  // loop.
  Relay(Config config, const std::string& state_folder, std::function<Config()> reread, ProcessPlace place,
        Journal journal = {});

  // Until SIGTERM or SIGINT, and a while after it, or until another process has taken over. Throws
  // ConfigError, ListenError, and JournalError where the state folder stays unusable or is another process's.
  void run();

  // Instead of a fresh start: stands where another process stood, with its descriptors, once it runs. The
  // journal must be as the other left it. Touches nothing. Throws std::exception; it is of no use then.
  void load(const std::string& state, DescriptorsIn& descriptors);
  void claim(Generation generation) { journal_.claim(generation); }  // throws JournalError
  // Open for as long as the process is there that this one has taken over from.
  void watch_old(FileDescriptor channel);

 private:
  std::string save(DescriptorsOut& descriptors) override;
  std::uint64_t journal_bytes() const override { return journal_.size(); }
  void fence(handover::Generation to) override { journal_.fence(to); }
  void reclaim(handover::Generation as) override { journal_.claim(as); }
  void upgrade_started(pid_t new_process) override;
  void upgrade_failed(const std::string& why) override;
  [[noreturn]] void leave(pid_t new_process) override;
  [[noreturn]] void start_anew() override;
  template <class Archive>
  void remember_parts(Archive& archive);
  void answer_what_has_come();
  void begin();
  void serve();
  void open_storage();
  bool is_dropped(const Effect& effect) const;
  void tell_storage();
  void repair_storage_later();
  void go_on();
  void old_ended();
  void upgrade();
  void end_unheard();

  void input(const Input& input);
  void carry(RecordTaken& e);
  void carry(RecordAttempt& e);
  void carry(RecordOutcome& e);
  void carry(RecordGivenUp& e);
  void carry(RecordEnded& e);
  void carry(Answer& e);
  void carry(StartCall& e);
  void carry(CancelCall& e);
  void carry(HoldBack& e);
  void carry(CloseIdle& e);
  void carry(RetireHost& e);
  void carry(PostNotice& e);
  void carry(SetTimer& e);
  void carry(Say& e);
  void carry(FleetDo& e);
  void carry(const fleet::StartOwn& e);
  void carry(const fleet::StopOwn&);
  void carry(const fleet::TakeList& e);
  void take_own(HostList list);
  std::string discovery_name() const;
  void hear(fleet::RefreshInput heard) { input(FleetHeard{fleet::RefreshHeard{std::move(heard)}}); }
  bool shares_list() const { return fleet_ && has_role(*config_.fleet, fleet::kRefreshRole); }
  void join_fleet();
  void drain(drain::Input told) { input(FleetHeard{fleet::DrainHeard{std::move(told)}}); }
  void carry(const drain::Effect& e);
  void carry(const release::Move& e);
  void adopt_slot();
  void give_slot_back();
  void stop_asked(int signal);
  void upgrade_asked();
  void start_upgrade(const std::string& program);
  void outing_failed(const std::string& why);

  void restore();
  void on_signal(int number);
  void stop();
  void reload();
  // Where the list comes from now; the list that stands does so until the new source has one.
  void take_source(const Config& wanted);
  void take_list(HostList list, bool cached);
  void set_ready();
  void print_counters();
  void open_record();
  void note_beat(Time latest);

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
  WholeList whole_;                    // where the list is shared
  Downstream downstream_;
  LoopWatch loop_watch_;
  asio::steady_timer timer_;  // the module's
  asio::steady_timer stop_timer_;
  Signals signals_;
  std::vector<StreamId> unheard_;  // undelivered ends without a platform, recorded in the loop's next turn
  Time noted_cpu_{};               // of this process, at the last beat
  const Time started_;
  asio::steady_timer storage_timer_;  // the next try at storage that fails
  RetryPause storage_retry_;
  bool storage_open_ = false;     // the journal has been read
  bool storage_writable_ = true;  // as the reducer has been told
  Time storage_failing_since_{};
  bool open_failure_said_ = false;
  bool ready_waits_for_storage_ = false;
  bool reload_waits_ = false;                   // for the journal to be read
  std::optional<StreamId> unrecorded_stream_;   // of the effects that are being carried out
  std::optional<StreamId> unrecorded_attempt_;  // likewise
  bool ready_ = false;
  bool stopping_ = false;
  bool stop_waits_ = false;     // for a slot of the disruption budget
  bool upgrade_waits_ = false;  // likewise
  bool slot_adopted_ = false;   // of an earlier life, until this one is ready
  enum class Outing : std::uint8_t {
    none,
    upgrade,
    release
  } outing_ = Outing::none;  // that a slot was taken for

  const ProcessPlace place_;
  std::unique_ptr<upgrade::OldProcess> upgrade_;  // none: upgrades are off
  std::uint64_t upgrades_ = 0;                    // that have ended, well or not
  bool reloaded_ = false;                         // since the newest upgrade began
  // Of a process that has taken over, until it runs.
  bool adopted_ = false;
  Time stood_still_since_{};
  pid_t old_process_ = -1;
  MembershipSource inherited_source_{};
  std::string inherited_watch_;
  std::optional<std::uint64_t> known_version_;  // of the list that this life begins with, for its first watch
  std::optional<asio::posix::stream_descriptor> old_end_;
  asio::steady_timer old_timer_;
};

}  // namespace fennellane
