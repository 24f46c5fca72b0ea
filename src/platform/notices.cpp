#include "notices.hpp"

#include <json/json.h>

#include <algorithm>
#include <asio/co_spawn.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>

#include "memory.hpp"

namespace fennellane {

namespace {
// What became of a batch, as a status of HTTP.
constexpr unsigned kNoAnswer = 0, kTaken = 204, kUnreadable = 400;
}  // namespace

std::string notice_line(const PostNotice& notice) {
  std::string line = "{\"id\":" + Json::valueToQuotedString(notice.id.c_str());
  line += notice.verdict == Verdict::deferred ? ",\"status\":\"deferred\"" : ",\"status\":\"undeliverable\"";
  if (notice.verdict == Verdict::deferred && notice.again > Time(0)) {
    line +=
        ",\"again_ms\":" + std::to_string(std::chrono::ceil<std::chrono::milliseconds>(notice.again).count());
  }
  return line + "}\n";
}

Notices::Notices(asio::io_context& io, const Config& config, Counters& counters, Log& log, OnTaken on_taken)
    : io_(io),
      config_(config),
      counters_(counters),
      log_(log),
      on_taken_(std::move(on_taken)),
      address_(config.discovery),
      client_(io, address_, config.limits, config.limits.body),
      wake_(io),
      pause_(io),
      retry_(config.limits.notice_retry_least, config.limits.notice_retry_most, config.seed),
      answer_limit_(config.limits.notice_answer_least) {
  client_.report_strays(counters.agent_strays, log);
}

void Notices::start() { asio::co_spawn(io_, run(), rethrow); }

void Notices::post(const PostNotice& notice) {
  lines_.push_back({notice.stream, notice_line(notice)});
  wake_.cancel();
}

void Notices::redirect(const Address& address) {
  address_ = address;
  redirected_ = true;
  client_.redirect(address);
  pause_.cancel();
}

std::string Notices::save() const {
  return written_memory([this](MemoryWriter& archive) { archive(lines_); });
}
void Notices::load(std::string_view bytes) {
  read_memory(bytes, "the notices", [this](MemoryReader& archive) { archive(lines_); });
}

asio::awaitable<unsigned> Notices::deliver(std::size_t count) {
  const Limits& limits = config_.limits;
  std::string body;
  for (std::size_t i = 0; i < count; ++i) body += lines_[i].text;
  ++counters_.notice_tries;
  if (!client_.open()) {
    const bool connected = co_await client_.connect(answer_limit_);
    if (!connected) co_return kNoAnswer;
  }
  std::string text = "POST /v1/notices HTTP/1.1\r\nHost: " + address_.text() +
                     "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
                     "\r\n\r\n" + body;
  const auto begun = std::chrono::steady_clock::now();
  const bool sent = co_await client_.send(std::move(text), answer_limit_);
  if (!sent) co_return kNoAnswer;
  const bool answered = co_await client_.read_answer(answer_limit_);
  if (!answered) co_return kNoAnswer;
  const auto took = std::chrono::duration_cast<Time>(std::chrono::steady_clock::now() - begun);
  answer_limit_ = std::clamp(took * 2, limits.notice_answer_least, limits.notice_answer_most);
  co_return client_.answer().status();
}

asio::awaitable<void> Notices::run() {
  while (true) {
    if (lines_.empty()) {
      wake_.expires_at(asio::steady_timer::time_point::max());
      asio::error_code woken;
      co_await wake_.async_wait(asio::redirect_error(asio::use_awaitable, woken));
      continue;
    }
    const std::size_t count = batch();
    redirected_ = false;
    const unsigned status = co_await deliver(count);
    if (is_settled(status, count)) {
      forget(count);
    } else {
      co_await rest(status);
    }
  }
}

std::size_t Notices::batch() const {
  std::size_t count = 0, bytes = 0;
  while (count < std::min(most_lines_, lines_.size())) {
    bytes += lines_[count].text.size();
    if (count > 0 && bytes > config_.limits.notice_batch) break;
    ++count;
  }
  return count;
}

bool Notices::is_settled(unsigned status, std::size_t count) {
  if (status == kTaken) {
    most_lines_ = SIZE_MAX;
    retry_.reset();
    return true;
  }
  // Guards against one line that is never taken holding up all that follow.
  if (status != kUnreadable || count != 1) return false;
  log_("notices", "the platform cannot read " + lines_.front().text);
  return true;
}

void Notices::forget(std::size_t count) {
  for (; count > 0; --count) {
    const StreamId stream = lines_.front().stream;
    lines_.pop_front();
    on_taken_(stream);
  }
}

asio::awaitable<void> Notices::rest(unsigned status) {
  // Guards against a platform that is slow, not silent, never being waited for long enough.
  if (status == kNoAnswer) answer_limit_ = std::min(answer_limit_ * 2, config_.limits.notice_answer_most);
  // Guards against a batch refused for one of its lines: they go one by one.
  if (status == kUnreadable) most_lines_ = 1;
  client_.close();
  if (!redirected_) {
    pause_.expires_after(retry_.next());
    asio::error_code cut_short;
    co_await pause_.async_wait(asio::redirect_error(asio::use_awaitable, cut_short));
  }
  if (redirected_) retry_.reset();
}

}  // namespace fennellane
