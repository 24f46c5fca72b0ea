// Tests of the journal: reading a file truncated at any byte, and staying within its size limit.
#include "journal.hpp"

#include <gtest/gtest.h>
#include <stdlib.h>
#include <sys/resource.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "record_codec.hpp"
#include "temporary_folder.hpp"

namespace fennellane {
namespace {

namespace fs = std::filesystem;
using std::chrono::seconds;

class JournalFolder : public standin::TemporaryFolder {
 public:
  JournalFolder() : TemporaryFolder("journal") {}
  std::string file() const { return path() + "/journal"; }
  std::string text() const {
    std::ifstream in(file(), std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
  }
  void write(const std::string& text) const { std::ofstream(file(), std::ios::binary) << text; }
};

constexpr std::uint64_t kLargeLimit = 1 << 20;

JournalEntry entry(const std::string& id, const std::string& body = "body") {
  JournalEntry e;
  e.id = id;
  e.message_class = 1;
  e.tenant = 2;
  e.destination = 7;
  e.deadline = WallTime(123456789);
  e.body = std::make_shared<const std::string>(body);
  return e;
}

// A crash after each record: checks what the next process reads.
TEST(Journal, RestoresTheProgressOfEachMessage) {
  const JournalFolder folder;
  const auto reopened = [&] { return Journal(folder.path(), kLargeLimit); };
  Journal(folder.path(), kLargeLimit).message_accepted(1, entry("a"));
  {
    Journal j = reopened();
    const JournalEntry& e = j.held().at(1);
    EXPECT_EQ(e.id, "a");
    EXPECT_EQ(e.message_class, 1u);
    EXPECT_EQ(e.tenant, 2u);
    EXPECT_EQ(e.destination, 7u);
    EXPECT_EQ(e.deadline, WallTime(123456789));
    EXPECT_EQ(*e.body, "body");
    EXPECT_EQ(e.attempts, 0u);
    EXPECT_FALSE(e.in_flight || e.may_have_run || e.verdict);
    EXPECT_EQ(j.next_stream(), 2u);
    j.attempt_started(1, WallTime(500), 3);
  }
  {
    Journal j = reopened();  // in flight at the crash
    EXPECT_TRUE(j.held().at(1).in_flight);
    EXPECT_EQ(j.held().at(1).attempts, 1u);
    EXPECT_EQ(j.held().at(1).attempt_started, WallTime(500));
    j.attempt_ended(1, false);
  }
  {
    Journal j = reopened();  // proven not to have run
    EXPECT_FALSE(j.held().at(1).in_flight || j.held().at(1).may_have_run);
    j.attempt_started(1, WallTime(600), 4);
    j.attempt_ended(1, true);
    j.attempt_started(1, WallTime(700), 5);
    j.attempt_ended(1, true);
  }
  {
    Journal j = reopened();  // the first attempt that may have run is kept
    EXPECT_TRUE(j.held().at(1).may_have_run);
    EXPECT_EQ(j.held().at(1).uncertain_since, WallTime(600));
    EXPECT_EQ(j.held().at(1).uncertain_zone, 4u);
    EXPECT_EQ(j.held().at(1).attempts, 3u);
    j.message_given_up(1, Verdict::deferred, Time(1500));
  }
  {
    Journal j = reopened();
    EXPECT_EQ(j.held().at(1).verdict, Verdict::deferred);
    EXPECT_EQ(j.held().at(1).retry_after, Time(1500));
    j.message_ended(1);
  }
  EXPECT_TRUE(reopened().held().empty());
}

// A crash may leave a torn tail at any byte: all complete records before it must be kept and writing must
// continue.
TEST(Journal, TruncatesATornTailAtAnyByte) {
  const JournalFolder folder;
  {
    Journal j(folder.path(), kLargeLimit);
    j.message_accepted(1, entry("a"));
    j.message_accepted(2, entry("b"));
  }
  const std::string original = folder.text();
  for (std::size_t size = 0; size < original.size(); ++size) {
    folder.write(original.substr(0, size));
    {
      Journal j(folder.path(), kLargeLimit);
      ASSERT_LE(j.held().size(), 1u) << size;
      j.message_accepted(9, entry("c"));
    }
    ASSERT_EQ(Journal(folder.path(), kLargeLimit).held().count(9), 1u) << size;
  }
  for (std::size_t at = 25; at < original.size(); at += 3) {
    std::string broken = original;
    broken[at] = static_cast<char>(broken[at] ^ 0x40);
    folder.write(broken);
    ASSERT_LE(Journal(folder.path(), kLargeLimit).held().size(), 1u) << at;
  }
  folder.write("something else altogether");
  EXPECT_THROW(Journal(folder.path(), kLargeLimit), JournalError);
}

TEST(Journal, CompactsWithinItsLimitAndKeepsHeldMessages) {
  const JournalFolder folder;
  constexpr std::uint64_t limit = 20000;
  {
    Journal j(folder.path(), limit);
    j.message_accepted(1, entry("kept", std::string(3000, 'x')));
    j.attempt_started(1, WallTime(5), 0);
    j.attempt_ended(1, true);
    for (StreamId i = 2; i < 500; ++i) {
      ASSERT_TRUE(j.has_room(4, 200));
      j.message_accepted(i, entry("pass", std::string(200, 'y')));
      j.attempt_started(i, WallTime(5), 0);
      j.message_ended(i);
      ASSERT_LE(fs::file_size(folder.file()), limit);
      ASSERT_EQ(fs::file_size(folder.file()), j.size());
      ASSERT_FALSE(fs::exists(folder.path() + "/journal.new"));
    }
    EXPECT_GT(j.compactions(), 3u);
  }
  folder.write(folder.text() + "torn");
  std::ofstream(folder.path() + "/journal.new") << "half a compaction";
  const Journal j(folder.path(), limit);
  EXPECT_EQ(j.truncated_bytes(), 4u);
  EXPECT_FALSE(fs::exists(folder.path() + "/journal.new"));
  ASSERT_EQ(j.held().size(), 1u);
  EXPECT_EQ(j.held().at(1).body->size(), 3000u);
  EXPECT_EQ(j.held().at(1).attempts, 1u);
  EXPECT_TRUE(j.held().at(1).may_have_run);
}

// A message must not be accepted if its later records could not be written for lack of space.
TEST(Journal, ReservesRoomForFurtherRecordsOfHeldMessages) {
  const JournalFolder folder;
  Journal j(folder.path(), 20000);
  StreamId n = 1;
  for (; j.has_room(2, 1000); ++n) j.message_accepted(n, entry("id", std::string(1000, 'x')));
  EXPECT_GT(n, 8u);
  EXPECT_FALSE(j.has_room(2, 64 * 1024));
  for (int attempt = 0; attempt < 12; ++attempt) {
    for (StreamId i = 1; i < n; ++i) {
      j.attempt_started(i, WallTime(1), 0);
      j.attempt_ended(i, false);
    }
  }
  for (StreamId i = 1; i < n; ++i) j.message_given_up(i, Verdict::undeliverable, Time(0));
  for (StreamId i = 1; i < n; ++i) j.message_ended(i);
  EXPECT_TRUE(j.has_room(2, 1000));
}

// --- The clock
using journal::ClockReading;
TEST(JournalClock, UsesTheSteadyClockWithinOneBoot) {
  const ClockReading before{"boot a", seconds(100), seconds(5000)};
  EXPECT_EQ(journal::steady_shift(before, {"boot a", seconds(130), seconds(9000)}), Time(0));
  EXPECT_EQ(journal::steady_shift(before, {"boot a", seconds(130), seconds(10)}), Time(0));
}
TEST(JournalClock, UsesTheWallClockAcrossAReboot) {
  const ClockReading before{"boot a", seconds(100), seconds(5000)};
  // 20 s later on the wall clock; the new boot's steady clock reads 3 s.
  EXPECT_EQ(seconds(100) + journal::steady_shift(before, {"boot b", seconds(3), seconds(5020)}),
            seconds(3 - 20));
  // An unknown boot id and a steady clock that went backwards use the wall clock as well.
  EXPECT_EQ(seconds(100) +
                journal::steady_shift({"", seconds(100), seconds(5000)}, {"", seconds(3), seconds(5020)}),
            seconds(3 - 20));
  EXPECT_EQ(seconds(100) + journal::steady_shift(before, {"boot a", seconds(3), seconds(5020)}),
            seconds(3 - 20));
}

// A journal of an older version stores wall clock times.
TEST(JournalClock, ReadsAJournalWithWallClockTimes) {
  const JournalFolder folder;
  const Time left = seconds(20);
  {
    Journal j(folder.path(), kLargeLimit);
    JournalEntry e = entry("a");
    e.deadline = std::chrono::duration_cast<Time>(std::chrono::system_clock::now().time_since_epoch()) + left;
    ASSERT_TRUE(j.message_accepted(1, e));
  }
  std::string text = folder.text();
  const std::size_t clock = 8 + journal::clock_payload(journal::read_current_clock()).size();
  const std::string magic = "fennellane journal 1\n";
  folder.write(magic + text.substr(magic.size() + clock));
  const Journal j(folder.path(), kLargeLimit);
  const Time deadline = j.held().at(1).deadline - journal::read_current_clock().steady;
  EXPECT_LE(deadline, left);
  EXPECT_GT(deadline, left - seconds(15));
  EXPECT_EQ(Journal(folder.path(), kLargeLimit).held().at(1).deadline, j.held().at(1).deadline);
}

// --- One owner
class JournalOwnership : public testing::Test {
 protected:
  JournalFolder home;
  const std::string folder = home.path();
};
constexpr std::uint64_t kOwnershipTestLimit = 100000;

TEST_F(JournalOwnership, AFenceTransfersOwnership) {
  Journal old(folder, kOwnershipTestLimit);
  old.message_accepted(1, entry("a"));
  Journal next(folder, kOwnershipTestLimit, Journal::Access::observer);
  EXPECT_THROW(next.message_accepted(2, entry("b")), JournalError);  // an observer must not write
  EXPECT_THROW(next.claim(3), JournalError);                         // and can only claim the next generation
  old.fence(2);
  EXPECT_FALSE(old.owned());
  EXPECT_THROW(old.message_accepted(2, entry("b")), JournalError);
  next.claim(2);
  next.message_accepted(2, entry("b"));
  EXPECT_THROW(old.message_ended(1), JournalError);
  EXPECT_THROW(old.claim(3), JournalError);  // the next owner has written records that this one has not read
  const Journal read(folder, kOwnershipTestLimit);
  EXPECT_EQ(read.generation(), 2u);
  EXPECT_EQ(read.held().size(), 2u);
}

TEST_F(JournalOwnership, APartiallyWrittenRecordIsRemoved) {
  Journal journal(folder, kOwnershipTestLimit);
  journal.message_accepted(1, entry("a"));
  std::signal(SIGXFSZ, SIG_IGN);
  rlimit original_limit{};
  ASSERT_EQ(getrlimit(RLIMIT_FSIZE, &original_limit), 0);
  const rlimit partial{static_cast<rlim_t>(journal.size() + 7), original_limit.rlim_max};
  ASSERT_EQ(setrlimit(RLIMIT_FSIZE, &partial), 0);
  EXPECT_THROW(journal.fence(2), JournalError);
  EXPECT_FALSE(journal.message_accepted(2, entry("b")));
  ASSERT_EQ(setrlimit(RLIMIT_FSIZE, &original_limit), 0);
  EXPECT_TRUE(journal.owned());
  journal.message_accepted(3, entry("c"));
  const Journal read(folder, kOwnershipTestLimit);
  EXPECT_EQ(read.truncated_bytes(), 0u);
  EXPECT_EQ(read.held().size(), 2u);
}

// An observer continues from its last position, also across a compaction.
TEST_F(JournalOwnership, AnObserverCatchesUp) {
  Journal old(folder, 4000);
  old.message_accepted(1, entry("a"));
  Journal next(folder, 4000, Journal::Access::observer);
  for (StreamId i = 2; old.compactions() < 2; ++i) {
    old.message_accepted(i, entry("b" + std::to_string(i)));
    if (i % 3 == 0) next.catch_up();
    old.message_ended(i);
  }
  next.catch_up();
  EXPECT_EQ(next.size(), old.size());
  EXPECT_EQ(next.held().size(), 1u);
  old.fence(2);
  next.claim(2);
  next.message_ended(1);
  EXPECT_EQ(Journal(folder, 4000).held().size(), 0u);
}

TEST_F(JournalOwnership, TheOldOwnerReclaimsIfTheNextWroteNothing) {
  Journal old(folder, kOwnershipTestLimit);
  old.message_accepted(1, entry("a"));
  old.fence(2);
  old.claim(3);
  old.message_ended(1);
  const Journal read(folder, kOwnershipTestLimit);
  EXPECT_EQ(read.generation(), 3u);
  EXPECT_TRUE(read.held().empty());
}

// The old owner died while frozen: the next one fences it off itself, if it has read all records.
TEST_F(JournalOwnership, TheNextOwnerClaimsFromADeadOne) {
  Journal old(folder, kOwnershipTestLimit);
  old.message_accepted(1, entry("a"));
  Journal next(folder, kOwnershipTestLimit, Journal::Access::observer);
  Journal late(folder, kOwnershipTestLimit, Journal::Access::observer);
  next.claim(2);
  next.message_accepted(2, entry("b"));
  EXPECT_THROW(old.message_accepted(2, entry("b")),
               JournalError);  // still alive, but fenced off: it cannot append
  EXPECT_THROW(late.claim(2), JournalError);
}

// A fence survives a compaction, and an owner that was fenced off detects it even if the file was replaced.
TEST_F(JournalOwnership, ACompactionKeepsTheFence) {
  Journal old(folder, 4000);
  for (StreamId s = 1; s <= 3; ++s) old.message_accepted(s, entry("m" + std::to_string(s)));
  Journal next(folder, 4000, Journal::Access::observer);
  old.fence(2);
  next.claim(2);
  for (int i = 0; i < 200; ++i) {
    next.attempt_started(1, WallTime(0), 0);
    next.attempt_ended(1, false);
  }
  EXPECT_GT(next.compactions(), 0u);
  EXPECT_THROW(old.message_ended(1), JournalError);
  EXPECT_EQ(Journal(folder, 4000).generation(), 2u);
}

TEST_F(JournalOwnership, ASecondProcessDoesNotGetTheLock) {
  const FileDescriptor first = lock_journal(folder, Time(0));
  EXPECT_THROW(lock_journal(folder, std::chrono::milliseconds(30)), JournalError);
  const FileDescriptor copy(::dup(first.get()));  // as passed on in a handover
  EXPECT_THROW(lock_journal(folder, Time(0)), JournalError);
}

}  // namespace
}  // namespace fennellane
