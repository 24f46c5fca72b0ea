// Storage in the relay: opens the journal, writes records, and keeps serving while storage fails.
#include <cerrno>
#include <utility>

#include "clock.hpp"
#include "relay.hpp"
#include "seconds_text.hpp"

namespace fennellane {
namespace {

constexpr int kLogDecimals = 1;  // of seconds

// Whether this errno, from opening the state folder, needs an operator's attention.
bool is_unusable(int error) {
  switch (error) {
    case ENOENT:
    case ENOTDIR:
    case EACCES:
    case EPERM:
    case EROFS:
    case ELOOP:
    case ENAMETOOLONG:
      return true;
    default:
      return false;
  }
}

}  // namespace

// Retries until the journal has been read. An unusable folder is retried until `startup_wait`, since its disk
// may be mounted late, and one that another process has locked until `lock_timeout`. A file that is no
// journal is an error at once.
void Relay::open_storage() {
  const Limits& limits = config_.limits;
  try {
    if (lock_.get() < 0) lock_ = lock_journal(state_folder_, Time(0));
    journal_ = Journal(state_folder_, limits.max_journal_file);
  } catch (const JournalError& e) {
    const Time waited = steady_now() - started_;
    const bool locked = e.error() == EWOULDBLOCK;
    if (e.error() == 0 || (locked && waited >= limits.lock_timeout) ||
        (is_unusable(e.error()) && waited >= limits.startup_wait)) {
      throw;
    }
    if (!std::exchange(open_failure_logged_, true))
      log_("storage", std::string("cannot be opened yet: ") + e.what());
    downstream_.set_not_ready(e.what());
    storage_timer_.expires_after(storage_retry_.next_delay());
    storage_timer_.async_wait([this](asio::error_code error) {
      if (!error) open_storage();
    });
    return;
  }
  if (open_failure_logged_)
    log_("storage", "open after " + seconds_text(steady_now() - started_, kLogDecimals));
  storage_retry_.reset();
  storage_open_ = true;
  if (!stopping_) start_serving();
}

void Relay::execute(RecordAccepted& e) {
  e.entry.deadline = steady_now() + e.time_left;
  if (!journal_.message_accepted(e.stream, std::move(e.entry))) unrecorded_stream_ = e.stream;
}
void Relay::execute(RecordAttempt& e) {
  if (e.stream == unrecorded_stream_) return;
  if (journal_.attempt_started(e.stream, steady_now(), e.zone)) return;
  if (e.required) {
    unrecorded_attempt_ = e.stream;
  } else {
    journal_.attempt_started_best_effort(e.stream, steady_now(), e.zone);
  }
}
void Relay::execute(RecordOutcome& e) { journal_.attempt_ended(e.stream, e.may_have_run); }
void Relay::execute(RecordGivenUp& e) {
  if (e.stream != unrecorded_stream_) journal_.message_given_up(e.stream, e.verdict, e.retry_after);
}
void Relay::execute(RecordEnded& e) { journal_.message_ended(e.stream); }

// Effects of a message that could not be recorded are not executed.
bool Relay::is_dropped(const Effect& effect) const {
  if (!unrecorded_stream_) return false;
  const auto* const call = std::get_if<StartCall>(&effect);
  const auto* const given_up = std::get_if<RecordGivenUp>(&effect);
  return (call && call->stream == unrecorded_stream_) || (given_up && given_up->stream == unrecorded_stream_);
}

// A client whose message could not be recorded gets a refusal.
void Relay::execute(SendAnswer& e) {
  if (e.stream != 0 && e.stream == unrecorded_stream_) {
    ++counters_.storage_refused;
    e = SendAnswer{e.request, AdmissionReply::refused, reducer_.refusal_retry_after(),
                   AdmissionOutcome::storage_failing, 0};
  } else if (e.admission == AdmissionOutcome::storage_failing) {
    ++counters_.storage_refused;
  }
  downstream_.answer(e);
}
void Relay::execute(StartCall& e) {
  if (e.stream == unrecorded_stream_) return;
  if (std::exchange(unrecorded_attempt_, std::nullopt) != e.stream) return upstream_.start(std::move(e));
  ++counters_.storage_unsent;
  upstream_.end_unsent(e.stream, e.attempt);
}

// After the effects of each input: reports a message that could not be recorded and a change of storage.
void Relay::report_storage_state() {
  if (const auto stream = std::exchange(unrecorded_stream_, std::nullopt)) input(RecordingFailed{*stream});
  const bool writable = !journal_.failure();
  if (std::exchange(storage_writable_, writable) == writable) return;
  if (writable) {
    log_("storage", "writes again after " +
                        seconds_text(steady_now() - storage_failing_since_, kLogDecimals) + ", " +
                        std::to_string(counters_.storage_refused) + " messages refused so far");
    storage_retry_.reset();
    storage_timer_.cancel();
  } else {
    ++counters_.storage_failures;
    storage_failing_since_ = steady_now();
    log_("storage", "fails: " + journal_.failure()->text());
    schedule_storage_repair();
  }
  record_.note(record::Kind::storage, 0,
               static_cast<std::uint16_t>(writable ? 0 : journal_.failure()->error));
  input(StorageChanged{writable});
  if (writable && ready_waits_for_storage_) set_ready();
}

void Relay::schedule_storage_repair() {
  storage_timer_.expires_after(storage_retry_.next_delay());
  storage_timer_.async_wait([this](asio::error_code error) {
    if (error || !journal_.failure()) return;
    journal_.repair();
    report_storage_state();
    if (journal_.failure()) schedule_storage_repair();
  });
}

}  // namespace fennellane
