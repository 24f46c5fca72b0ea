// Two clients may use one X-Call-Id for different messages. 202 promises a client that its own message gets a
// final result, so it must only answer a message that is held, or one that ended recently.
#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <optional>
#include <random>

#include "message_fingerprint.hpp"
#include "reducer_fixture.hpp"
#include "relay_fixture.hpp"

namespace fennellane {
namespace {

using namespace test;
using standin::happens;
using standin::Platform;
using standin::Server;

Body body_of(const std::string& text) { return std::make_shared<const std::string>(text); }

// --- The fingerprint
TEST(MessageFingerprint, DiffersWithEachPartOfTheMessage) {
  JournalEntry entry;
  entry.idempotency_key = "key";
  entry.body = body_of("body");
  const MessageFingerprint original = fingerprint_of(entry);
  EXPECT_EQ(original, fingerprint_of(JournalEntry(entry)));
  std::vector<JournalEntry> others(6, entry);
  others[0].message_class = 1;
  others[1].tenant = 1;
  others[2].destination = 1;
  others[3].idempotency_key = "other";
  others[4].body = body_of("other");
  others[5].idempotency_key = "keyb";  // the same bytes, divided differently
  others[5].body = body_of("ody");
  for (std::size_t i = 0; i < others.size(); ++i) EXPECT_NE(original, fingerprint_of(others[i])) << i;
}

// --- The reducer
enum class Place { held, called, given_up, delivered, noticed, restored, restored_given_up };
enum class Difference { message_class, tenant, destination, idempotency_key, body };

class KnownIdTest : public ReducerFixture,
                    public testing::WithParamInterface<std::tuple<Place, Difference, bool>> {
 protected:
  KnownIdTest() { set_hosts({{"s-1", "127.0.0.1:9", 7}, {"s-2", "127.0.0.1:8", 8}}); }

  MessageSubmitted original() const {
    MessageSubmitted message = make_message("a", kPay);
    message.idempotency_key = "key";
    return message;
  }
  MessageSubmitted changed(Difference difference) const {
    MessageSubmitted message = original();
    switch (difference) {
      case Difference::message_class:
        message.message_class = kNote;
        break;
      case Difference::tenant:
        message.tenant = 1;
        break;
      case Difference::destination:
        message.destination = 8;
        break;
      case Difference::idempotency_key:
        message.idempotency_key = "other";
        break;
      case Difference::body:
        message.body = body_of("other");
        break;
    }
    return message;
  }

  void bring_to(Place place) {
    switch (place) {
      case Place::held:
        handle(StopRequested{now});  // no call is started any more
        handle(original());
        return;
      case Place::called:
        handle(original());
        return;
      case Place::given_up:
        handle(original());
        return end_call(Outcome::reset);
      case Place::delivered:
        handle(original());
        return end_call(Outcome::delivered);
      case Place::noticed:
        handle(original());
        end_call(Outcome::reset);
        handle(NoticeAccepted{call.stream});
        return;
      case Place::restored:
        return restore({});
      case Place::restored_given_up:
        return restore(Verdict::undeliverable);
    }
  }
  void restore(std::optional<Verdict> verdict) {
    const MessageSubmitted message = original();
    MessageRestored restored;
    restored.stream = 5;
    restored.entry.id = message.id;
    restored.entry.idempotency_key = message.idempotency_key;
    restored.entry.message_class = message.message_class;
    restored.entry.tenant = message.tenant;
    restored.entry.destination = message.destination;
    restored.entry.body = message.body;
    restored.entry.verdict = verdict;
    restored.time_left = message.time_left;
    handle(restored);
  }
};

// Guards against a message that vanishes: answered 202 for another client's message, it was never sent and
// had no notice.
TEST_P(KnownIdTest, AnotherMessageIsNotAnsweredAsAccepted) {
  const auto [place, difference, handed_over] = GetParam();
  bring_to(place);
  if (handed_over) hand_over([](StreamId) { return body_of("body"); });
  handle(changed(difference));
  ASSERT_EQ(effects.size(), 1u);
  EXPECT_EQ(first_effect<SendAnswer>().reply, AdmissionReply::refused);
  EXPECT_EQ(first_effect<SendAnswer>().retry_after, Time(0));  // another id is accepted at once
  EXPECT_EQ(counters.id_conflicts, 1u);
  EXPECT_EQ(counters.refused, 0u);  // or clients could turn a release back
  // The message itself is unaffected, whatever time it has left when it is submitted again.
  MessageSubmitted repeated = original();
  repeated.time_left = milliseconds(700);
  handle(repeated);
  ASSERT_EQ(effects.size(), 1u);
  EXPECT_EQ(first_effect<SendAnswer>().reply, AdmissionReply::accepted);
  EXPECT_EQ(counters.duplicates, 1u);
}

std::string known_id_case_name(const testing::TestParamInfo<KnownIdTest::ParamType>& info) {
  constexpr const char* kPlaces[] = {"Held",    "Called",   "GivenUp",        "Delivered",
                                     "Noticed", "Restored", "RestoredGivenUp"};
  constexpr const char* kDifferences[] = {"Class", "Tenant", "Destination", "IdempotencyKey", "Body"};
  const auto [place, difference, handed_over] = info.param;
  return std::string(kPlaces[static_cast<std::size_t>(place)]) + "Other" +
         kDifferences[static_cast<std::size_t>(difference)] + (handed_over ? "HandedOver" : "");
}

INSTANTIATE_TEST_SUITE_P(
    Everywhere, KnownIdTest,
    testing::Combine(testing::Values(Place::held, Place::called, Place::given_up, Place::delivered,
                                     Place::noticed, Place::restored, Place::restored_given_up),
                     testing::Values(Difference::message_class, Difference::tenant, Difference::destination,
                                     Difference::idempotency_key, Difference::body),
                     testing::Bool()),
    known_id_case_name);

// Few ids and many messages, in every order of submissions, ends, notices and handovers: each 202 is for the
// message that was recorded last under its id, and each refusal for a different one.
class RandomSubmissionsTest : public ReducerFixture, public testing::WithParamInterface<unsigned> {
 protected:
  MessageSubmitted draw_message() {
    MessageSubmitted message = make_message(std::string(1, static_cast<char>('a' + random_() % 3)));
    message.message_class = random_() % 2;
    message.tenant = random_() % 2;
    message.body = body_of(random_() % 2 == 0 ? "one" : "two");
    message.time_left = seconds(1 + random_() % 20);
    return message;
  }
  void observe() {
    for (const Effect& effect : effects) {
      if (const auto* accepted = std::get_if<RecordAccepted>(&effect)) {
        recorded_[accepted->entry.id] = accepted->entry;
        bodies_[accepted->stream] = accepted->entry.body;
      }
      if (const auto* started = std::get_if<StartCall>(&effect)) calls_.push_back(*started);
      if (const auto* notice = std::get_if<PostNotice>(&effect)) notices_.push_back(notice->stream);
    }
  }
  void submit() {
    const MessageSubmitted message = draw_message();
    handle(message);
    observe();
    const JournalEntry& known = recorded_.at(message.id);
    const bool same = known.message_class == message.message_class && known.tenant == message.tenant &&
                      *known.body == *message.body;
    const AdmissionReply reply = first_effect<SendAnswer>().reply;
    ASSERT_EQ(reply, same ? AdmissionReply::accepted : AdmissionReply::refused);
    ++(same ? accepted_ : refused_);
  }
  void end_some_call() {
    if (calls_.empty()) return;
    call = calls_.back();
    calls_.pop_back();
    constexpr Outcome kOutcomes[] = {Outcome::delivered, Outcome::full, Outcome::reset};
    end_call(kOutcomes[random_() % 3]);
    observe();
  }
  void accept_notice() {
    if (notices_.empty()) return;
    handle(NoticeAccepted{notices_.back()});
    notices_.pop_back();
  }
  void step() {
    switch (random_() % 8) {
      case 0:
        advance(milliseconds(random_() % 300));
        return observe();
      case 1:
        return accept_notice();
      case 2:
        return hand_over([this](StreamId id) { return bodies_.at(id); });
      case 3:
      case 4:
        return end_some_call();
      default:
        return submit();
    }
  }

  std::mt19937 random_{GetParam()};
  std::map<std::string, JournalEntry> recorded_;  // by id
  std::map<StreamId, Body> bodies_;
  std::vector<StartCall> calls_;
  std::vector<StreamId> notices_;
  std::size_t accepted_ = 0, refused_ = 0;
};

// Guards against the same: a 202 without a record of the message that it answers.
TEST_P(RandomSubmissionsTest, AreAcceptedOnlyAsRecorded) {
  for (int i = 0; i < 2000 && !HasFatalFailure(); ++i) step();
  EXPECT_GT(accepted_, 50u);
  EXPECT_GT(refused_, 50u);
}
INSTANTIATE_TEST_SUITE_P(Seeds, RandomSubmissionsTest, testing::Range(1u, 21u));

// --- The program
const std::string kRefusal = "HTTP/1.1 503 ";

// Guards against a payment that vanishes when another client uses its id before its last byte has arrived.
TEST(MessageIdentity, AnotherClientsMessageUnderTheIdOfAnOpenRequestDoesNotReplaceIt) {
  Server office([](const standin::Request&) { return standin::answer("200 OK"); });
  Server bank([](const standin::Request&) { return standin::answer("200 OK"); });
  Platform platform({{"s-1", office.address(), 7}, {"s-2", bank.address(), 8}});
  RelayProgram relay(platform.address());
  relay.start();
  asio::io_context io;
  tcp::socket client = relay.connected(io);
  const std::string payment = request_text("m1", "payment", "pay", 8);
  const std::size_t cut = payment.size() - 3;
  asio::write(client, asio::buffer(payment.substr(0, cut)));
  ASSERT_EQ(relay.ask(request_text("m1", "something else")), 202u);
  asio::write(client, asio::buffer(payment.substr(cut)));
  std::string answered(kRefusal.size(), '\0');
  asio::read(client, asio::buffer(answered));
  EXPECT_EQ(answered, kRefusal);
  EXPECT_EQ(relay.ask(request_text("m1", "something else")), 202u);  // the known one, submitted again
  EXPECT_EQ(relay.ask(request_text("m2", "payment", "pay", 8)), 202u);
  EXPECT_TRUE(happens([&] { return bank.count("m2") == 1 && office.count("m1") == 1; })) << relay.log();
  EXPECT_EQ(relay.counter("repeated"), 1u);
  EXPECT_EQ(relay.counter("refused"), 0u);
  EXPECT_EQ(relay.counter("id_conflicts"), 1u);
}

// Guards against the same after a restart, for messages that the next process reads from the journal.
TEST(MessageIdentity, AnotherMessageUnderARestoredIdIsRefused) {
  Server host([](const standin::Request&) { return ""; });  // keeps its calls open
  Platform platform({{"s-1", host.address(), 7}});
  RelayProgram relay(platform.address());
  relay.start();
  ASSERT_EQ(relay.ask(request_text("m1", "one")), 202u);
  relay.end(SIGKILL);
  relay.start();
  EXPECT_EQ(relay.ask(request_text("m1", "two")), 503u);
  EXPECT_EQ(relay.ask(request_text("m1", "one")), 202u);
}

}  // namespace
}  // namespace fennellane
