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

constexpr std::size_t kStateChunkBytes = 256 * kKiB;
constexpr std::size_t kDescriptorsPerMessage = 200;
constexpr Versions kVersions{};

int duplicate_descriptor(int fd) {
  const int copy = ::fcntl(fd, F_DUPFD_CLOEXEC, 0);
  if (copy < 0) throw std::system_error(errno, std::generic_category(), "no descriptor");
  return copy;
}

std::string exit_text(int status) {
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

void OldProcess::request_upgrade(const std::string& program) {
  if (!side_.busy()) program_ = program;
  dispatch(UpgradeRequested{});
}

void OldProcess::abort_upgrade(const std::string& reason) {
  if (side_.busy()) dispatch(ChannelFailed{reason});
}

// Handles one input at a time; inputs that effects cause are queued.
void OldProcess::dispatch(OldInput input) {
  inputs_.push_back(std::move(input));
  if (std::exchange(dispatching_, true)) return;
  while (!inputs_.empty()) {
    const OldInput next = std::move(inputs_.front());
    inputs_.pop_front();
    const auto before = side_.step();
    const std::vector<OldEffect> effects = side_.handle(steady_now(), next);
    if (side_.step() != before) fault_point("old", step_name(side_.step()));
    for (const OldEffect& effect : effects) {
      std::visit([this](const auto& e) { execute(e); }, effect);
    }
  }
  dispatching_ = false;
  if (upgrade_in_progress_ && !side_.busy()) {
    upgrade_in_progress_ = false;
    relay_.upgrade_failed(failure_reason_);
  }
}

void OldProcess::execute(const StartPeer&) {
  upgrade_in_progress_ = true;
  failure_reason_.clear();
  try {
    CommandLine command = command_;
    if (!program_.empty()) command.program = command.arguments.front() = program_;
    Child child = launch(command, watcher_, true);
    const pid_t pid = child.pid;
    try {
      const int channel_copy = duplicate_descriptor(child.channel.get()),
                pidfd_copy = duplicate_descriptor(child.pidfd.get());
      Channel channel(std::move(child.channel));
      peer_ = std::make_unique<Peer>(Peer{std::move(child), std::move(channel), true,
                                          asio::posix::stream_descriptor(io_, channel_copy),
                                          asio::posix::stream_descriptor(io_, pidfd_copy)});
      relay_.upgrade_started(pid);
    } catch (const std::exception&) {
      ::kill(pid, SIGKILL);
      ::waitpid(pid, nullptr, 0);
      peer_.reset();
      throw;
    }
    await_message();
    await_peer_exit();
    log_("upgrade", "process " + std::to_string(pid) + " is started: " + command.program);
    dispatch(PeerStarted{});
  } catch (const std::exception& e) {
    dispatch(PeerStarted{e.what()});
  }
}

// Handlers compare the peer, since they may run after their attempt has ended.
void OldProcess::await_message() {
  peer_->channel_readable.async_wait(asio::posix::stream_descriptor::wait_read,
                                     [this, peer = peer_.get()](asio::error_code error) {
                                       if (error || peer_.get() != peer) return;
                                       receive_messages();
                                       // Once frozen, polls here until the outcome is known.
                                       if (frozen_) return run_while_frozen();
                                       if (peer_.get() == peer && peer_->channel_open) await_message();
                                     });
}

void OldProcess::await_peer_exit() {
  peer_->process_ended.async_wait(asio::posix::stream_descriptor::wait_read,
                                  [this, peer = peer_.get()](asio::error_code error) {
                                    if (!error && peer_.get() == peer) reap_peer();
                                  });
}

void OldProcess::execute(const Send& e) {
  peer_->channel.send(e.message);
  flush();
}

void OldProcess::execute(const Freeze&) { frozen_ = true; }

void OldProcess::execute(const SendState&) {
  try {
    state_transfer_.emplace();
    state_transfer_->state = relay_.save(state_transfer_->descriptors);
    if (state_transfer_->state.size() > limits_.max_state_bytes)
      throw std::runtime_error("it is larger than its bound");
    flush();
  } catch (const std::exception& e) {
    state_transfer_.reset();
    dispatch(StateSent{e.what()});
  }
}

// Queues the next chunk only when the previous one is written, so that the state is not in memory twice.
void OldProcess::queue_state_chunk() {
  StateTransfer& transfer = *state_transfer_;
  const std::vector<int>& descriptors = transfer.descriptors.all();
  if (transfer.sent_bytes == transfer.state.size() && transfer.descriptors_sent == descriptors.size()) {
    transfer.end_queued = true;
    return peer_->channel.send(
        StateEnd{transfer.state.size(), checksum(transfer.state), relay_.journal_bytes()});
  }
  const std::size_t count = std::min(kDescriptorsPerMessage, descriptors.size() - transfer.descriptors_sent);
  const auto first = descriptors.begin() + static_cast<std::ptrdiff_t>(transfer.descriptors_sent);
  peer_->channel.send(State{transfer.state.substr(transfer.sent_bytes, kStateChunkBytes)},
                      std::vector<int>(first, first + static_cast<std::ptrdiff_t>(count)));
  transfer.sent_bytes = std::min(transfer.state.size(), transfer.sent_bytes + kStateChunkBytes);
  transfer.descriptors_sent += count;
}

void OldProcess::flush() {
  try {
    peer_->channel.flush();
    while (state_transfer_ && !peer_->channel.has_queued()) {
      if (state_transfer_->end_queued) {
        state_transfer_.reset();
        return dispatch(StateSent{});
      }
      queue_state_chunk();
      peer_->channel.flush();
    }
  } catch (const ChannelError& e) {
    peer_->channel.clear_queue();
    if (state_transfer_) {
      state_transfer_.reset();
      dispatch(StateSent{e.what()});
    } else {
      dispatch(ChannelFailed{e.what()});
    }
  }
}

void OldProcess::execute(const WriteFence& e) {
  try {
    if (side_.step() == OldSide::Step::reclaiming) {
      relay_.reclaim_journal(e.owner);
    } else {
      relay_.fence_journal(e.owner);
    }
    dispatch(FenceWritten{});
  } catch (const std::exception& failure) {
    dispatch(FenceWritten{failure.what()});
  }
}

void OldProcess::execute(const KillPeer&) {
  state_transfer_.reset();
  peer_->channel.clear_queue();
  ::kill(peer_->child.pid, SIGKILL);
}

void OldProcess::execute(const Thaw&) {
  state_transfer_.reset();
  frozen_ = false;
}
void OldProcess::execute(const ExitAfterHandover&) { relay_.exit_after_handover(peer_->child.pid); }
void OldProcess::execute(const RestartFromJournal&) { relay_.restart_from_journal(); }
void OldProcess::execute(const SetTimer& e) {
  timer_deadline_ = e.at;
  timer_.expires_at(to_time_point(e.at));
  timer_.async_wait([this](asio::error_code error) {
    if (!error) check_timer();
  });
}
void OldProcess::execute(const StopTimer&) {
  timer_deadline_.reset();
  timer_.cancel();
}
void OldProcess::execute(const LogMessage& e) {
  if (failure_reason_.empty()) failure_reason_ = e.text;
  log_("upgrade", e.text);
}

void OldProcess::check_timer() {
  if (!timer_deadline_ || steady_now() < *timer_deadline_) return;
  timer_deadline_.reset();
  dispatch(TimerExpired{});
}

void OldProcess::receive_messages() {
  if (!peer_->channel_open) return;
  try {
    peer_->channel_open = peer_->channel.receive();
    while (const std::optional<Message> message = peer_->channel.next()) dispatch(MessageReceived{*message});
  } catch (const std::exception& e) {
    peer_->channel_open = false;
    dispatch(ChannelFailed{e.what()});
  }
}

// The peer has exited; messages it sent before still count.
void OldProcess::reap_peer() {
  receive_messages();
  int status = 0;
  ::waitpid(peer_->child.pid, &status, 0);
  log_("upgrade", "process " + std::to_string(peer_->child.pid) + " has ended with " + exit_text(status));
  peer_->channel.clear_queue();
  state_transfer_.reset();
  // The pid may be reused from here on, so no wait or signal may refer to this peer any more.
  const std::unique_ptr<Peer> exited = std::exchange(peer_, nullptr);
  dispatch(PeerExited{});
}

void OldProcess::run_while_frozen() {
  while (frozen_) {
    pollfd polled[2] = {{-1, 0, 0}, {-1, 0, 0}};
    if (peer_) {
      const bool has_queued = peer_->channel.has_queued();
      if (peer_->channel_open || has_queued) polled[0].fd = peer_->channel.descriptor();
      polled[0].events = static_cast<short>((peer_->channel_open ? POLLIN : 0) | (has_queued ? POLLOUT : 0));
      polled[1] = {peer_->child.pidfd.get(), POLLIN, 0};
    }
    int wait_ms = -1;
    if (timer_deadline_) {
      const auto remaining =
          std::chrono::ceil<std::chrono::milliseconds>(*timer_deadline_ - steady_now()).count();
      wait_ms = static_cast<int>(std::clamp<std::int64_t>(remaining, 0, 60000));
    }
    if (::poll(polled, 2, wait_ms) < 0 && errno != EINTR) continue;
    if (polled[0].revents != 0) {
      receive_messages();
      if (frozen_ && peer_) flush();
    }
    if (frozen_ && peer_ && polled[1].revents != 0) reap_peer();
    if (frozen_) check_timer();
  }
}

}  // namespace fennellane::upgrade
