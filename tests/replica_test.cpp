// Tests of message copies: the merge rule for records, the choice of holders, and catching up.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <set>

#include "message_copies.hpp"
#include "placement.hpp"

namespace fennellane::replica {
namespace {

Record record(StreamId stream, Version version, std::uint32_t attempts = 0, bool ended = false) {
  Record r;
  r.stream = stream;
  r.version = version;
  r.ended = ended;
  r.entry.attempts = attempts;
  return r;
}
Record with_body(Record r) {
  r.entry.body = std::make_shared<const std::string>("body");
  r.has_body = true;
  return r;
}
// The part of a record that matters to a relay that takes over.
auto takeover_state(const Record& r) {
  return r.ended ? std::tuple(true, Version{}, 0u, false)
                 : std::tuple(false, r.version, r.entry.attempts, r.has_body);
}

TEST(Join, AnEndIsFinalAndTheNewerRecordWins) {
  Record known = with_body(record(1, {2, 5}, 1));
  EXPECT_FALSE(join(known, record(1, {2, 4}, 7)));
  EXPECT_FALSE(join(known, record(1, {1, 9}, 7)));
  EXPECT_EQ(known.entry.attempts, 1u);
  EXPECT_TRUE(join(known, record(1, {3, 1}, 2)));
  EXPECT_EQ(known.entry.attempts, 2u);
  EXPECT_TRUE(known.has_body);
  EXPECT_TRUE(join(known, record(1, {1, 1}, 0, true)));  // received late from an old owner
  EXPECT_TRUE(known.ended);
  EXPECT_FALSE(join(known, with_body(record(1, {9, 9}, 3))));
  EXPECT_FALSE(entry_for_takeover(known));
}

TEST(Join, KeepsABodyInEitherOrder) {
  Record known = record(1, {1, 2}, 1);
  EXPECT_FALSE(entry_for_takeover(known));
  EXPECT_TRUE(join(known, with_body(record(1, {1, 1}))));
  ASSERT_TRUE(entry_for_takeover(known));
  EXPECT_EQ(entry_for_takeover(known)->attempts, 1u);
}

RC_GTEST_PROP(JoinProperty, CopiesOfTheSameRecordsAreEqual, ()) {
  // Records as owners write them: one content for each version, and a body with the first record of an epoch.
  std::vector<Record> records;
  const int count = *rc::gen::inRange(1, 8);
  std::set<Version> versions;
  for (int i = 0; i < count; ++i) {
    const Version v{*rc::gen::inRange<Token>(1, 4), *rc::gen::inRange<Sequence>(1, 5)};
    if (!versions.insert(v).second) continue;
    Record r = record(1, v, *rc::gen::inRange(0u, 5u), *rc::gen::inRange(0, 6) == 0);
    if (!r.ended && v.sequence == 1) r = with_body(r);
    records.push_back(r);
  }
  const auto merged = [&records](bool twice) {
    std::vector<std::size_t> order;
    for (std::size_t i = 0; i < records.size(); ++i)
      for (int n = 0; n < (twice ? 2 : 1); ++n) order.push_back(i);
    for (std::size_t i = order.size(); i > 1; --i)
      std::swap(order[i - 1], order[*rc::gen::inRange<std::size_t>(0, i)]);
    Record known = records[order[0]];
    for (const std::size_t i : order) join(known, records[i]);
    return known;
  };
  const Record one = merged(false), other = merged(true);
  RC_ASSERT(takeover_state(one) == takeover_state(other));
  // Two copies that each received some of the records agree after exchanging theirs.
  Record left = records.front(), right = records.back();
  for (const Record& r : records) join(*rc::gen::inRange(0, 2) == 0 ? left : right, r);
  const Record before = left;
  join(left, right);
  join(right, before);
  RC_ASSERT(takeover_state(left) == takeover_state(right));
  RC_ASSERT(takeover_state(left) == takeover_state(one));
}

TEST(Placement, PrefersOtherZonesAndMovesFewCopies) {
  std::vector<Peer> all;
  for (int i = 0; i < 30; ++i)
    all.push_back({"r" + std::to_string(i), std::string(1, static_cast<char>('a' + i % 3)), ""});
  std::map<std::string, std::vector<Peer>> before;
  std::map<std::string, int> load;
  for (const Peer& p : all) {
    before[p.relay] = choose_holders(p.relay, p.zone, all, 2);
    ASSERT_EQ(before[p.relay].size(), 2u);
    std::set<std::string> zones{p.zone};
    for (const Peer& holder : before[p.relay]) {
      EXPECT_NE(holder.relay, p.relay);
      EXPECT_TRUE(zones.insert(holder.zone).second);
      ++load[holder.relay];
    }
  }
  for (const auto& [relay, copies] : load) EXPECT_LE(copies, 9) << relay;
  // Removing a peer moves only the copies that it held.
  const std::string gone = "r7";
  std::vector<Peer> rest = all;
  std::erase_if(rest, [&gone](const Peer& p) { return p.relay == gone; });
  for (const Peer& p : rest) {
    const auto after = choose_holders(p.relay, p.zone, rest, 2);
    const bool held = std::any_of(before[p.relay].begin(), before[p.relay].end(),
                                  [&gone](const Peer& holder) { return holder.relay == gone; });
    if (!held) {
      EXPECT_EQ(after, before[p.relay]) << p.relay;
    }
  }
  EXPECT_EQ(choose_holders("r0", "a", {{"r0", "a", ""}}, 2).size(), 0u);
  EXPECT_EQ(choose_holders("r0", "", {{"r1", "", ""}, {"r2", "", ""}}, 2).size(), 2u);
  EXPECT_EQ(choose_holders("r0", "a", {{"r1", "a", ""}}, 1).size(), 1u);  // better than no copy
}

TEST(MessageCopies, AppliesNewRecordsAndErasesEndedStreams) {
  MessageCopies copies;
  EXPECT_TRUE(copies.apply(Records{{1, 2}, {with_body(record(1, {1, 1})), with_body(record(2, {1, 2}))}, 1}));
  EXPECT_EQ(copies.held().size(), 2u);
  EXPECT_EQ(copies.bytes(), 2 * (kStreamOverheadBytes + 4));
  EXPECT_TRUE(copies.apply(Records{{1, 3}, {record(1, {1, 3}, 0, true)}, 2}));
  // Repeated records must not restore a stream whose end was applied and erased.
  EXPECT_TRUE(copies.apply(Records{{1, 2}, {with_body(record(1, {1, 1}))}, 3}));
  EXPECT_EQ(copies.held().count(1), 0u);
  EXPECT_EQ(copies.position(), (Version{1, 3}));
  EXPECT_TRUE(copies.apply(Records{{2, 1}, {}, 1}));
  EXPECT_FALSE(copies.apply(Records{{1, 9}, {with_body(record(5, {1, 9}))}, 4}));  // from an old owner
  EXPECT_EQ(copies.held().count(5), 0u);
}

RC_GTEST_PROP(MessageCopiesProperty, CatchesUpByDifferingRanges, ()) {
  std::map<StreamId, Record> owner;
  MessageCopies copies;
  Records first{{1, 500}, {}, 1};
  for (StreamId stream = 1; stream <= 300; ++stream) {
    const int fate = *rc::gen::inRange(0, 12);
    const Record old = with_body(record(stream, {1, stream}));
    if (fate != 0) first.records.push_back(old);  // otherwise the copy does not know it
    // Since then the owner has restarted; some streams have ended and some have progressed.
    if (fate == 1) continue;
    owner[stream] = with_body(record(stream, {2, stream}, fate == 2 ? 3 : 0));
  }
  RC_ASSERT(copies.apply(first));
  const Digests owner_digests = compute_digests(owner), copy_digests = copies.digests();
  std::size_t sent = 0;
  for (std::uint32_t range = 0; range < kRanges; ++range) {
    if (owner_digests[range] == copy_digests[range]) continue;
    Range contents{range, {}};
    for (const auto& [stream, r] : owner)
      if (range_of(stream) == range) contents.records.push_back(r);
    sent += contents.records.size();
    RC_ASSERT(copies.apply(contents, {2, 1000}));
  }
  RC_ASSERT(copies.digests() == owner_digests);
  RC_ASSERT(copies.held().size() == owner.size());
  std::size_t bytes = 0;
  for (const auto& [stream, r] : copies.held()) {
    RC_ASSERT(r.entry.attempts == owner.at(stream).entry.attempts);
    bytes += kStreamOverheadBytes + 4;
  }
  RC_ASSERT(copies.bytes() == bytes);
  RC_ASSERT(sent <= owner.size());
}

}  // namespace
}  // namespace fennellane::replica
