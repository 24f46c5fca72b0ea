// The new side of a handover, in the program that was started to take over. It waits for the old process and
// does nothing else, until it serves or ends. What it decides is handover::NewSide's.
#pragma once

#include <deque>
#include <functional>
#include <string>

#include "channel.hpp"
#include "handover.hpp"

namespace fennellane::upgrade {

// What is asked of the program. Each answer is what went wrong; empty = nothing.
class Successor {
 public:
  virtual ~Successor() = default;
  virtual std::string check_configuration() = 0;
  // Everything, from the state; no socket and no file is touched.
  virtual std::string build_relay(const std::string& state, IncomingDescriptors& descriptors,
                                  std::uint64_t journal_bytes) = 0;
  virtual std::string claim_journal(handover::Generation generation) = 0;
};

class NewProcess {
 public:
  using OnLog = std::function<void(const std::string&)>;
  // `channel`: to the old process. Throws ChannelError.
  NewProcess(FileDescriptor channel, Successor& successor, OnLog say);

  // Whether this process serves now. Throws std::runtime_error where it was to serve and cannot.
  bool run();
  // Open for as long as the old process is there.
  FileDescriptor release_channel() { return channel_.release_socket(); }

 private:
  void dispatch(handover::NewInput input);
  void execute(const handover::Send& e);
  void execute(const handover::CheckConfiguration& e);
  void execute(const handover::BuildState& e);
  void execute(const handover::WriteFence& e);
  void execute(const handover::StartServing& e);
  void execute(const handover::Exit& e);
  void execute(const handover::SetTimer&) {}
  void execute(const handover::StopTimer&) {}
  void execute(const handover::LogMessage& e);
  void receive_messages();

  Channel channel_;
  Successor& successor_;
  const OnLog log_;
  handover::NewSide side_;
  std::deque<handover::NewInput> inputs_;
  bool dispatching_ = false;
  bool ended_ = false;
  bool journal_claimed_ = false;
  std::string state_;
};

}  // namespace fennellane::upgrade
