// Requests that a client leaves behind unread: it hands their messages in elsewhere, so none of them is
// accepted.
#include <gtest/gtest.h>

#include <thread>

#include "relay_fixture.hpp"

namespace fennellane::test {
namespace {

constexpr int kRequests = 60;

std::string id_of(int i) { return "left" + std::to_string(i); }

enum class Departure : std::uint8_t { closes, resets };

class DepartedClient : public testing::TestWithParam<Departure> {};

// Guards against messages that were sent on although their client had left, and may have run twice (incident
// c2eb73, picture c).
TEST_P(DepartedClient, LeavesNoMessageThatIsSentOn) {
  Server host([](const Request&) { return answer("200 OK"); });
  ConfigParts parts;
  parts.max_open = 200;
  parts.max_calls = 100;
  const std::vector<HostLine> hosts{{"s-1", host.address(), 7, "ready", 1000}};
  parts.known = hosts;
  Platform platform(hosts);
  RelayProgram relay(platform.address(), parts);
  relay.start();
  asio::io_context io;
  // Held up, so that all of it has come by the time the relay reads.
  relay.signal(SIGSTOP);
  {
    tcp::socket client = relay.connected(io);
    std::string text;
    for (int i = 0; i < kRequests; ++i) text += request_text(id_of(i), std::string(400, 'x'), "pay");
    asio::write(client, asio::buffer(text));
    std::this_thread::sleep_for(milliseconds(50));
    if (GetParam() == Departure::resets) client.set_option(asio::socket_base::linger(true, 0));
  }
  tcp::socket again = relay.connected(io);
  asio::write(again, asio::buffer(request_text(id_of(kRequests - 1), std::string(400, 'x'), "pay")));
  std::this_thread::sleep_for(milliseconds(50));
  relay.signal(SIGCONT);
  char piece[512];
  const std::size_t n = again.read_some(asio::buffer(piece));
  EXPECT_TRUE(std::string_view(piece, n).starts_with("HTTP/1.1 202")) << std::string_view(piece, n);
  EXPECT_TRUE(happens([&] { return host.count(id_of(kRequests - 1)) == 1; })) << relay.log();
  std::this_thread::sleep_for(milliseconds(500));
  EXPECT_EQ(host.requests().size(), 1u) << "only the message that came again";
  EXPECT_EQ(relay.counter("taken"), 1u);
}
INSTANTIATE_TEST_SUITE_P(Departures, DepartedClient, testing::Values(Departure::closes, Departure::resets),
                         [](const auto& info) {
                           return std::string(info.param == Departure::closes ? "Closes" : "Resets");
                         });

}  // namespace
}  // namespace fennellane::test
