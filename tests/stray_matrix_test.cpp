// Every kind of stray bytes, at every place on a connection to a host, with every answer of the protocol and
// both effects of a class: no message runs twice beyond its class, and each that was taken on has an end.
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
    {"a delivery that is longer than it is", "HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\nx"},
    {"a delivery whose body takes in what follows", "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n"},
    {"a delivery whose body takes in a little of what follows",
     "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"},
    {"garbage", "\x01\x02 no answer\r\n\r\n"}};

enum class Place { behind_the_answer_before, while_resting, during_the_call, in_front, behind };
constexpr std::array kPlaces = {"behind the answer before", "while resting", "during the call",
                                "in front, in one piece", "behind, in one piece"};

struct StrayCase {
  std::size_t stray = 0, answer = 0;
  Place place = Place::behind;
  bool pay = false;

  std::string name() const {
    return std::string(pay ? "pay, " : "note, ") + kAnswers[answer].name + ", " + kStrays[stray].name + " " +
           kPlaces[static_cast<std::size_t>(place)];
  }
};

// Whether the case's call finds the connection that a call before it left, or makes one.
enum class Connection { kept, fresh };

bool can_be(Place place, Connection connection) {
  if (connection == Connection::kept) return true;
  // A first call's answer cannot be told from one that a path makes up before it (docs/connections.md).
  return place == Place::in_front || place == Place::behind;
}

std::vector<StrayCase> all_cases(Connection connection) {
  std::vector<StrayCase> cases;
  for (std::size_t stray = 0; stray < kStrays.size(); ++stray) {
    for (std::size_t answer = 0; answer < kAnswers.size(); ++answer) {
      for (std::size_t place = 0; place < kPlaces.size(); ++place) {
        if (!can_be(static_cast<Place>(place), connection)) continue;
        for (const bool pay : {false, true}) cases.push_back({stray, answer, static_cast<Place>(place), pay});
      }
    }
  }
  return cases;
}

// One destination a case, with one host; a message before it leaves its connection for the case's own.
class StrayMatrix {
 public:
  explicit StrayMatrix(Connection connection)
      : connection_(connection),
        cases_(all_cases(connection)),
        ran_(cases_.size()),
        over_(cases_.size()),
        server_([this](const Request& r) { return script(r); }),
        platform_(hosts()),
        relay_(platform_.address(), parts()) {}

  void play() {
    relay_.start();
    hand_in("w", 0, false);  // from which the relay learns that the host says `Connection: close`
    ASSERT_TRUE(happens([this] { return relay_.counter("delivered") == 1; })) << relay_.log();
    constexpr std::size_t kAtOnce = 30;  // cases, so that each finds its connection open
    for (std::size_t first = 0; first < cases_.size(); first += kAtOnce) {
      play_some(first, std::min(cases_.size(), first + kAtOnce));
    }
    happens([this] { return first_without_end() == cases_.size(); }, seconds(15));
  }

  void check() const {
    const std::set<std::string> noticed = noticed_ids();
    std::size_t twice = 0, lost = 0, noticed_of_delivered = 0;
    for (std::size_t i = 0; i < cases_.size(); ++i) {
      if (cases_[i].pay && ran_[i] > 1) {
        ++twice;
        ADD_FAILURE() << "ran " << ran_[i] << " times: " << cases_[i].name();
      }
      const bool told = noticed.count(id_of("t", i)) > 0;
      if (!over_[i] && !told) {
        ++lost;
        ADD_FAILURE() << "has no end: " << cases_[i].name();
      }
      noticed_of_delivered += over_[i] && told ? 1 : 0;
    }
    std::printf("%zu cases: %zu ran twice, %zu lost, %zu notices for what a host had ended\n", cases_.size(),
                twice, lost, noticed_of_delivered);
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

  void hand_in(const std::string& kind, std::size_t i, bool pay) {
    std::string text = request_text(id_of(kind, i), "x", pay ? "pay" : "note", destination(i));
    text.replace(text.find("X-Budget-Ms: 20000"), 18, "X-Budget-Ms: 4000");
    ASSERT_EQ(relay_.ask(text), 202u) << id_of(kind, i);
  }

  void play_some(std::size_t first, std::size_t end) {
    if (connection_ == Connection::kept) leave_connections(first, end);
    for (std::size_t i = first; i < end; ++i) hand_in("t", i, cases_[i].pay);
  }

  void leave_connections(std::size_t first, std::size_t end) {
    for (std::size_t i = std::max<std::size_t>(1, first); i < end; ++i) hand_in("w", i, false);
    ASSERT_TRUE(happens([&] {
      for (std::size_t i = first; i < end; ++i) {
        if (server_.count(id_of("w", i)) == 0) return false;
      }
      return true;
    }));
    std::this_thread::sleep_for(2 * kResting);
  }

  ScriptedAnswer script(const Request& r) {
    const std::size_t i = std::stoul(r.id.substr(1));
    if (r.id.front() == 'w') return answer_before(cases_[i]);
    const std::scoped_lock lock(mutex_);
    const bool first_try = !tried_[i];
    tried_[i] = true;
    const std::string& own = first_try ? kAnswers[cases_[i].answer].text : kDelivered;
    ran_[i] += own == kDelivered || own.find(" 500 ") != std::string::npos ? 1 : 0;
    over_[i] = over_[i] || own == kDelivered || own.find(" 410 ") != std::string::npos;
    return first_try ? answer_of(cases_[i], r, own) : ScriptedAnswer{own, milliseconds(0), {}};
  }
  static ScriptedAnswer answer_before(const StrayCase& c) {
    ScriptedAnswer answer{kDelivered, milliseconds(0), {}};
    const std::string& stray = kStrays[c.stray].text;
    if (c.place == Place::behind_the_answer_before) answer.text += stray;
    if (c.place == Place::while_resting) answer.strays.push_back({kResting, stray});
    return answer;
  }
  static ScriptedAnswer answer_of(const StrayCase& c, const Request& r, const std::string& own) {
    ScriptedAnswer answer{own, kAnswerAt, {}};
    const std::string& stray = kStrays[c.stray].text;
    if (c.place == Place::during_the_call && r.nth > 1) answer.strays.push_back({kDuring, stray});
    if (c.place == Place::in_front) answer.strays.push_back({kAnswerAt, stray});
    if (c.place == Place::behind) answer.text += stray;
    return answer;
  }

  std::set<std::string> noticed_ids() const {
    std::set<std::string> ids;
    for (std::size_t i = 0; i < cases_.size(); ++i) {
      if (platform_.noticed("{\"id\":\"" + id_of("t", i) + "\"")) ids.insert(id_of("t", i));
    }
    return ids;
  }
  std::size_t first_without_end() const {
    for (std::size_t i = 0; i < cases_.size(); ++i) {
      const std::scoped_lock lock(mutex_);
      if (!over_[i] && !platform_.noticed("{\"id\":\"" + id_of("t", i) + "\"")) return i;
    }
    return cases_.size();
  }

  static constexpr milliseconds kResting{15}, kDuring{10}, kAnswerAt{30};

  const Connection connection_;
  const std::vector<StrayCase> cases_;
  mutable std::mutex mutex_;
  std::vector<std::size_t> ran_;
  std::vector<bool> over_;
  std::vector<bool> tried_ = std::vector<bool>(cases_.size());
  ScriptedServer server_;
  Platform platform_;
  RelayProgram relay_;
};

class StrayMatrixTest : public testing::TestWithParam<Connection> {};

TEST_P(StrayMatrixTest, EndsEachMessageByItsOwnAnswerOrInDoubt) {
  StrayMatrix matrix(GetParam());
  matrix.play();
  matrix.check();
}
INSTANTIATE_TEST_SUITE_P(On, StrayMatrixTest, testing::Values(Connection::kept, Connection::fresh),
                         [](const auto& info) {
                           return info.param == Connection::kept ? "AKept" : "AFresh";
                         });

}  // namespace
}  // namespace fennellane::test
