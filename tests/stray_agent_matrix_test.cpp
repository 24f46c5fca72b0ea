// All kinds of unsolicited bytes around all answers of the platform or of Consul's agent: the client reads
// the call's own answer or none, and no notice that the platform rejected counts as accepted.
#include <algorithm>
#include <array>
#include <asio/co_spawn.hpp>
#include <map>
#include <optional>
#include <ostream>

#include "http_client.hpp"
#include "relay_fixture.hpp"
#include "scripted_server.hpp"

namespace fennellane::test {
namespace {

using standin::ScriptedAnswer;
using standin::ScriptedServer;

struct NamedText {
  std::string name;
  std::string text;
};

const std::string kTrue = answer("200 OK", "true", "X-Consul-Index: 7\r\n");
const std::string kFalse = answer("200 OK", "false", "X-Consul-Index: 7\r\n");

const std::vector<NamedText> kAnswers = {{"true", kTrue},
                                         {"false", kFalse},
                                         {"204", answer("204 No Content")},
                                         {"400", answer("400 Bad Request")},
                                         {"403", answer("403 Forbidden")},
                                         {"429", answer("429 Too Many Requests")},
                                         {"500", answer("500 Internal Server Error")},
                                         {"503", answer("503 Service Unavailable")}};

const std::vector<NamedText> kStrays = {
    {"true", kTrue},
    {"false", kFalse},
    {"an older true", answer("200 OK", "true", "X-Consul-Index: 6\r\n")},
    {"204", answer("204 No Content")},
    {"500", answer("500 Internal Server Error")},
    {"an interim answer", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"half a true", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntr"},
    {"half a head", "HTTP/1.1 204 No Con"},
    {"an answer whose body absorbs what follows", "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n"},
    {"a truncated answer", "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\ntrue"},
    {"garbage", "\x01\x02 no answer\r\n\r\n"},
    {"an empty line", "\r\n"}};

enum class Place { before_answer, after_answer };

struct StrayCase {
  std::size_t stray = 0, answer = 0;
  Place place = Place::after_answer;

  const std::string& own() const { return kAnswers[answer].text; }
  std::string text() const {
    const std::string& stray_text = kStrays[stray].text;
    return place == Place::before_answer ? stray_text + own() : own() + stray_text;
  }
  std::string name() const {
    return kAnswers[answer].name + (place == Place::before_answer ? ", before it " : ", after it ") +
           kStrays[stray].name;
  }
  // Whether the bytes do not conflict with the call's own answer.
  bool is_unambiguous() const {
    const std::string& stray_text = kStrays[stray].text;
    return stray_text == own() || stray_text == "\r\n" ||
           (place == Place::before_answer ? stray_text.starts_with("HTTP/1.1 100 ")
                                          : stray_text.front() == '\x01');
  }
};

std::vector<StrayCase> all_cases() {
  std::vector<StrayCase> cases;
  for (std::size_t stray = 0; stray < kStrays.size(); ++stray) {
    for (std::size_t answer = 0; answer < kAnswers.size(); ++answer) {
      for (const Place place : {Place::before_answer, Place::after_answer})
        cases.push_back({stray, answer, place});
    }
  }
  return cases;
}

struct AnswerRead {
  unsigned status = 0;
  std::string index, body;
  bool operator==(const AnswerRead&) const = default;
};

std::ostream& operator<<(std::ostream& out, const AnswerRead& read) {
  return out << read.status << ", index '" << read.index << "', body '" << read.body << "'";
}

AnswerRead read_answer_of(HttpReader& reader) {
  return {reader.status(), std::string(reader.header("x-consul-index").value_or("")), reader.take_body()};
}

AnswerRead own_answer(const StrayCase& c) {
  HttpReader reader(HttpReader::Kind::response, 65536, 65536);
  reader.feed(c.own());
  return read_answer_of(reader);
}

// What a client reads for each of these answers, one connection each; empty if the call failed.
std::vector<std::optional<AnswerRead>> call_all(const std::vector<std::string>& texts) {
  ScriptedServer agent([&](const Request& r) {
    return ScriptedAnswer{texts.at(std::stoul(r.target.substr(1))), milliseconds(0), {}};
  });
  const Address address = parse_address(agent.address());
  asio::io_context io;
  const Limits limits = make_limits({}, 4, 10, milliseconds(500), seconds(1));
  HttpClient client(io, address, limits, limits.max_body_size);
  std::vector<std::optional<AnswerRead>> read;
  const auto ask = [&]() -> asio::awaitable<void> {
    for (std::size_t i = 0; i < texts.size(); ++i) {
      co_await client.connect(seconds(20));
      const std::string text = "GET /" + std::to_string(i) + " HTTP/1.1\r\n\r\n";
      const bool sent = co_await client.send(text, seconds(20));
      bool answered = false;
      // The rest of a truncated answer is waited for.
      if (sent) answered = co_await client.read_answer(seconds(1));
      read.push_back(answered ? std::optional(read_answer_of(client.answer())) : std::nullopt);
    }
    client.close();
  };
  asio::co_spawn(io, ask, rethrow);
  io.run();
  return read;
}

TEST(StrayAgentMatrix, ClientReadsTheCallsOwnAnswerOrNone) {
  const std::vector<StrayCase> cases = all_cases();
  std::vector<std::string> texts;
  for (const StrayCase& c : cases) texts.push_back(c.text());
  const std::vector<std::optional<AnswerRead>> read = call_all(texts);
  ASSERT_EQ(read.size(), cases.size());
  std::size_t failed = 0;
  for (std::size_t i = 0; i < cases.size(); ++i) {
    failed += read[i] ? 0 : 1;
    if (read[i]) {
      EXPECT_EQ(*read[i], own_answer(cases[i])) << cases[i].name();
    } else {
      EXPECT_FALSE(cases[i].is_unambiguous()) << cases[i].name();
    }
  }
  std::printf("%zu cases, %zu of them calls without an answer\n", cases.size(), failed);
}

// The platform's first answer to a notice is the one of the case; later ones accept it. 400 ends a notice as
// well: an unreadable line is not sent again.
class NoticeMatrix {
 public:
  NoticeMatrix()
      : cases_(all_cases()),
        host_([](const Request&) {
          return ScriptedAnswer{answer("500 Internal Server Error"), milliseconds(0), {}};
        }),
        platform_([this](const Request& r) { return script(r); }),
        relay_(platform_.address()) {}

  void run() {
    relay_.start();
    std::size_t repeated_though_accepted = 0;
    for (std::size_t i = 0; i < cases_.size(); ++i) {
      ASSERT_EQ(relay_.ask(request_text(id_of(i), "x", "pay", destination(i))), 202u) << cases_[i].name();
      ASSERT_TRUE(happens([&] { return relay_.counter("notices_taken") == i + 1; }, seconds(20)))
          << cases_[i].name() << relay_.log();
      EXPECT_GT(accepted(i), 0u) << "rejected, but not sent again: " << cases_[i].name();
      repeated_though_accepted += accepted(i) > 1 ? 1 : 0;
    }
    std::printf("%zu cases: %zu accepted notices sent again\n", cases_.size(), repeated_though_accepted);
  }

 private:
  static std::string id_of(std::size_t i) { return "n" + std::to_string(i) + "n"; }
  static int destination(std::size_t i) { return static_cast<int>(i) + 1; }

  std::vector<standin::HostLine> hosts() const {
    std::vector<standin::HostLine> hosts;
    for (std::size_t i = 0; i < cases_.size(); ++i) {
      hosts.push_back({"s-" + std::to_string(i), host_.address(), destination(i)});
    }
    return hosts;
  }
  ScriptedAnswer script(const Request& r) {
    if (r.target == "/discovery/hosts") {
      return {answer("200 OK", standin::list_json(hosts())), milliseconds(0), {}};
    }
    if (r.target != "/v1/notices") return {};
    const std::size_t id = r.body.find("\"n");
    const std::size_t i = std::stoul(r.body.substr(id + 2));
    const std::scoped_lock lock(mutex_);
    const bool first = attempts_[i]++ == 0;
    const std::string& own = cases_[i].own();
    if (!first || own.starts_with("HTTP/1.1 204 ") || own.starts_with("HTTP/1.1 400 ")) ++accepted_[i];
    return {first ? cases_[i].text() : answer("204 No Content"), milliseconds(0), {}};
  }
  std::size_t accepted(std::size_t i) {
    const std::scoped_lock lock(mutex_);
    return accepted_[i];
  }

  const std::vector<StrayCase> cases_;
  std::mutex mutex_;
  std::map<std::size_t, std::size_t> attempts_, accepted_;  // of notices, by case
  ScriptedServer host_;
  ScriptedServer platform_;
  RelayProgram relay_;
};

TEST(StrayAgentMatrix, NoNoticeRejectedByThePlatformCountsAsAccepted) {
  NoticeMatrix matrix;
  matrix.run();
}

}  // namespace
}  // namespace fennellane::test
