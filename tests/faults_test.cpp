// The program while system calls fail transiently, by a fault-injection library that is preloaded into it.
#include <fcntl.h>
#include <signal.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <thread>

#include "relay_fixture.hpp"

namespace fennellane::test {
namespace {

// A relay with the fault-injection library. With `switched` its rules apply only while they are switched on.
class FaultyRelay {
 public:
  FaultyRelay(const std::string& discovery, const std::string& rules, bool switched = false,
              ConfigParts parts = {})
      : program(discovery, std::move(parts)), switch_(program.folder() + "/faults") {
    program.set_variable("LD_PRELOAD", FENNELLANE_FAULT_SHIM);
    // The library is loaded before the sanitizers' runtime.
    program.set_variable("ASAN_OPTIONS", "verify_asan_link_order=0");
    program.set_variable("FENNELLANE_FAULTS", rules);
    if (switched) program.set_variable("FENNELLANE_FAULT_SWITCH", switch_);
  }
  void switch_on() const { std::ofstream(switch_) << "on"; }
  void switch_off() const { fs::remove(switch_); }

  RelayProgram program;

 private:
  const std::string switch_;
};

std::string up_request() { return "GET /up HTTP/1.1\r\n\r\n"; }

// A connection that a client keeps open while the relay's system calls fail.
class TestClient {
 public:
  explicit TestClient(const RelayProgram& relay) : socket_(relay.connected(io_)) {}
  // The status of the answer; 0 if none arrives within the limit.
  unsigned ask(const std::string& text, milliseconds limit = seconds(10)) {
    asio::error_code error;
    asio::write(socket_, asio::buffer(text), error);
    HttpReader reader(HttpReader::Kind::response, 65536, 65536);
    char piece[4096];
    std::size_t n = 0;
    while (!error && !reader.done() && !reader.failed()) {
      socket_.async_read_some(asio::buffer(piece), [&](asio::error_code e, std::size_t size) {
        error = e;
        n = size;
      });
      io_.restart();
      if (io_.run_for(limit) == 0) {
        socket_.close(error);
        io_.run();
        return 0;
      }
      if (!error) reader.feed({piece, n});
    }
    return reader.done() ? reader.status() : 0;
  }

 private:
  asio::io_context io_;
  tcp::socket socket_;
};

struct Fixture {
  explicit Fixture(const std::string& rules, bool switched = false, ConfigParts parts = {})
      : host([](const Request&) { return answer("200 OK"); }),
        platform({{"h0", host.address()}}),
        relay(platform.address(), rules, switched, std::move(parts)) {}
  Server host;
  Platform platform;
  FaultyRelay relay;
  RelayProgram& program = relay.program;
};

// The rules as a test name.
std::string rules_name(const testing::TestParamInfo<const char*>& info) {
  std::string name = info.param;
  for (char& c : name) {
    if (std::isalnum(static_cast<unsigned char>(c)) == 0) c = '_';
  }
  return name;
}

// --- A start
class StartFaults : public testing::TestWithParam<const char*> {};

TEST_P(StartFaults, AreSurvivedIfTransient) {
  Fixture fixture(GetParam());
  fixture.program.start();
  EXPECT_EQ(fixture.program.ask(request_text()), 202u);
  EXPECT_TRUE(happens([&] { return fixture.host.count("a1") == 1; }));
  EXPECT_EQ(fixture.program.end(SIGTERM), 0) << fixture.program.log();
}
INSTANTIATE_TEST_SUITE_P(OfTheStateFolder, StartFaults,
                         testing::Values("call=open errno=EIO path=/state to_ms=700",
                                         "call=open errno=ENOENT path=/state to_ms=700",
                                         "call=open errno=EACCES path=/state to_ms=700",
                                         "call=flock errno=EIO path=/state to_ms=700",
                                         "call=read errno=EIO path=/state to_ms=700",
                                         "call=write errno=ENOSPC path=/state to_ms=700",
                                         "call=write errno=EIO short=5 path=/state to_ms=700",
                                         "call=ftruncate errno=EIO path=/state to_ms=700"),
                         rules_name);
INSTANTIATE_TEST_SUITE_P(OfTheListener, StartFaults,
                         testing::Values("call=socket errno=ENOBUFS to_ms=700",
                                         "call=bind errno=EADDRINUSE to_ms=700",
                                         "call=listen errno=EADDRINUSE to_ms=700"),
                         rules_name);
INSTANTIATE_TEST_SUITE_P(
    OfTheEventLoop, StartFaults,
    testing::Values("call=epoll_create1 errno=EMFILE to_ms=700", "call=timerfd_create errno=EMFILE count=1",
                    "call=eventfd errno=ENFILE count=1", "call=signalfd errno=ENOMEM count=1",
                    "call=epoll_ctl errno=ENOMEM to_ms=700", "call=epoll_wait errno=EINTR every=2"),
    rules_name);

// --- The disk while the relay serves
class DiskFaults : public testing::TestWithParam<const char*> {};

TEST_P(DiskFaults, TerminateNoProcessAndLoseNoMessage) {
  Fixture fixture(GetParam(), true);
  fixture.program.start();
  ASSERT_EQ(fixture.program.ask(request_text("before")), 202u);
  ASSERT_TRUE(happens([&] { return fixture.program.counter("delivered") == 1; }));
  fixture.relay.switch_on();
  std::size_t refused = 0, accepted = 0;
  for (int i = 0; i < 40; ++i) {
    const unsigned status = fixture.program.ask(request_text("on" + std::to_string(i), "hello", "pay"));
    ASSERT_TRUE(status == 503 || status == 202) << status << "\n" << fixture.program.log();
    ++(status == 503 ? refused : accepted);
  }
  EXPECT_GT(refused, 0u);
  fixture.relay.switch_off();
  EXPECT_TRUE(happens([&] { return fixture.program.ask(request_text("after", "hello", "pay")) == 202; }));
  EXPECT_TRUE(happens([&] { return fixture.program.counter("delivered") >= accepted + 2; }))
      << fixture.program.log();
  for (const Request& r : fixture.host.requests()) EXPECT_EQ(fixture.host.count(r.id), 1u) << r.id;
  EXPECT_EQ(fixture.program.logged("storage: fails"), fixture.program.logged("storage: writes again"));
  EXPECT_EQ(fixture.program.end(SIGTERM), 0) << fixture.program.log();
}
INSTANTIATE_TEST_SUITE_P(Journal, DiskFaults,
                         testing::Values("call=write errno=ENOSPC path=/state",
                                         "call=write errno=EIO path=/state every=3",
                                         "call=write errno=EIO short=9 path=/state",
                                         "call=write errno=EIO short=9 path=/state;"
                                         "call=ftruncate errno=EIO path=/state"),
                         rules_name);

// The end of a message is reported even if recording it fails, and a restart does not restore the message.
TEST(DiskFault, EndWhoseRecordFailsIsReportedAndRecordedLater) {
  std::atomic<bool> answers = false;
  Server host([&](const Request&) {
    while (!answers) std::this_thread::sleep_for(milliseconds(5));
    return answer("200 OK");
  });
  Platform platform({{"h0", host.address()}});
  FaultyRelay relay(platform.address(), "call=write errno=EIO path=/state", true);
  relay.program.start();
  ASSERT_EQ(relay.program.ask(request_text("m1", "hello", "pay")), 202u);
  ASSERT_TRUE(happens([&] { return host.count("m1") == 1; }));
  relay.switch_on();
  answers = true;
  EXPECT_TRUE(happens([&] { return relay.program.counter("delivered") == 1; })) << relay.program.log();
  relay.switch_off();
  EXPECT_TRUE(happens([&] { return relay.program.logged("storage: writes again") == 1; }));
  relay.program.end(SIGKILL);
  relay.program.start();
  EXPECT_EQ(relay.program.counter("restored"), 0u);
  EXPECT_EQ(host.count("m1"), 1u);
}

// --- The wall clock
class ClockSteps : public testing::TestWithParam<const char*> {};

TEST_P(ClockSteps, BetweenTwoProcessesEndNoMessageEarlyOrLate) {
  std::atomic<bool> answers = false;
  // The requested wait keeps a second attempt from being in flight at the kill; it is not kept across the
  // restart.
  Server host([&](const Request&) {
    return answers ? answer("200 OK") : answer("429 Wait", "", "X-Come-Back-Ms: 12000\r\n");
  });
  Platform platform({{"h0", host.address()}});
  FaultyRelay relay(platform.address(), "");
  relay.program.start();
  ASSERT_EQ(relay.program.ask(request_text("m1", "hello", "pay")), 202u);
  // Waits until the refusal is recorded, not only until the host has received the call: before that m1 may
  // have run.
  ASSERT_TRUE(happens([&] { return relay.program.counter("answer.full") == 1; }));
  relay.program.end(SIGKILL);
  relay.program.set_variable("FENNELLANE_FAULT_CLOCK_S", GetParam());
  answers = true;
  relay.program.start();
  EXPECT_EQ(relay.program.counter("restored"), 1u);
  EXPECT_TRUE(happens([&] { return relay.program.counter("delivered") == 1; })) << relay.program.log();
  EXPECT_FALSE(platform.noticed("m1"));
}
INSTANTIATE_TEST_SUITE_P(ByAnHour, ClockSteps, testing::Values("3600", "-3600"), rules_name);

// --- Sockets
// A client that disconnects before it is accepted must not block the loop until the next one connects.
TEST(SocketFault, AbortedConnectionDoesNotBlockTheLoop) {
  Fixture fixture("call=accept errno=ECONNABORTED count=1", true);
  fixture.program.start();
  TestClient client(fixture.program);
  ASSERT_EQ(client.ask(up_request()), 200u);
  fixture.relay.switch_on();
  asio::io_context io;
  tcp::socket aborted = fixture.program.connected(io);
  std::this_thread::sleep_for(milliseconds(200));
  EXPECT_EQ(client.ask(up_request(), seconds(5)), 200u);
}

class CallFaults : public testing::TestWithParam<const char*> {};

// A local failure is not the host's fault and costs the message no attempt.
TEST_P(CallFaults, AreNotCountedAsHostFailures) {
  Fixture fixture(GetParam(), true);
  fixture.program.start();
  ASSERT_EQ(fixture.program.ask(request_text("m0")), 202u);
  ASSERT_TRUE(happens([&] { return fixture.program.counter("delivered") == 1; }));
  TestClient client(fixture.program);
  ASSERT_EQ(client.ask(up_request()), 200u);
  fixture.relay.switch_on();
  EXPECT_EQ(client.ask(request_text("m1", "hello", "pay")), 202u);
  std::this_thread::sleep_for(milliseconds(100));
  fixture.relay.switch_off();
  EXPECT_TRUE(happens([&] { return fixture.program.counter("delivered") == 2; })) << fixture.program.log();
  EXPECT_EQ(fixture.host.count("m1"), 1u);
  EXPECT_EQ(fixture.program.counter("sent"), 2u);
  EXPECT_EQ(fixture.program.counter("answer.connect_failed"), 0u);
  EXPECT_EQ(fixture.program.counter("answer.reset"), 0u);
}
INSTANTIATE_TEST_SUITE_P(OfTheSystem, CallFaults,
                         testing::Values("call=send errno=EINTR count=1", "call=send errno=ENOBUFS count=2",
                                         "call=send short=7 errno=ENOBUFS count=8",
                                         "call=recv errno=EINTR count=2", "call=recv errno=ENOMEM count=2"),
                         rules_name);

class ConnectFaults : public testing::TestWithParam<const char*> {};

TEST_P(ConnectFaults, AreNotCountedAsHostFailures) {
  Fixture fixture(GetParam(), true);
  fixture.program.start();
  TestClient client(fixture.program);
  ASSERT_EQ(client.ask(up_request()), 200u);
  fixture.relay.switch_on();
  EXPECT_EQ(client.ask(request_text("m1", "hello", "pay")), 202u);
  std::this_thread::sleep_for(milliseconds(100));
  fixture.relay.switch_off();
  EXPECT_TRUE(happens([&] { return fixture.program.counter("delivered") == 1; })) << fixture.program.log();
  EXPECT_EQ(fixture.program.counter("sent"), 1u);
  EXPECT_EQ(fixture.program.counter("answer.connect_failed"), 0u);
}
INSTANTIATE_TEST_SUITE_P(OfTheSystem, ConnectFaults,
                         testing::Values("call=connect errno=EADDRNOTAVAIL", "call=connect errno=ENETUNREACH",
                                         "call=connect errno=ENOBUFS", "call=connect errno=EAGAIN",
                                         "call=socket errno=EMFILE", "call=socket errno=ENOBUFS",
                                         "call=epoll_ctl errno=ENOMEM count=1",
                                         "call=getsockopt errno=ENOBUFS count=1"),
                         rules_name);

}  // namespace
}  // namespace fennellane::test
