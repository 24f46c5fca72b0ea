// Executes the new side of a handover, in the process started to take over. It only talks to the old process
// until it serves or exits. handover::NewSide makes the decisions.
#pragma once

#include <deque>
#include <functional>
#include <string>

#include "channel.hpp"
#include "handover.hpp"

namespace fennellane::upgrade {

// Implemented by the program. Each function returns an error message; empty means success.
class Successor {
 public:
  virtual ~Successor() = default;
  virtual std::string check_configuration() = 0;
  // Builds the relay from the state, without touching a socket or a file.
  virtual std::string build_relay(const std::string& state, IncomingDescriptors& descriptors,
                                  std::uint64_t journal_bytes) = 0;
  virtual std::string claim_journal(handover::Generation generation) = 0;
};

class NewProcess {
 public:
  using OnLog = std::function<void(const std::string&)>;
  // `channel` leads to the old process. Throws ChannelError.
  NewProcess(FileDescriptor channel, Successor& successor, OnLog log);

  // Returns whether this process serves now. Throws std::runtime_error if it should serve but cannot.
  bool run();
  // Stays open for as long as the old process lives.
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
