#include "new_process.hpp"

#include <poll.h>

#include <cerrno>
#include <utility>

#include "fault.hpp"

namespace fennellane::upgrade {
namespace {

using namespace handover;

constexpr Versions kVersions{};

// The new side has no timeouts of its own: the old process kills it when it is too slow.
constexpr Time kUnusedTime{};

void wait_for(int fd, short events) {
  pollfd polled{fd, events, 0};
  while (::poll(&polled, 1, -1) < 0 && errno == EINTR) {
  }
}

}  // namespace

NewProcess::NewProcess(FileDescriptor channel, Successor& successor, OnLog log)
    : channel_(std::move(channel)),
      successor_(successor),
      log_(std::move(log)),
      side_(kVersions, handover::Limits{}) {}

bool NewProcess::run() {
  while (!ended_ && !side_.serves()) {
    wait_for(channel_.descriptor(), POLLIN);
    receive_messages();
  }
  return side_.serves();
}

void NewProcess::receive_messages() {
  try {
    const bool open = channel_.receive();
    while (const std::optional<Message> message = channel_.next()) {
      // NewSide only counts the bytes; they are stored here.
      if (const State* chunk = std::get_if<State>(&*message)) state_ += chunk->bytes;
      dispatch(MessageReceived{*message});
      if (ended_ || side_.serves()) return;
    }
    if (!open) dispatch(PeerExited{});
  } catch (const FrameError& e) {
    dispatch(ChannelFailed{e.what()});
  } catch (const ChannelError& e) {
    // Tells the old process the reason: it may be a limit that an operator can raise.
    channel_.send(Refuse{e.what()});
    channel_.flush();
    dispatch(ChannelFailed{e.what()});
  }
}

void NewProcess::dispatch(NewInput input) {
  inputs_.push_back(std::move(input));
  if (std::exchange(dispatching_, true)) return;
  while (!inputs_.empty()) {
    const NewInput next = std::move(inputs_.front());
    inputs_.pop_front();
    const auto before = side_.step();
    const std::vector<NewEffect> effects = side_.handle(kUnusedTime, next);
    if (side_.step() != before) fault_point("new", step_name(side_.step()));
    for (const NewEffect& effect : effects) {
      std::visit([this](const auto& e) { execute(e); }, effect);
    }
  }
  dispatching_ = false;
}

void NewProcess::execute(const Send& e) {
  channel_.send(e.message);
  while (true) {
    channel_.flush();
    if (!channel_.has_queued()) break;
    wait_for(channel_.descriptor(), POLLOUT);
  }
  if (std::holds_alternative<TakeoverConfirmed>(e.message)) fault_point("new", "taken");
}

void NewProcess::execute(const CheckConfiguration&) {
  dispatch(PreparationFinished{successor_.check_configuration()});
}

void NewProcess::execute(const BuildState& e) {
  if (checksum(state_) != e.end.checksum) return dispatch(PreparationFinished{"the state is damaged"});
  dispatch(PreparationFinished{successor_.build_relay(state_, channel_.descriptors(), e.end.journal_bytes)});
  state_ = std::string();
}

void NewProcess::execute(const WriteFence& e) {
  const std::string failure = successor_.claim_journal(e.owner);
  journal_claimed_ = failure.empty();
  dispatch(FenceWritten{failure});
}

void NewProcess::execute(const StartServing& e) {
  if (journal_claimed_) return;
  const std::string failure = successor_.claim_journal(e.generation);
  // No process serves then; the journal is complete, and the next process starts from it.
  if (!failure.empty()) throw std::runtime_error("the journal cannot be claimed: " + failure);
}

void NewProcess::execute(const Exit&) { ended_ = true; }
void NewProcess::execute(const LogMessage& e) { log_(e.text); }

}  // namespace fennellane::upgrade
