// The handover's messages and decisions, and an exploration of its model within small bounds.
#include "handover.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "frame.hpp"
#include "handover_model.hpp"
#include "net_fixture.hpp"

namespace fennellane::handover {
namespace {

const std::vector<Message> kOneOfEach = {Offer{{3, 4}, 5},
                                         Accept{},
                                         Refuse{"a \"quoted\" line"},
                                         State{std::string("\0\xff bytes", 8)},
                                         StateEnd{8, ~0ull, 1ull << 40},
                                         Ready{},
                                         TakeOver{6},
                                         TakeoverConfirmed{}};

std::string joined(const std::vector<Message>& messages) {
  std::string text;
  for (const Message& m : messages) text += encode(m);
  return text;
}

RC_GTEST_PROP(Frame, DecodesFromAnyPieces, (const std::string& body)) {
  std::vector<Message> sent = kOneOfEach;
  sent.push_back(State{body});
  sent.push_back(Refuse{"why"});
  const std::string text = joined(sent);
  std::mt19937 random(static_cast<unsigned>(body.size()));
  FrameReader reader;
  std::vector<Message> received;
  for (const std::string_view piece : test::split_at_random(text, random)) {
    reader.feed(piece);
    while (auto message = reader.next()) received.push_back(std::move(*message));
  }
  RC_ASSERT(received == sent);
}

// With a damaged byte, no message is decoded that was not sent.
TEST(Frame, DetectsADamagedByte) {
  const std::string text = joined(kOneOfEach);
  for (std::size_t i = 0; i < text.size(); ++i) {
    for (const int bit : {1, 0x40}) {
      std::string damaged = text;
      damaged[i] = static_cast<char>(damaged[i] ^ bit);
      FrameReader reader;
      reader.feed(damaged);
      std::size_t n = 0;
      try {
        while (auto message = reader.next()) {
          ASSERT_LT(n, kOneOfEach.size());
          ASSERT_EQ(*message, kOneOfEach[n]) << i;
          ++n;
        }
        ASSERT_LT(n, kOneOfEach.size()) << "byte " << i << " made no difference";
      } catch (const FrameError&) {
      }
    }
  }
}

template <class Wanted, class Effects>
bool has_effect(const Effects& effects) {
  return std::any_of(effects.begin(), effects.end(),
                     [](const auto& e) { return std::holds_alternative<Wanted>(e); });
}

TEST(OldSide, KeepsServingIfAnythingFailsBeforeTheFence) {
  const Versions versions;
  const std::vector<OldInput> normal_inputs = {UpgradeRequested{}, PeerStarted{}, MessageReceived{Accept{}},
                                               StateSent{}, MessageReceived{Ready{}}};
  const std::vector<OldInput> failures = {PeerExited{}, TimerExpired{}, ChannelFailed{"noise"},
                                          MessageReceived{Refuse{"no"}},
                                          MessageReceived{TakeoverConfirmed{}}};
  for (std::size_t steps = 1; steps < normal_inputs.size(); ++steps) {
    for (const OldInput& failure : failures) {
      OldSide side(versions, 7, Limits{});
      for (std::size_t i = 0; i < steps; ++i) side.handle(Time(0), normal_inputs[i]);
      auto effects = side.handle(Time(0), failure);
      if (has_effect<KillPeer>(effects)) {
        EXPECT_FALSE(has_effect<Thaw>(effects));  // not while the peer may still act
        effects = side.handle(Time(0), PeerExited{});
      }
      EXPECT_EQ(has_effect<Thaw>(effects), steps >= 3) << steps;
      EXPECT_TRUE(side.serves());
      EXPECT_EQ(side.step(), OldSide::Step::idle);
      EXPECT_EQ(side.generation(), 7u);
    }
  }
}

TEST(OldSide, AfterTheFenceReclaimsOnlyFromAPeerThatDiedWithoutServing) {
  for (const bool taken : {false, true}) {
    OldSide side(Versions{}, 7, Limits{});
    for (const OldInput& i :
         std::vector<OldInput>{UpgradeRequested{}, PeerStarted{}, MessageReceived{Accept{}}, StateSent{},
                               MessageReceived{Ready{}}, FenceWritten{}}) {
      side.handle(Time(0), i);
    }
    EXPECT_TRUE(has_effect<KillPeer>(side.handle(Time(0), TimerExpired{})));
    EXPECT_TRUE(side.handle(Time(0), TimerExpired{}).empty());
    if (taken) side.handle(Time(0), MessageReceived{TakeoverConfirmed{}});  // sent before the peer was killed
    const auto effects = side.handle(Time(0), PeerExited{});
    EXPECT_EQ(has_effect<RestartFromJournal>(effects), taken);
    EXPECT_EQ(has_effect<WriteFence>(effects), !taken);
    if (taken) continue;
    EXPECT_FALSE(side.serves());
    EXPECT_TRUE(has_effect<Thaw>(side.handle(Time(0), FenceWritten{})));
    EXPECT_EQ(side.generation(), 9u);
  }
}

TEST(OldSide, IgnoresASecondUpgradeRequest) {
  OldSide side(Versions{}, 1, Limits{});
  EXPECT_TRUE(has_effect<StartPeer>(side.handle(Time(0), UpgradeRequested{})));
  EXPECT_FALSE(has_effect<StartPeer>(side.handle(Time(0), UpgradeRequested{})));
  EXPECT_EQ(side.step(), OldSide::Step::starting);
}

TEST(NewSide, RefusesUnknownVersionsAndIncompleteState) {
  for (const Offer& offer : {Offer{{2, 1}, 1}, Offer{{1, 2}, 1}, Offer{{0, 1}, 1}}) {
    NewSide side(Versions{1, 1}, Limits{});
    const auto effects = side.handle(Time(0), MessageReceived{offer});
    EXPECT_TRUE(has_effect<Exit>(effects));
    ASSERT_TRUE(has_effect<Send>(effects));
    EXPECT_TRUE(std::holds_alternative<Refuse>(std::get<Send>(effects.front()).message));
  }
  NewSide side(Versions{}, Limits{});
  side.handle(Time(0), MessageReceived{Offer{{}, 1}});
  side.handle(Time(0), PreparationFinished{});
  side.handle(Time(0), MessageReceived{State{"abc"}});
  EXPECT_TRUE(
      has_effect<Exit>(side.handle(Time(0), MessageReceived{StateEnd{4, 0, 0}})));  // a chunk is missing
}

// Every interleaving within these bounds; tools/check_handover explores wider ones.
TEST(HandoverModel, KeepsEveryInvariant) {
  const ModelResult result =
      explore({.messages = 2, .upgrades = 2, .crashes = 2, .failures = 1, .timeouts = 1, .restarts = 2});
  EXPECT_EQ(result.broken, "") << testing::PrintToString(result.trace);
  EXPECT_TRUE(result.whole);
  EXPECT_GT(result.states, 1000u);
  EXPECT_GT(result.ends, 10u);
}

TEST(HandoverModel, FindsTheBugOfAMissingFence) {
  const ModelResult result =
      explore({.messages = 1, .crashes = 1, .failures = 0, .timeouts = 0, .fence = false});
  EXPECT_NE(result.broken, "");
  EXPECT_GT(result.trace.size(), 5u);
}

}  // namespace
}  // namespace fennellane::handover
