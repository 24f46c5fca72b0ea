// One client that sends at full speed on one connection must not keep others waiting, nor make the relay
// grow.
#include <gtest/gtest.h>

#include <algorithm>
#include <ostream>
#include <thread>

#include "load.hpp"
#include "process_memory.hpp"
#include "relay_fixture.hpp"

namespace fennellane::test {
namespace {

using standin::kUsualAnswer;
using standin::Load;
using standin::message_text;

constexpr seconds kSpan{5};
constexpr std::size_t kBatch = 64;  // requests written at once

enum class Requests : std::uint8_t { sound_small, sound_large, unsound, new_names, up };

std::string request_of(Requests kind, std::size_t n) {
  const std::string id = "fast-" + std::to_string(n);
  std::string text = message_text(id, n % 2 == 0, 0, kind == Requests::sound_large ? 60000 : 200, "20000");
  switch (kind) {
    case Requests::sound_small:
    case Requests::sound_large:
      return text;
    case Requests::unsound:
      return text.replace(text.find("X-Budget-Ms: 20000"), 18, "X-Budget-Ms: never");
    case Requests::new_names:
      return text.replace(text.find("X-Caller: north"), 15, "X-Caller: tenant" + std::to_string(n));
    case Requests::up:
      return "GET /up HTTP/1.1\r\n\r\n";
  }
  return text;
}

// Writes requests without waiting for answers, which are read and dropped.
class FastClient {
 public:
  FastClient(const RelayProgram& relay, Requests kind)
      : socket_(relay.connected(io_)),
        reader_([this] { drop_answers(); }),
        writer_([this, kind] { write_requests(kind); }) {}
  ~FastClient() {
    writer_.join();
    asio::error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_both, ignored);
    reader_.join();
  }
  std::size_t answered_bytes() const { return answered_bytes_; }

 private:
  void write_requests(Requests kind) {
    const auto end = std::chrono::steady_clock::now() + kSpan;
    asio::error_code error;
    for (std::size_t n = 0; !error && std::chrono::steady_clock::now() < end;) {
      std::string batch;
      for (std::size_t i = 0; i < kBatch; ++i) batch += request_of(kind, n++);
      asio::write(socket_, asio::buffer(batch), error);
    }
  }
  void drop_answers() {
    char piece[65536];
    asio::error_code error;
    while (!error) answered_bytes_ += socket_.read_some(asio::buffer(piece), error);
  }

  asio::io_context io_;
  tcp::socket socket_;
  std::atomic<std::size_t> answered_bytes_ = 0;
  std::thread reader_, writer_;
};

struct Course {
  const char* name;
  Requests requests;
  bool recovering;  // the host fails at first
};

void PrintTo(const Course& course, std::ostream* out) { *out << course.name; }

class OneClientAtFullSpeed : public testing::TestWithParam<Course> {};

// Guards against late or missing answers to other clients (incident c2eb73, picture b).
TEST_P(OneClientAtFullSpeed, LeavesOthersTheirAnswers) {
  std::atomic<int> calls = 0;
  Server host([&](const Request&) {
    std::this_thread::sleep_for(milliseconds(20));
    const bool fails = GetParam().recovering && ++calls <= 3;
    return answer(fails ? "500 Internal Server Error" : "200 OK");
  });
  ConfigParts parts;
  parts.max_open = 8000;
  parts.max_calls = 400;
  parts.known = {{"s-1", host.address(), 0, "ready", 20000}};
  Platform platform({{"s-1", host.address(), 0, "ready", 20000}});
  RelayProgram relay(platform.address(), parts);
  relay.start();
  const std::size_t before_mb = resident_mb(relay.pid());
  Load::Shape shape;
  shape.rate = 20;
  shape.connections = 1;
  shape.body = 200;
  Load other(Address{"127.0.0.1", relay.port()}, shape);
  std::size_t answered = 0;
  {
    FastClient fast(relay, GetParam().requests);
    std::this_thread::sleep_for(kSpan);
    answered = fast.answered_bytes();
  }
  other.stop();
  EXPECT_GT(answered, 0u);
  EXPECT_GE(other.answers().size(), 80u);
  for (const standin::Answered& each : other.answers()) {
    EXPECT_NE(each.status, 0u) << each.id << " has no answer";
    EXPECT_LE(each.ms - each.late_ms, kUsualAnswer) << each.id;
  }
  if (kMeasuresMemory) {
    EXPECT_LT(resident_mb(relay.pid()), before_mb + kMostClientsMb);
  }
}
INSTANTIATE_TEST_SUITE_P(Courses, OneClientAtFullSpeed,
                         testing::Values(Course{"SoundSmall", Requests::sound_small, false},
                                         Course{"SoundSmallAtARecoveringHost", Requests::sound_small, true},
                                         Course{"SoundLarge", Requests::sound_large, false},
                                         Course{"Unsound", Requests::unsound, false},
                                         Course{"EverNewNames", Requests::new_names, false},
                                         Course{"Up", Requests::up, false}));

}  // namespace
}  // namespace fennellane::test
