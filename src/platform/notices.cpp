#include "notices.hpp"

#include <json/json.h>

#include <algorithm>
#include <asio/co_spawn.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>

#include "snapshot.hpp"

namespace fennellane {

namespace {
// Results of sending a batch, as HTTP status codes.
constexpr unsigned kNoAnswer = 0, kAccepted = 204, kUnreadable = 400;
}  // namespace

std::string format_notice(const PostNotice& notice) {
  std::string line = "{\"id\":" + Json::valueToQuotedString(notice.id.c_str());
  line += notice.verdict == Verdict::deferred ? ",\"status\":\"deferred\"" : ",\"status\":\"undeliverable\"";
  if (notice.verdict == Verdict::deferred && notice.retry_after > Time(0)) {
    line += ",\"again_ms\":" +
            std::to_string(std::chrono::ceil<std::chrono::milliseconds>(notice.retry_after).count());
  }
  return line + "}\n";
}

Notices::Notices(asio::io_context& io, const Config& config, Counters& counters, Log& log,
                 OnAccepted on_accepted)
    : io_(io),
      config_(config),
      counters_(counters),
      log_(log),
      on_accepted_(std::move(on_accepted)),
      address_(config.discovery),
      client_(io, address_, config.limits, config.limits.max_body_size),
      wake_timer_(io),
      retry_timer_(io),
      retry_(config.limits.notice_retry_min, config.limits.notice_retry_max, config.seed),
      answer_timeout_(config.limits.notice_timeout_min) {
  client_.enable_stray_reporting(counters.agent_strays, log);
}

void Notices::start() { asio::co_spawn(io_, run(), rethrow); }

void Notices::post(const PostNotice& notice) {
  pending_lines_.push_back({notice.stream, format_notice(notice)});
  wake_timer_.cancel();
}

void Notices::redirect(const Address& address) {
  address_ = address;
  redirected_ = true;
  client_.redirect(address);
  retry_timer_.cancel();
}

std::string Notices::save() const {
  return write_snapshot([this](SnapshotWriter& archive) { archive(pending_lines_); });
}
void Notices::load(std::string_view bytes) {
  read_snapshot(bytes, "the notices", [this](SnapshotReader& archive) { archive(pending_lines_); });
}

asio::awaitable<unsigned> Notices::send_batch(std::size_t count) {
  const Limits& limits = config_.limits;
  std::string body;
  for (std::size_t i = 0; i < count; ++i) body += pending_lines_[i].text;
  ++counters_.notice_attempts;
  if (!client_.open()) {
    const bool connected = co_await client_.connect(answer_timeout_);
    if (!connected) co_return kNoAnswer;
  }
  std::string text = "POST /v1/notices HTTP/1.1\r\nHost: " + address_.text() +
                     "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
                     "\r\n\r\n" + body;
  const auto started_at = std::chrono::steady_clock::now();
  const bool sent = co_await client_.send(std::move(text), answer_timeout_);
  if (!sent) co_return kNoAnswer;
  const bool answered = co_await client_.read_answer(answer_timeout_);
  if (!answered) co_return kNoAnswer;
  const auto duration = std::chrono::duration_cast<Time>(std::chrono::steady_clock::now() - started_at);
  answer_timeout_ = std::clamp(duration * 2, limits.notice_timeout_min, limits.notice_timeout_max);
  co_return client_.answer().status();
}

asio::awaitable<void> Notices::run() {
  while (true) {
    if (pending_lines_.empty()) {
      wake_timer_.expires_at(asio::steady_timer::time_point::max());
      asio::error_code ignored;
      co_await wake_timer_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
      continue;
    }
    const std::size_t count = next_batch_size();
    redirected_ = false;
    const unsigned status = co_await send_batch(count);
    if (is_batch_done(status, count)) {
      remove_lines(count);
    } else {
      co_await back_off(status);
    }
  }
}

std::size_t Notices::next_batch_size() const {
  std::size_t count = 0, bytes = 0;
  while (count < std::min(max_batch_lines_, pending_lines_.size())) {
    bytes += pending_lines_[count].text.size();
    if (count > 0 && bytes > config_.limits.max_notice_batch) break;
    ++count;
  }
  return count;
}

bool Notices::is_batch_done(unsigned status, std::size_t count) {
  if (status == kAccepted) {
    max_batch_lines_ = SIZE_MAX;
    retry_.reset();
    return true;
  }
  // A single line that is never accepted must not block all lines after it.
  if (status != kUnreadable || count != 1) return false;
  log_("notices", "the platform rejected the notice " + pending_lines_.front().text);
  return true;
}

void Notices::remove_lines(std::size_t count) {
  for (; count > 0; --count) {
    const StreamId stream = pending_lines_.front().stream;
    pending_lines_.pop_front();
    on_accepted_(stream);
  }
}

asio::awaitable<void> Notices::back_off(unsigned status) {
  // Doubles the timeout, so that a slow platform is eventually given enough time.
  if (status == kNoAnswer) answer_timeout_ = std::min(answer_timeout_ * 2, config_.limits.notice_timeout_max);
  // A batch may be rejected because of one line, so lines are sent one by one from now on.
  if (status == kUnreadable) max_batch_lines_ = 1;
  client_.close();
  if (!redirected_) {
    retry_timer_.expires_after(retry_.next_delay());
    asio::error_code ignored;
    co_await retry_timer_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
  if (redirected_) retry_.reset();
}

}  // namespace fennellane
