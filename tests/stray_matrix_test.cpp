// All kinds of unsolicited bytes, at all positions on a connection to a host, with all answers of the
// protocol and both effects of a class: no message runs twice unless its class allows it, and each accepted
// message gets an end.
#include <algorithm>
#include <array>
#include <set>

#include "relay_fixture.hpp"
#include "scripted_server.hpp"

namespace fennellane::test {
namespace {

using standin::ScriptedAnswer;
using standin::ScriptedServer;

struct NamedText {
  const char* name;
  std::string text;
};

const std::string kDelivered = answer("200 OK");
const std::string kRefused = answer("503 Service Unavailable");

// The call's own answers, by the protocol's table.
const std::vector<NamedText> kAnswers = {{"200", kDelivered},
                                         {"500", answer("500 Internal Server Error")},
                                         {"429", answer("429 Wait", "", "X-Come-Back-Ms: 50\r\n")},
                                         {"503", kRefused},
                                         {"503 busy", answer("503 Busy", "", "X-Line-Busy: 1\r\n")},
                                         {"504", answer("504 Gateway Timeout")},
                                         {"410", answer("410 Gone")}};

const std::vector<NamedText> kStrays = {
    {"a delivery", kDelivered},
    {"a refusal", kRefused},
    {"an error", answer("500 Internal Server Error")},
    {"an interim answer", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"half a delivery", "HTTP/1.1 200 OK\r\nContent-Le"},
    {"half a refusal", "HTTP/1.1 503 Serv"},
    {"a truncated delivery", "HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\nx"},
    {"a delivery whose body absorbs what follows", "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n"},
    {"a delivery whose body absorbs part of what follows", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"},
    {"garbage", "\x01\x02 no answer\r\n\r\n"}};

enum class Place { after_previous_answer, while_idle, during_call, before_answer, after_answer };
constexpr std::array kPlaces = {"after the previous answer", "while idle", "during the call",
                                "before, in one piece", "after, in one piece"};

struct StrayCase {
  std::size_t stray = 0, answer = 0;
  Place place = Place::after_answer;
  bool pay = false;

  std::string name() const {
    return std::string(pay ? "pay, " : "note, ") + kAnswers[answer].name + ", " + kStrays[stray].name + " " +
           kPlaces[static_cast<std::size_t>(place)];
  }
};

// Whether the call reuses the connection of a previous call or opens a new one.
enum class Connection { reused, fresh };

bool is_possible(Place place, Connection connection) {
  if (connection == Connection::reused) return true;
  // The answer to a connection's first call cannot be told from a forged one before it (docs/connections.md).
  return place == Place::before_answer || place == Place::after_answer;
}

std::vector<StrayCase> all_cases(Connection connection) {
  std::vector<StrayCase> cases;
  for (std::size_t stray = 0; stray < kStrays.size(); ++stray) {
    for (std::size_t answer = 0; answer < kAnswers.size(); ++answer) {
      for (std::size_t place = 0; place < kPlaces.size(); ++place) {
        if (!is_possible(static_cast<Place>(place), connection)) continue;
        for (const bool pay : {false, true}) cases.push_back({stray, answer, static_cast<Place>(place), pay});
      }
    }
  }
  return cases;
}

// Each case has its own destination with one host. A preceding message leaves its connection open for the
// case's call.
class StrayMatrix {
 public:
  explicit StrayMatrix(Connection connection)
      : connection_(connection),
        cases_(all_cases(connection)),
        ran_(cases_.size()),
        ended_(cases_.size()),
        server_([this](const Request& r) { return script(r); }),
        platform_(hosts()),
        relay_(platform_.address(), parts()) {}

  void run() {
    relay_.start();
    submit("w", 0, false);  // shows the relay that the host honors `Connection: close`
    ASSERT_TRUE(happens([this] { return relay_.counter("delivered") == 1; })) << relay_.log();
    // Cases at a time, few enough that each finds its connection still open.
    constexpr std::size_t kBatchSize = 30;
    for (std::size_t first = 0; first < cases_.size(); first += kBatchSize) {
      run_batch(first, std::min(cases_.size(), first + kBatchSize));
    }
    happens([this] { return first_unended() == cases_.size(); }, seconds(15));
  }

  void check() const {
    const std::set<std::string> noticed = noticed_ids();
    std::size_t twice = 0, lost = 0, noticed_though_ended = 0;
    for (std::size_t i = 0; i < cases_.size(); ++i) {
      if (cases_[i].pay && ran_[i] > 1) {
        ++twice;
        ADD_FAILURE() << "ran " << ran_[i] << " times: " << cases_[i].name();
      }
      const bool was_noticed = noticed.count(id_of("t", i)) > 0;
      if (!ended_[i] && !was_noticed) {
        ++lost;
        ADD_FAILURE() << "has no end: " << cases_[i].name();
      }
      noticed_though_ended += ended_[i] && was_noticed ? 1 : 0;
    }
    std::printf("%zu cases: %zu ran twice, %zu lost, %zu notices for messages that a host had ended\n",
                cases_.size(), twice, lost, noticed_though_ended);
  }

 private:
  static std::string id_of(const std::string& kind, std::size_t i) { return kind + std::to_string(i); }
  static int destination(std::size_t i) { return static_cast<int>(i) + 1; }

  std::vector<standin::HostLine> hosts() const {
    std::vector<standin::HostLine> hosts;
    for (std::size_t i = 0; i < cases_.size(); ++i) {
      hosts.push_back({"s-" + std::to_string(i), server_.address(), destination(i), "ready", 500});
    }
    return hosts;
  }
  static ConfigParts parts() {
    ConfigParts parts;
    parts.max_open = 2000;
    return parts;
  }

  void submit(const std::string& kind, std::size_t i, bool pay) {
    std::string text = request_text(id_of(kind, i), "x", pay ? "pay" : "note", destination(i));
    text.replace(text.find("X-Budget-Ms: 20000"), 18, "X-Budget-Ms: 4000");
    ASSERT_EQ(relay_.ask(text), 202u) << id_of(kind, i);
  }

  void run_batch(std::size_t first, std::size_t end) {
    if (connection_ == Connection::reused) open_connections(first, end);
    for (std::size_t i = first; i < end; ++i) submit("t", i, cases_[i].pay);
  }

  void open_connections(std::size_t first, std::size_t end) {
    for (std::size_t i = std::max<std::size_t>(1, first); i < end; ++i) submit("w", i, false);
    ASSERT_TRUE(happens([&] {
      for (std::size_t i = first; i < end; ++i) {
        if (server_.count(id_of("w", i)) == 0) return false;
      }
      return true;
    }));
    std::this_thread::sleep_for(2 * kIdleTime);
  }

  ScriptedAnswer script(const Request& r) {
    const std::size_t i = std::stoul(r.id.substr(1));
    if (r.id.front() == 'w') return previous_answer(cases_[i]);
    const std::scoped_lock lock(mutex_);
    const bool first_attempt = !attempted_[i];
    attempted_[i] = true;
    const std::string& own = first_attempt ? kAnswers[cases_[i].answer].text : kDelivered;
    ran_[i] += own == kDelivered || own.find(" 500 ") != std::string::npos ? 1 : 0;
    ended_[i] = ended_[i] || own == kDelivered || own.find(" 410 ") != std::string::npos;
    return first_attempt ? answer_of(cases_[i], r, own) : ScriptedAnswer{own, milliseconds(0), {}};
  }
  static ScriptedAnswer previous_answer(const StrayCase& c) {
    ScriptedAnswer answer{kDelivered, milliseconds(0), {}};
    const std::string& stray = kStrays[c.stray].text;
    if (c.place == Place::after_previous_answer) answer.text += stray;
    if (c.place == Place::while_idle) answer.strays.push_back({kIdleTime, stray});
    return answer;
  }
  static ScriptedAnswer answer_of(const StrayCase& c, const Request& r, const std::string& own) {
    ScriptedAnswer answer{own, kAnswerAt, {}};
    const std::string& stray = kStrays[c.stray].text;
    if (c.place == Place::during_call && r.nth > 1) answer.strays.push_back({kDuringCall, stray});
    if (c.place == Place::before_answer) answer.strays.push_back({kAnswerAt, stray});
    if (c.place == Place::after_answer) answer.text += stray;
    return answer;
  }

  std::set<std::string> noticed_ids() const {
    std::set<std::string> ids;
    for (std::size_t i = 0; i < cases_.size(); ++i) {
      if (platform_.noticed("{\"id\":\"" + id_of("t", i) + "\"")) ids.insert(id_of("t", i));
    }
    return ids;
  }
  std::size_t first_unended() const {
    for (std::size_t i = 0; i < cases_.size(); ++i) {
      const std::scoped_lock lock(mutex_);
      if (!ended_[i] && !platform_.noticed("{\"id\":\"" + id_of("t", i) + "\"")) return i;
    }
    return cases_.size();
  }

  static constexpr milliseconds kIdleTime{15}, kDuringCall{10}, kAnswerAt{30};

  const Connection connection_;
  const std::vector<StrayCase> cases_;
  mutable std::mutex mutex_;
  std::vector<std::size_t> ran_;
  std::vector<bool> ended_;
  std::vector<bool> attempted_ = std::vector<bool>(cases_.size());
  ScriptedServer server_;
  Platform platform_;
  RelayProgram relay_;
};

class StrayMatrixTest : public testing::TestWithParam<Connection> {};

TEST_P(StrayMatrixTest, EndsEachMessageByItsOwnAnswerOrAsUncertain) {
  StrayMatrix matrix(GetParam());
  matrix.run();
  matrix.check();
}
INSTANTIATE_TEST_SUITE_P(On, StrayMatrixTest, testing::Values(Connection::reused, Connection::fresh),
                         [](const auto& info) {
                           return info.param == Connection::reused ? "AReusedConnection" : "AFreshConnection";
                         });

}  // namespace
}  // namespace fennellane::test
