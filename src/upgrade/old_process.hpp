// Executes the old side of a handover in a running process: starts the new program and hands over, or keeps
// serving. handover::OldSide makes the decisions.
//
// While the relay is frozen the event loop does not run: this class polls the new process itself, so no other
// handler runs, and after a thaw everything continues where it was.
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

// Implemented by the relay.
class Upgradable {
 public:
  virtual ~Upgradable() = default;
  // Everything that another process needs to continue. The relay keeps its descriptors.
  virtual std::string save(OutgoingDescriptors& descriptors) = 0;
  virtual std::uint64_t journal_bytes() const = 0;
  // Write the fence that ends this owner's part of the journal, and the claim that takes it back. Both throw
  // std::exception.
  virtual void fence_journal(handover::Generation owner) = 0;
  virtual void reclaim_journal(handover::Generation generation) = 0;
  // Throws std::exception if this cannot be stored; the upgrade fails then.
  virtual void upgrade_started(pid_t new_process) = 0;
  virtual void upgrade_failed(const std::string& reason) = 0;
  // The new process serves; this one exits without closing its connections first.
  [[noreturn]] virtual void exit_after_handover(pid_t new_process) = 0;
  // Restarts this process from the journal.
  [[noreturn]] virtual void restart_from_journal() = 0;
};

class OldProcess {
 public:
  OldProcess(asio::io_context& io, CommandLine command, pid_t watcher, handover::Generation generation,
             const handover::Limits& limits, Upgradable& relay, Log& log);

  void request_upgrade(const std::string& program = {});  // empty: the program of the command line
  void abort_upgrade(const std::string& reason);          // if one is under way; kills the new process
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
  std::string program_;  // of the upgrade under way; empty: that of the command line
  bool frozen_ = false;
  std::string failure_reason_;  // of the latest attempt

  // The new process; null unless an upgrade is under way.
  struct Peer {
    Child child;
    Channel channel;
    bool channel_open = true;  // more messages may arrive
    asio::posix::stream_descriptor channel_readable, process_ended;
  };
  std::unique_ptr<Peer> peer_;
  struct StateTransfer {
    std::string state;
    std::size_t sent_bytes = 0;
    OutgoingDescriptors descriptors;
    std::size_t descriptors_sent = 0;
    bool end_queued = false;  // StateEnd is queued
  };
  std::optional<StateTransfer> state_transfer_;
  std::optional<handover::Time> timer_deadline_;
  asio::steady_timer timer_;
};

}  // namespace fennellane::upgrade
