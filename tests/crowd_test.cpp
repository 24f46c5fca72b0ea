// Hundreds of clients at once that leave their requests unfinished: the relay stays within its memory and
// goes on answering others.
#include <gtest/gtest.h>

#include <thread>
#include <vector>

#include "process_memory.hpp"
#include "relay_fixture.hpp"

namespace fennellane::test {
namespace {

constexpr std::size_t kClients = 850;
constexpr std::size_t kHeadBytes = 13500;  // of short fields; just accepted
enum class Unfinished : std::uint8_t { head_of_short_fields, body, body_behind_short_fields, slow };

std::string short_fields() {
  std::string text;
  while (text.size() + 6 < kHeadBytes) text += "a:bc\r\n";
  return text;
}

std::string unfinished_request(Unfinished kind) {
  const std::string whole = request_text("crowd", std::string(65536, 'x'));
  const std::size_t head = whole.find("\r\n\r\n") + 2;
  switch (kind) {
    case Unfinished::head_of_short_fields:
      return whole.substr(0, head) + short_fields();
    case Unfinished::body:
      return whole.substr(0, whole.size() - 600);
    case Unfinished::body_behind_short_fields:
      return whole.substr(0, head) + short_fields() + whole.substr(head, whole.size() - head - 600);
    case Unfinished::slow:
      return whole.substr(0, head / 2);
  }
  return whole;
}

class CrowdOfUnfinishedRequests : public testing::TestWithParam<Unfinished> {};

// Guards against a relay that is killed over its memory limit (incident c2eb73, picture a).
TEST_P(CrowdOfUnfinishedRequests, StaysWithinTheMemoryLimit) {
  Server host([](const Request&) { return answer("200 OK"); });
  Platform platform({{"s-1", host.address()}});
  RelayProgram relay(platform.address());
  relay.start();
  ASSERT_EQ(relay.ask(request_text("before")), 202u);
  const std::size_t before = peak_mb(relay.pid());
  const std::string text = unfinished_request(GetParam());
  asio::io_context io;
  std::vector<tcp::socket> clients;
  for (std::size_t i = 0; i < kClients; ++i) {
    clients.push_back(relay.connected(io));
    asio::error_code ignored;
    clients.back().non_blocking(true, ignored);
  }
  // Each in turn as far as its socket takes it, so that all are unfinished at once.
  std::vector<std::size_t> sent(kClients, 0);
  const auto end = std::chrono::steady_clock::now() + milliseconds(2300);
  while (std::chrono::steady_clock::now() < end) {
    for (std::size_t i = 0; i < kClients; ++i) {
      asio::error_code error;
      const std::size_t piece = GetParam() == Unfinished::slow ? 1 : 16384;
      const std::string_view rest = std::string_view(text).substr(sent[i], piece);
      if (!rest.empty()) sent[i] += clients[i].write_some(asio::buffer(rest.data(), rest.size()), error);
    }
    std::this_thread::sleep_for(milliseconds(5));
  }
  EXPECT_EQ(relay.ask(request_text("during")), 202u);
  if (kMeasuresMemory) {
    EXPECT_LE(peak_mb(relay.pid()), before + kMostClientsMb);
  }
  EXPECT_TRUE(happens([&] { return host.count("during") == 1; })) << relay.log();
  EXPECT_TRUE(relay.runs());
}
std::string kind_name(const testing::TestParamInfo<Unfinished>& info) {
  switch (info.param) {
    case Unfinished::head_of_short_fields:
      return "HeadOfShortFields";
    case Unfinished::body:
      return "Body";
    case Unfinished::body_behind_short_fields:
      return "BodyBehindShortFields";
    case Unfinished::slow:
      return "Slow";
  }
  return "";
}
INSTANTIATE_TEST_SUITE_P(Kinds, CrowdOfUnfinishedRequests,
                         testing::Values(Unfinished::head_of_short_fields, Unfinished::body,
                                         Unfinished::body_behind_short_fields, Unfinished::slow),
                         kind_name);

}  // namespace
}  // namespace fennellane::test
