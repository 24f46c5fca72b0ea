#include "new_process.hpp"

#include <poll.h>

#include <cerrno>
#include <utility>

#include "fault.hpp"

namespace fennellane::upgrade {
namespace {

using namespace handover;

constexpr Versions kVersions{};

// The new side has no time limits of its own: a process that is not answered any more is killed.
constexpr Time kNow{};

void wait_for(int fd, short events) {
  pollfd one{fd, events, 0};
  while (::poll(&one, 1, -1) < 0 && errno == EINTR) {
  }
}

}  // namespace

NewProcess::NewProcess(FileDescriptor channel, Successor& successor, OnSay say)
    : channel_(std::move(channel)),
      successor_(successor),
      say_(std::move(say)),
      side_(kVersions, handover::Limits{}) {}

bool NewProcess::run() {
  while (!ended_ && !side_.serves()) {
    wait_for(channel_.descriptor(), POLLIN);
    hear();
  }
  return side_.serves();
}

void NewProcess::hear() {
  try {
    const bool open = channel_.receive();
    while (const std::optional<Message> message = channel_.next()) {
      // The side counts the bytes; they are kept here.
      if (const State* part = std::get_if<State>(&*message)) state_ += part->bytes;
      give(Received{*message});
      if (ended_ || side_.serves()) return;
    }
    if (!open) give(PeerDead{});
  } catch (const FrameError& e) {
    give(Spoilt{e.what()});
  } catch (const ChannelError& e) {
    // The old process hears why: it may be for a limit that an operator can raise.
    channel_.send(Refuse{e.what()});
    channel_.flush();
    give(Spoilt{e.what()});
  }
}

void NewProcess::give(NewInput input) {
  inputs_.push_back(std::move(input));
  if (std::exchange(at_work_, true)) return;
  while (!inputs_.empty()) {
    const NewInput next = std::move(inputs_.front());
    inputs_.pop_front();
    const auto before = side_.step();
    const std::vector<NewEffect> effects = side_.handle(kNow, next);
    if (side_.step() != before) fault_point("new", name_of(side_.step()));
    for (const NewEffect& effect : effects) {
      std::visit([this](const auto& e) { carry(e); }, effect);
    }
  }
  at_work_ = false;
}

void NewProcess::carry(const Send& e) {
  channel_.send(e.message);
  while (true) {
    channel_.flush();
    if (!channel_.sending()) break;
    wait_for(channel_.descriptor(), POLLOUT);
  }
  if (std::holds_alternative<Taken>(e.message)) fault_point("new", "taken");
}

void NewProcess::carry(const Check&) { give(Checked{successor_.check()}); }

void NewProcess::carry(const Build& e) {
  if (checksum(state_) != e.end.checksum) return give(Checked{"the state is damaged"});
  give(Checked{successor_.build(state_, channel_.descriptors(), e.end.journal_bytes)});
  state_ = std::string();
}

void NewProcess::carry(const WriteFence& e) {
  const std::string failure = successor_.claim(e.to);
  claimed_ = failure.empty();
  give(Fenced{failure});
}

void NewProcess::carry(const Serve& e) {
  if (claimed_) return;
  const std::string failure = successor_.claim(e.generation);
  // Nobody serves then; the journal is whole, and the next life begins from it.
  if (!failure.empty()) throw std::runtime_error("the journal cannot be claimed: " + failure);
}

void NewProcess::carry(const Exit&) { ended_ = true; }
void NewProcess::carry(const Say& e) { say_(e.text); }

}  // namespace fennellane::upgrade
