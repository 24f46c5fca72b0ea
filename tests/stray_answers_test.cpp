// Unsolicited bytes on a connection: duplicated, premature or forged answers. Each call must end by its own
// answer, or as one that may have run.
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>

#include "answer_pairing.hpp"
#include "http_client.hpp"
#include "relay_fixture.hpp"
#include "scripted_server.hpp"

namespace fennellane::test {
namespace {

using standin::ScriptedAnswer;
using standin::ScriptedServer;
using standin::StrayBytes;

const std::string kRefused = answer("503 Service Unavailable");
const std::string kDelivered = answer("200 OK");
constexpr milliseconds kStrayAt{10}, kAnswerAt{150};

// A relay and one host. Message `first` is answered at once; while the next call on the same connection is in
// flight, that answer arrives again.
class DuplicateAnswer {
 public:
  DuplicateAnswer(std::string first, std::string second)
      : host([this, first, second](const Request& r) { return script(r, first, second); }),
        platform({{"s-1", host.address()}}),
        relay(platform.address()) {
    relay.replace_settings("(record (kib 256))");
    relay.start();
  }
  // What the flight record says about a message.
  std::string explain(const std::string& id) const {
    const std::string command =
        std::string(FENNELLANE_PROGRAM) + " why --state " + relay.state_folder() + " " + id + " 2>&1";
    FILE* const pipe = ::popen(command.c_str(), "r");
    char text[4096] = {};
    const std::size_t size = std::fread(text, 1, sizeof text, pipe);
    ::pclose(pipe);
    return {text, size};
  }
  void submit_both() {
    // Shows the relay that the host honors `Connection: close`.
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
  RelayProgram relay;
};

TEST(StrayAnswer, DuplicateRefusalSendsNoMessageTwice) {
  DuplicateAnswer fixture(kRefused, kDelivered);
  fixture.submit_both();
  EXPECT_TRUE(happens([&] { return fixture.relay.counter("delivered") == 3; })) << fixture.relay.log();
  std::this_thread::sleep_for(milliseconds(800));  // a wrong retry would be sent in this time
  EXPECT_EQ(fixture.host.count("second"), 1u);
  EXPECT_FALSE(fixture.platform.noticed("second"));
  const std::string explanation = fixture.explain("second");
  EXPECT_NE(explanation.find("call 2 of connection"), std::string::npos) << explanation;
  EXPECT_NE(explanation.find("an answer 503 that belongs to no call, while the call was out"),
            std::string::npos)
      << explanation;
}

TEST(StrayAnswer, DuplicateDeliveryEndsNoOtherMessage) {
  DuplicateAnswer fixture(kDelivered, kRefused);
  fixture.submit_both();
  EXPECT_TRUE(happens([&] { return fixture.host.count("second") == 2 || fixture.platform.noticed("second"); },
                      seconds(10)))
      << fixture.relay.log();
}

// Two conflicting answers arrive in one piece: either may belong to the call.
TEST(StrayAnswer, ConflictingAnswerInTheSamePieceLeavesTheCallUncertain) {
  Server host([](const Request& r) {
    return r.id == "run" ? kRefused + kDelivered : r.id == "lost" ? kDelivered + kRefused : kDelivered;
  });
  Platform platform({{"s-1", host.address(), 7}, {"s-2", host.address(), 8}});
  RelayProgram relay(platform.address());
  relay.start();
  ASSERT_EQ(relay.ask(request_text("before", "x", "note")), 202u);
  ASSERT_TRUE(happens([&] { return relay.counter("delivered") == 1; }));
  ASSERT_EQ(relay.ask(request_text("lost", "x", "pay", 8)), 202u);
  ASSERT_EQ(relay.ask(request_text("run", "x", "pay")), 202u);
  for (const std::string id : {"run", "lost"}) {
    EXPECT_TRUE(happens([&] {
      return platform.noticed("{\"id\":\"" + id + "\",\"status\":\"undeliverable\"}");
    })) << id
        << relay.log();
    EXPECT_EQ(host.count(id), 1u);
  }
}

// An answer that arrives before the call is written cannot belong to the call. The preloaded library delays
// the relay's check of the connection, so that the answer is there when it runs.
TEST(StrayAnswer, AnswerBeforeItsCallIsIgnored) {
  std::atomic<int> connections_accepted = 0;
  ScriptedServer host(
      [](const Request&) {
        return ScriptedAnswer{kRefused, kAnswerAt, {}};
      },
      [&] { return ++connections_accepted == 1 ? kDelivered : std::string(); });
  Platform platform({{"s-1", host.address()}});
  RelayProgram relay(platform.address());
  relay.set_variable("LD_PRELOAD", FENNELLANE_FAULT_SHIM);
  relay.set_variable("ASAN_OPTIONS", "verify_asan_link_order=0");
  relay.set_variable("FENNELLANE_FAULTS", "call=peek errno=ENOMEM count=20");
  const std::string fault_switch = relay.folder() + "/faults";
  relay.set_variable("FENNELLANE_FAULT_SWITCH", fault_switch);
  relay.start();
  std::ofstream(fault_switch) << "on";
  ASSERT_EQ(relay.ask(request_text("m1", "x", "pay")), 202u);
  EXPECT_TRUE(happens([&] { return host.count("m1") >= 2 || platform.noticed("m1"); }, seconds(10)))
      << relay.log();
  EXPECT_EQ(relay.counter("delivered"), 0u);
}

// The platform accepts a batch of notices and sends its answer twice; the next batch fails at first.
TEST(StrayAnswer, DuplicatePlatformAnswerAcceptsNoOtherNotice) {
  ScriptedServer host([](const Request&) {
    return ScriptedAnswer{answer("500 Error"), milliseconds(0), {}};
  });
  const std::string list = list_json({{"s-1", host.address(), 7}, {"s-2", host.address(), 8}});
  const std::string accepted = answer("204 No Content"), failed = answer("500 Error");
  std::atomic<int> tries = 0;
  ScriptedServer platform([&](const Request& r) {
    if (r.target == "/discovery/hosts") return ScriptedAnswer{answer("200 OK", list), milliseconds(0), {}};
    if (r.target != "/v1/notices") return ScriptedAnswer{};
    if (r.body.find("second") == std::string::npos) {
      return ScriptedAnswer{accepted, milliseconds(0), {{milliseconds(0), accepted}}};
    }
    return ScriptedAnswer{tries++ == 0 ? failed : accepted, milliseconds(20), {}};
  });
  RelayProgram relay(platform.address());
  relay.start();
  ASSERT_EQ(relay.ask(request_text("first", "x", "pay")), 202u);
  ASSERT_TRUE(happens([&] { return relay.counter("notices_taken") == 1; })) << relay.log();
  ASSERT_EQ(relay.ask(request_text("second", "x", "pay", 8)), 202u);
  EXPECT_TRUE(happens([&] { return tries == 2; }, seconds(10))) << relay.log();
  EXPECT_TRUE(happens([&] { return relay.counter("notices_taken") == 2; })) << relay.log();
  EXPECT_EQ(relay.counter("strays.agents"), 1u);
  EXPECT_EQ(relay.logged("agent: " + platform.address() + ": unsolicited bytes"), 1u) << relay.log();
}

// The platform rejects a batch, and the network path forges an acceptance in front of it, in the same piece.
TEST(StrayAnswer, ConflictingAnswerInOnePieceWithThePlatformsAcceptsNoNotice) {
  ScriptedServer host([](const Request&) {
    return ScriptedAnswer{answer("500 Error"), milliseconds(0), {}};
  });
  const std::string list = list_json({{"s-1", host.address()}});
  const std::string accepted = answer("204 No Content"), failed = answer("500 Error");
  std::atomic<int> tries = 0;
  ScriptedServer platform([&](const Request& r) {
    if (r.target == "/discovery/hosts") return ScriptedAnswer{answer("200 OK", list), milliseconds(0), {}};
    if (r.target != "/v1/notices") return ScriptedAnswer{};
    return ScriptedAnswer{tries++ == 0 ? accepted + failed : accepted, milliseconds(0), {}};
  });
  RelayProgram relay(platform.address());
  relay.start();
  ASSERT_EQ(relay.ask(request_text("m1", "x", "pay")), 202u);
  EXPECT_TRUE(happens([&] { return tries == 2; }, seconds(10))) << relay.log();
  EXPECT_TRUE(happens([&] { return relay.counter("notices_taken") == 1; })) << relay.log();
}

// A repeated older line of the watch must not undo the draining of a host.
TEST(StrayAnswer, OlderWatchLineUndoesNoDrain) {
  Server draining([](const Request&) { return kDelivered; });
  Server other([](const Request&) { return kDelivered; });
  const HostLine ready{"s-1", draining.address()}, drains{"s-1", draining.address(), 7, "draining"};
  Platform platform({ready, {"s-2", other.address()}});
  const std::string newer = list_json({drains}, 3, false) + "\n";
  platform.set_watch(list_json({ready}, 2, false) + "\n" + newer + list_json({ready}, 2, false) + "\n");
  RelayProgram relay(platform.address());
  relay.start();
  ASSERT_TRUE(happens([&] { return platform.watches() >= 1; }));
  // The reopened watch reports the changes since, of which there are none.
  platform.set_watch("\n");
  ASSERT_TRUE(happens([&] { return relay.counter("lists") >= 3; }));
  std::this_thread::sleep_for(milliseconds(200));
  for (int i = 0; i < 6; ++i) ASSERT_EQ(relay.ask(request_text("m" + std::to_string(i))), 202u);
  EXPECT_TRUE(happens([&] { return relay.counter("delivered") == 6; })) << relay.log();
  EXPECT_EQ(draining.requests().size(), 0u);
}

// Tests the HTTP client that is used for all calls to Consul's agent and to the platform.
TEST(StrayAnswer, DuplicateAgentAnswerIsNotTakenForTheNextCalls) {
  ScriptedServer agent([](const Request& r) {
    const std::string text = answer("200 OK", r.target == "/first" ? "true" : "false");
    if (r.target == "/first") return ScriptedAnswer{text, milliseconds(0), {{milliseconds(0), text}}};
    return ScriptedAnswer{text, kAnswerAt, {}};
  });
  asio::io_context io;
  const Limits limits = make_limits({}, 4, 10, milliseconds(500), seconds(1));
  const Address address = parse_address(agent.address());
  fennellane::HttpClient client(io, address, limits, limits.max_body_size);
  std::vector<std::string> answers;
  const auto call_both = [&]() -> asio::awaitable<void> {
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
  asio::co_spawn(io, call_both, rethrow);
  io.run();
  EXPECT_EQ(answers, (std::vector<std::string>{"true", "false"}));
}

// --- The state machine alone
// Explores all sequences of a number of steps on a connection, each step a call, its answer, or a copy of an
// earlier answer. Only a call's own answer may end it.
template <class Pairing>
struct PairingState {
  Pairing pairing;
  std::vector<bool> close_requested;  // for each call written, by number
  std::size_t answered = 0;           // number of calls answered by the server
  bool call_in_flight = false;
};

template <class Pairing>
void explore(const PairingState<Pairing>& state, int steps, std::size_t& ended, std::size_t& wrong) {
  if (steps == 0) return;
  const auto deliver_answer = [&](std::size_t call) {
    PairingState<Pairing> next = state;
    next.answered = std::max(next.answered, call + 1);
    if (!next.call_in_flight) {
      next.pairing.mark_unusable();
    } else if (next.pairing.match_answer(next.close_requested[call])) {
      next.call_in_flight = false;
      ++ended;
      wrong += call + 1 == next.close_requested.size() ? 0 : 1;
    }
    explore(next, steps - 1, ended, wrong);
  };
  if (!state.call_in_flight && state.pairing.can_start_call()) {
    for (const bool requests_close : {false, true}) {
      if (!requests_close && state.pairing.must_request_close()) continue;
      PairingState<Pairing> next = state;
      next.pairing.begin_call(requests_close);
      next.close_requested.push_back(requests_close);
      next.call_in_flight = true;
      explore(next, steps - 1, ended, wrong);
    }
  }
  // The server answers in order; an answer may be repeated.
  for (std::size_t call = 0; call < std::min(state.answered + 1, state.close_requested.size()); ++call)
    deliver_answer(call);
}

// Accepts every answer, as the relay once did; shows that the search finds the fault.
struct AcceptsAnyAnswer {
  bool can_start_call() const { return !busy_; }
  bool must_request_close() const { return false; }
  void begin_call(bool) { busy_ = true; }
  bool match_answer(bool) { return std::exchange(busy_, false); }
  void mark_unusable() { busy_ = true; }

 private:
  bool busy_ = false;
};

TEST(AnswerPairing, EndsNoCallByAnotherCallsAnswerWhateverIsRepeated) {
  constexpr int kSteps = 12;
  std::size_t ended = 0, wrong = 0;
  explore(PairingState<AnswerPairing>{}, kSteps, ended, wrong);
  EXPECT_GT(ended, 0u);
  EXPECT_EQ(wrong, 0u);
  explore(PairingState<AcceptsAnyAnswer>{}, kSteps, ended, wrong);
  EXPECT_GT(wrong, 0u) << "the check finds no fault";
}

TEST(AnswerPairing, AllowsTwoCallsAtMostAndTheSecondOnlyWithAClose) {
  AnswerPairing pairing;
  EXPECT_FALSE(pairing.must_request_close());
  pairing.begin_call(false);
  EXPECT_FALSE(pairing.can_start_call());
  EXPECT_TRUE(pairing.match_answer(false));
  ASSERT_TRUE(pairing.can_start_call() && pairing.must_request_close());
  EXPECT_THROW(AnswerPairing(pairing).begin_call(false), std::logic_error);
  pairing.begin_call(true);
  EXPECT_FALSE(pairing.next_answer_matches());
  EXPECT_FALSE(pairing.match_answer(false));
  EXPECT_TRUE(pairing.match_answer(true));
  EXPECT_FALSE(pairing.can_start_call());
}

TEST(AnswerHead, MergedFromTwoAnswersIsRejected) {
  const std::string whole =
      "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
  for (const char* half : {"HTTP/1.1 200 O", "HTTP/1.1 200 OK\r\nX-Load-Report: x0=0.", "HTTP/1.1 200 "}) {
    HttpReader reader(HttpReader::Kind::response, 65536, 65536);
    reader.feed(half + whole);
    EXPECT_TRUE(reader.failed()) << half;
    EXPECT_FALSE(reader.has_connection_close()) << half;
  }
  HttpReader reader(HttpReader::Kind::response, 65536, 65536);
  reader.feed("HTTP/1.1 200 OK\r\nVia: HTTP/1.1 proxy\r\nContent-Length: 0\r\n\r\n");
  EXPECT_TRUE(reader.done());
}

}  // namespace
}  // namespace fennellane::test
