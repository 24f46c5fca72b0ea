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
  virtual std::string check() = 0;
  // Everything, from the state; no socket and no file is touched.
  virtual std::string build(const std::string& state, DescriptorsIn& descriptors,
                            std::uint64_t journal_bytes) = 0;
  virtual std::string claim(handover::Generation generation) = 0;
};

class NewProcess {
 public:
  using OnSay = std::function<void(const std::string&)>;
  // `channel`: to the old process. Throws ChannelError.
  NewProcess(FileDescriptor channel, Successor& successor, OnSay say);

  // Whether this process serves now. Throws std::runtime_error where it was to serve and cannot.
  bool run();
  // Open for as long as the old process is there.
  FileDescriptor take_channel() { return channel_.take_socket(); }

 private:
  void give(handover::NewInput input);
  void carry(const handover::Send& e);
  void carry(const handover::Check& e);
  void carry(const handover::Build& e);
  void carry(const handover::WriteFence& e);
  void carry(const handover::Serve& e);
  void carry(const handover::Exit& e);
  void carry(const handover::SetTimer&) {}
  void carry(const handover::StopTimer&) {}
  void carry(const handover::Say& e);
  void hear();

  Channel channel_;
  Successor& successor_;
  const OnSay say_;
  handover::NewSide side_;
  std::deque<handover::NewInput> inputs_;
  bool at_work_ = false;
  bool ended_ = false;
  bool claimed_ = false;
  std::string state_;
};

}  // namespace fennellane::upgrade
