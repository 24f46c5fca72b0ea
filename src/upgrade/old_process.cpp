#include "old_process.hpp"

#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <sys/wait.h>

#include <algorithm>
#include <exception>
#include <system_error>

#include "byte_units.hpp"
#include "clock.hpp"
#include "fault.hpp"

namespace fennellane::upgrade {
namespace {

using namespace handover;

constexpr std::size_t kStatePart = 256 * kKiB;
constexpr std::size_t kDescriptorsPart = 200;
constexpr Versions kVersions{};

int copy_of(int fd) {
  const int copy = ::fcntl(fd, F_DUPFD_CLOEXEC, 0);
  if (copy < 0) throw std::system_error(errno, std::generic_category(), "no descriptor");
  return copy;
}

std::string ending(int status) {
  if (WIFSIGNALED(status)) return "signal " + std::to_string(WTERMSIG(status));
  return "code " + std::to_string(WEXITSTATUS(status));
}

}  // namespace

OldProcess::OldProcess(asio::io_context& io, CommandLine command, pid_t watcher, Generation generation,
                       const handover::Limits& limits, Upgradable& relay, Log& log)
    : io_(io),
      command_(std::move(command)),
      watcher_(watcher),
      limits_(limits),
      relay_(relay),
      log_(log),
      side_(kVersions, generation, limits),
      timer_(io) {}

void OldProcess::ask(const std::string& program) {
  if (!side_.busy()) program_ = program;
  give(UpgradeAsked{});
}

void OldProcess::call_off(const std::string& why) {
  if (side_.busy()) give(Spoilt{why});
}

// One input at a time: what an effect brings about waits for its turn.
void OldProcess::give(OldInput input) {
  inputs_.push_back(std::move(input));
  if (std::exchange(at_work_, true)) return;
  while (!inputs_.empty()) {
    const OldInput next = std::move(inputs_.front());
    inputs_.pop_front();
    const auto before = side_.step();
    const std::vector<OldEffect> effects = side_.handle(steady_now(), next);
    if (side_.step() != before) fault_point("old", name_of(side_.step()));
    for (const OldEffect& effect : effects) {
      std::visit([this](const auto& e) { carry(e); }, effect);
    }
  }
  at_work_ = false;
  if (trying_ && !side_.busy()) {
    trying_ = false;
    relay_.upgrade_failed(said_);
  }
}

void OldProcess::carry(const StartPeer&) {
  trying_ = true;
  said_.clear();
  try {
    CommandLine command = command_;
    if (!program_.empty()) command.program = command.arguments.front() = program_;
    Child child = launch(command, watcher_, true);
    const pid_t pid = child.pid;
    try {
      const int ear = copy_of(child.channel.get()), life = copy_of(child.life.get());
      Channel channel(std::move(child.channel));
      peer_ = std::make_unique<Peer>(Peer{std::move(child), std::move(channel), true,
                                          asio::posix::stream_descriptor(io_, ear),
                                          asio::posix::stream_descriptor(io_, life)});
      relay_.upgrade_started(pid);
    } catch (const std::exception&) {
      ::kill(pid, SIGKILL);
      ::waitpid(pid, nullptr, 0);
      peer_.reset();
      throw;
    }
    await_word();
    await_end();
    log_("upgrade", "process " + std::to_string(pid) + " is started: " + command.program);
    give(Started{});
  } catch (const std::exception& e) {
    give(Started{e.what()});
  }
}

// The handlers guard against being those of a try that has ended.
void OldProcess::await_word() {
  peer_->ear.async_wait(asio::posix::stream_descriptor::wait_read,
                        [this, peer = peer_.get()](asio::error_code error) {
                          if (error || peer_.get() != peer) return;
                          hear();
                          // Frozen, it stands still here until it is known how that ends.
                          if (frozen_) return stand_still();
                          if (peer_.get() == peer && peer_->hears) await_word();
                        });
}

void OldProcess::await_end() {
  peer_->life.async_wait(asio::posix::stream_descriptor::wait_read,
                         [this, peer = peer_.get()](asio::error_code error) {
                           if (!error && peer_.get() == peer) bury();
                         });
}

void OldProcess::carry(const Send& e) {
  peer_->channel.send(e.message);
  flush();
}

void OldProcess::carry(const Freeze&) { frozen_ = true; }

void OldProcess::carry(const SendState&) {
  try {
    sending_.emplace();
    sending_->state = relay_.save(sending_->descriptors);
    if (sending_->state.size() > limits_.most_state) throw std::runtime_error("it is larger than its bound");
    flush();
  } catch (const std::exception& e) {
    sending_.reset();
    give(StateSent{e.what()});
  }
}

// The next part, once the one before has gone out: the state is not held twice.
void OldProcess::queue_state() {
  Sending& s = *sending_;
  const std::vector<int>& all = s.descriptors.all();
  if (s.sent == s.state.size() && s.descriptors_sent == all.size()) {
    s.ended = true;
    return peer_->channel.send(StateEnd{s.state.size(), checksum(s.state), relay_.journal_bytes()});
  }
  const std::size_t count = std::min(kDescriptorsPart, all.size() - s.descriptors_sent);
  const auto first = all.begin() + static_cast<std::ptrdiff_t>(s.descriptors_sent);
  peer_->channel.send(State{s.state.substr(s.sent, kStatePart)},
                      std::vector<int>(first, first + static_cast<std::ptrdiff_t>(count)));
  s.sent = std::min(s.state.size(), s.sent + kStatePart);
  s.descriptors_sent += count;
}

void OldProcess::flush() {
  try {
    peer_->channel.flush();
    while (sending_ && !peer_->channel.sending()) {
      if (sending_->ended) {
        sending_.reset();
        return give(StateSent{});
      }
      queue_state();
      peer_->channel.flush();
    }
  } catch (const ChannelError& e) {
    peer_->channel.drop_queue();
    if (sending_) {
      sending_.reset();
      give(StateSent{e.what()});
    } else {
      give(Spoilt{e.what()});
    }
  }
}

void OldProcess::carry(const WriteFence& e) {
  try {
    if (side_.step() == OldSide::Step::reclaiming) {
      relay_.reclaim(e.to);
    } else {
      relay_.fence(e.to);
    }
    give(Fenced{});
  } catch (const std::exception& failure) {
    give(Fenced{failure.what()});
  }
}

void OldProcess::carry(const KillPeer&) {
  sending_.reset();
  peer_->channel.drop_queue();
  ::kill(peer_->child.pid, SIGKILL);
}

void OldProcess::carry(const Thaw&) {
  sending_.reset();
  frozen_ = false;
}
void OldProcess::carry(const Leave&) { relay_.leave(peer_->child.pid); }
void OldProcess::carry(const StartAnew&) { relay_.start_anew(); }
void OldProcess::carry(const SetTimer& e) {
  due_ = e.at;
  timer_.expires_at(steady_moment(e.at));
  timer_.async_wait([this](asio::error_code error) {
    if (!error) time_due();
  });
}
void OldProcess::carry(const StopTimer&) {
  due_.reset();
  timer_.cancel();
}
void OldProcess::carry(const Say& e) {
  if (said_.empty()) said_ = e.text;
  log_("upgrade", e.text);
}

void OldProcess::time_due() {
  if (!due_ || steady_now() < *due_) return;
  due_.reset();
  give(TimeDue{});
}

void OldProcess::hear() {
  if (!peer_->hears) return;
  try {
    peer_->hears = peer_->channel.receive();
    while (const std::optional<Message> message = peer_->channel.next()) give(Received{*message});
  } catch (const std::exception& e) {
    peer_->hears = false;
    give(Spoilt{e.what()});
  }
}

// It has ended; what it said before still counts.
void OldProcess::bury() {
  hear();
  int status = 0;
  ::waitpid(peer_->child.pid, &status, 0);
  log_("upgrade", "process " + std::to_string(peer_->child.pid) + " has ended with " + ending(status));
  peer_->channel.drop_queue();
  sending_.reset();
  // Guards against a wait that names a process which is another one by now.
  const std::unique_ptr<Peer> buried = std::exchange(peer_, nullptr);
  give(PeerDead{});
}

void OldProcess::stand_still() {
  while (frozen_) {
    pollfd watched[2] = {{-1, 0, 0}, {-1, 0, 0}};
    if (peer_) {
      const bool sending = peer_->channel.sending();
      if (peer_->hears || sending) watched[0].fd = peer_->channel.descriptor();
      watched[0].events = static_cast<short>((peer_->hears ? POLLIN : 0) | (sending ? POLLOUT : 0));
      watched[1] = {peer_->child.life.get(), POLLIN, 0};
    }
    int wait_ms = -1;
    if (due_) {
      const auto left = std::chrono::ceil<std::chrono::milliseconds>(*due_ - steady_now()).count();
      wait_ms = static_cast<int>(std::clamp<std::int64_t>(left, 0, 60000));
    }
    if (::poll(watched, 2, wait_ms) < 0 && errno != EINTR) continue;
    if (watched[0].revents != 0) {
      hear();
      if (frozen_ && peer_) flush();
    }
    if (frozen_ && peer_ && watched[1].revents != 0) bury();
    if (frozen_) time_due();
  }
}

}  // namespace fennellane::upgrade
