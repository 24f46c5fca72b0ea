// The old side of a handover in a running process: starts the new program, hands over and leaves, or serves
// on. What it decides is handover::OldSide's.
//
// While its relay is frozen the loop stands still: this waits for the new process by itself, so nothing else
// runs, and after a thaw everything goes on where it was.
#pragma once

#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/steady_timer.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "channel.hpp"
#include "handover.hpp"
#include "launch.hpp"
#include "log.hpp"

namespace fennellane::upgrade {

// What is asked of the relay.
class Upgradable {
 public:
  virtual ~Upgradable() = default;
  // All that another process needs to go on. The descriptors stay the relay's.
  virtual std::string save(OutgoingDescriptors& descriptors) = 0;
  virtual std::uint64_t journal_bytes() const = 0;
  // The journal's last record of this owner, and its taking back. Both throw std::exception.
  virtual void fence_journal(handover::Generation to) = 0;
  virtual void reclaim_journal(handover::Generation as) = 0;
  // Throws std::exception where that cannot be written down; there is no upgrade then.
  virtual void upgrade_started(pid_t new_process) = 0;
  virtual void upgrade_failed(const std::string& why) = 0;
  // The new process serves, and this one ends, without a word to its peers.
  [[noreturn]] virtual void exit_after_handover(pid_t new_process) = 0;
  // This one begins again from the journal.
  [[noreturn]] virtual void restart_from_journal() = 0;
};

class OldProcess {
 public:
  OldProcess(asio::io_context& io, CommandLine command, pid_t watcher, handover::Generation generation,
             const handover::Limits& limits, Upgradable& relay, Log& log);

  void request_upgrade(
      const std::string& program = {});        // for an upgrade; empty: to the program of the command
  void abort_upgrade(const std::string& why);  // one that is under way; the new process is killed
  bool busy() const { return side_.busy(); }

 private:
  void dispatch(handover::OldInput input);
  void execute(const handover::StartPeer& e);
  void execute(const handover::Send& e);
  void execute(const handover::Freeze& e);
  void execute(const handover::SendState& e);
  void execute(const handover::WriteFence& e);
  void execute(const handover::KillPeer& e);
  void execute(const handover::Thaw& e);
  void execute(const handover::ExitAfterHandover& e);
  void execute(const handover::RestartFromJournal& e);
  void execute(const handover::SetTimer& e);
  void execute(const handover::StopTimer& e);
  void execute(const handover::LogMessage& e);

  void receive_messages();
  void flush();
  void queue_state_chunk();
  void reap_peer();
  void check_timer();
  void await_message();
  void await_peer_exit();
  void run_while_frozen();

  asio::io_context& io_;
  const CommandLine command_;
  const pid_t watcher_;
  const handover::Limits limits_;
  Upgradable& relay_;
  Log& log_;
  handover::OldSide side_;
  std::deque<handover::OldInput> inputs_;
  bool dispatching_ = false;
  bool upgrade_in_progress_ = false;
  std::string program_;  // of the upgrade that is under way
  bool frozen_ = false;
  std::string failure_reason_;  // why the newest try has failed

  // Of the newest try; none between two.
  struct Peer {
    Child child;
    Channel channel;
    bool channel_open = true;  // the channel may still bring something
    asio::posix::stream_descriptor channel_readable, process_ended;
  };
  std::unique_ptr<Peer> peer_;
  struct StateTransfer {
    std::string state;
    std::size_t sent_bytes = 0;
    OutgoingDescriptors descriptors;
    std::size_t descriptors_sent = 0;
    bool end_queued = false;  // all of it is queued
  };
  std::optional<StateTransfer> state_transfer_;
  std::optional<handover::Time> timer_deadline_;
  asio::steady_timer timer_;
};

}  // namespace fennellane::upgrade
