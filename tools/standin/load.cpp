#include "load.hpp"

#include <asio/co_spawn.hpp>
#include <asio/redirect_error.hpp>
#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>

#include "http_client.hpp"

namespace fennellane::standin {

using std::chrono::duration;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

std::string message_text(const std::string& id, bool pay, std::size_t destination, std::size_t body,
                         const std::string& budget) {
  const std::string name = pay ? "pay" : "note";
  return "POST /" + name + " HTTP/1.1\r\nHost: relay\r\nX-Call-Id: " + id + "\r\nX-Call-Class: " + name +
         "\r\nX-Caller: north\r\nX-Budget-Ms: " + budget +
         "\r\nX-Consignee: dest=" + std::to_string(destination) +
         "\r\nContent-Length: " + std::to_string(body) + "\r\n\r\n" + std::string(body, 'x');
}

Load::Load(const Address& relay, const Shape& shape) : relay_(relay), shape_(shape) {
  const auto count = static_cast<int>(shape.connections);
  const auto period =
      std::chrono::duration_cast<steady_clock::duration>(duration<double>(count / shape.rate));
  const auto start = steady_clock::now() + milliseconds(20);
  for (int i = 0; i < count; ++i) {
    asio::co_spawn(io_, client(static_cast<std::size_t>(i), start + period * i / count, period), rethrow);
  }
  thread_ = std::thread([this] { io_.run(); });
}

void Load::stop() {
  stopped_ = true;
  if (thread_.joinable()) thread_.join();
}

asio::awaitable<void> Load::client(std::size_t number, steady_clock::time_point next,
                                   steady_clock::duration period) {
  HttpClient client(io_, relay_, limits_, 65536);
  asio::steady_timer timer(io_);
  constexpr std::chrono::seconds kAnswer{5};
  for (std::size_t n = 0; !stopped_; ++n, next += period) {
    timer.expires_at(next);
    asio::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    const auto since = [&next] { return duration<double, std::milli>(steady_clock::now() - next).count(); };
    Answered answer{"m" + std::to_string(number) + "-" + std::to_string(n),
                    next,
                    0,
                    since(),
                    0,
                    (number + n) % shape_.pay_every == 0};
    bool good = false;
    for (bool again = true; again && !good;) {
      const bool kept = client.open();
      good = kept;
      if (!kept) good = co_await client.connect(kAnswer);
      if (good) {
        std::string text = message_text(answer.id, answer.pay, (number + n) % shape_.destinations,
                                        shape_.body, shape_.budget);
        good = co_await client.send(std::move(text), kAnswer);
      }
      if (good) good = co_await client.read_answer(kAnswer);
      if (good) break;
      client.close();
      // One that crossed with the relay's close of an idle connection goes out once more, over a new one.
      again = kept;
      ++(kept ? resent_ : resets_);
    }
    if (good) {
      answer.status = client.answer().status();
      client.answer().take_body();
      if (!client.answer().keep_alive()) client.close();
    }
    answer.ms = since();
    answers_.push_back(std::move(answer));
  }
}

}  // namespace fennellane::standin
