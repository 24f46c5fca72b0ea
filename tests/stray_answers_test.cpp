// Bytes on a connection that answer no call: second copies of answers, early ones, made-up ones. Each call
// must end by its own answer, or as one that may have run.
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>

#include "client.hpp"
#include "relay_fixture.hpp"
#include "scripted_server.hpp"

namespace fennellane::test {
namespace {

using standin::ScriptedAnswer;
using standin::ScriptedServer;
using standin::StrayBytes;

const std::string kTurnedAway = answer("503 Service Unavailable");
const std::string kDelivered = answer("200 OK");
constexpr milliseconds kStrayAt{10}, kAnswerAt{150};

// A relay and one host, on which message `first` is answered at once, and while the call behind it on the
// same connection is out, that answer comes once more.
class CopiedAnswer {
 public:
  CopiedAnswer(std::string first, std::string second)
      : host([this, first, second](const Request& r) { return script(r, first, second); }),
        platform({{"s-1", host.address()}}),
        relay(platform.address()) {
    relay.start();
  }
  void hand_in_both() {
    ASSERT_EQ(relay.ask(request_text("before", "x", "note")), 202u);
    ASSERT_TRUE(happens([this] { return relay.counter("delivered") == 1; }));
    ASSERT_EQ(relay.ask(request_text("first", "x", "note")), 202u);
    ASSERT_TRUE(happens([this] { return relay.counter("answer.full") + relay.counter("delivered") == 2; }));
    ASSERT_EQ(relay.ask(request_text("second", "x", "pay")), 202u);
    ASSERT_TRUE(happens([this] { return host.count("second") > 0; }));
  }

 private:
  ScriptedAnswer script(const Request& r, const std::string& first, const std::string& second) const {
    if (r.id == "before") return {kDelivered, milliseconds(0), {}};
    if (r.id == "first") return {host.count("first") == 1 ? first : kDelivered, milliseconds(0), {}};
    if (host.count("second") > 1) return {kDelivered, milliseconds(0), {}};
    return {second, kAnswerAt,
            r.nth > 1 ? std::vector<StrayBytes>{{kStrayAt, first}} : std::vector<StrayBytes>{}};
  }

 public:
  ScriptedServer host;
  Platform platform;
  Program relay;
};

TEST(StrayAnswer, ACopyOfARefusalSendsNoMessageTwice) {
  CopiedAnswer scene(kTurnedAway, kDelivered);
  scene.hand_in_both();
  EXPECT_TRUE(happens([&] { return scene.relay.counter("delivered") == 3; })) << scene.relay.log();
  std::this_thread::sleep_for(milliseconds(800));  // in which a wrong retry would go out
  EXPECT_EQ(scene.host.count("second"), 1u);
  EXPECT_FALSE(scene.platform.noticed("second"));
}

TEST(StrayAnswer, ACopyOfADeliveryEndsNoOtherMessage) {
  CopiedAnswer scene(kDelivered, kTurnedAway);
  scene.hand_in_both();
  EXPECT_TRUE(happens([&] { return scene.host.count("second") == 2 || scene.platform.noticed("second"); },
                      seconds(10)))
      << scene.relay.log();
}

// The platform takes a batch of notices and says so twice; the next batch fails at first.
TEST(StrayAnswer, ACopyOfThePlatformsAnswerTakesNoOtherNotice) {
  ScriptedServer host([](const Request&) {
    return ScriptedAnswer{answer("500 Error"), milliseconds(0), {}};
  });
  const std::string list = list_json({{"s-1", host.address(), 7}, {"s-2", host.address(), 8}});
  const std::string good = answer("204 No Content"), bad = answer("500 Error");
  std::atomic<int> tries = 0;
  ScriptedServer platform([&](const Request& r) {
    if (r.target == "/discovery/hosts") return ScriptedAnswer{answer("200 OK", list), milliseconds(0), {}};
    if (r.target != "/v1/notices") return ScriptedAnswer{};
    if (r.body.find("second") == std::string::npos) {
      return ScriptedAnswer{good, milliseconds(0), {{milliseconds(0), good}}};
    }
    return ScriptedAnswer{tries++ == 0 ? bad : good, milliseconds(20), {}};
  });
  Program relay(platform.address());
  relay.start();
  ASSERT_EQ(relay.ask(request_text("first", "x", "pay")), 202u);
  ASSERT_TRUE(happens([&] { return relay.counter("notices_taken") == 1; })) << relay.log();
  ASSERT_EQ(relay.ask(request_text("second", "x", "pay", 8)), 202u);
  EXPECT_TRUE(happens([&] { return tries == 2; }, seconds(10))) << relay.log();
  EXPECT_TRUE(happens([&] { return relay.counter("notices_taken") == 2; })) << relay.log();
}

// A line of the watch that comes once more must not bring back a host that drains.
TEST(StrayAnswer, AnOlderLineOfTheWatchUndoesNoDrain) {
  Server draining([](const Request&) { return kDelivered; });
  Server other([](const Request&) { return kDelivered; });
  const HostLine ready{"s-1", draining.address()}, drains{"s-1", draining.address(), 7, "draining"};
  Platform platform({ready, {"s-2", other.address()}});
  const std::string newer = list_json({drains}, 3, false) + "\n";
  platform.set_watch(list_json({ready}, 2, false) + "\n" + newer + list_json({ready}, 2, false) + "\n");
  Program relay(platform.address());
  relay.start();
  ASSERT_TRUE(happens([&] { return platform.watches() >= 1; }));
  // The watch that is opened anew brings what has changed since, which is nothing.
  platform.set_watch("\n");
  ASSERT_TRUE(happens([&] { return relay.counter("lists") >= 3; }));
  std::this_thread::sleep_for(milliseconds(200));
  for (int i = 0; i < 6; ++i) ASSERT_EQ(relay.ask(request_text("m" + std::to_string(i))), 202u);
  EXPECT_TRUE(happens([&] { return relay.counter("delivered") == 6; })) << relay.log();
  EXPECT_EQ(draining.requests().size(), 0u);
}

// What all calls to Consul's agent and to the platform go through.
TEST(StrayAnswer, ACopyOfAnAgentsAnswerIsNotTheNextCalls) {
  ScriptedServer agent([](const Request& r) {
    const std::string text = answer("200 OK", r.target == "/first" ? "true" : "false");
    if (r.target == "/first") return ScriptedAnswer{text, milliseconds(0), {{milliseconds(0), text}}};
    return ScriptedAnswer{text, kAnswerAt, {}};
  });
  asio::io_context io;
  const Limits limits = make_limits({}, 4, 10, milliseconds(500), seconds(1));
  const Address address = parse_address(agent.address());
  fennellane::Client client(io, address, limits, limits.body);
  std::vector<std::string> answers;
  const auto ask_both = [&]() -> asio::awaitable<void> {
    for (const char* target : {"/first", "/second"}) {
      if (!client.open()) co_await client.connect(seconds(5));
      const std::string text = std::string("GET ") + target + " HTTP/1.1\r\n\r\n";
      const bool sent = co_await client.send(text, seconds(5));
      bool answered = false;
      if (sent) answered = co_await client.read_answer(seconds(5));
      answers.push_back(answered ? client.answer().take_body() : "");
    }
    client.close();
  };
  asio::co_spawn(io, ask_both, rethrow);
  io.run();
  EXPECT_EQ(answers, (std::vector<std::string>{"true", "false"}));
}

}  // namespace
}  // namespace fennellane::test
