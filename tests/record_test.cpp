// The flight record: what it keeps through a kill, a full ring, a full disk and noise, and what it tells.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>
#include <thread>

#include "fleet.hpp"
#include "recorder.hpp"
#include "relay_fixture.hpp"
#include "report.hpp"
#include "temporary_folder.hpp"

namespace fennellane::record {
namespace {

class Folder : public ::testing::Test {
 protected:
  static Entry entry(std::uint64_t subject) {
    Entry e;
    e.kind = Kind::call;
    e.subject = subject;
    e.at = static_cast<std::int64_t>(subject);
    return e;
  }
  const standin::TemporaryFolder folder_{"record"};
  const std::string path_ = folder_.path() + "/record";
  const std::size_t size_ = record_file_size(64 * 1024);
};
using RecordFileTest = Folder;

TEST_F(RecordFileTest, KeepsTheNewestOfARingAndGoesOnInTheNextLife) {
  const std::size_t capacity = (size_ - kHeaderSize - kLegendSize) / sizeof(Entry);
  const std::uint64_t first = capacity + 100;
  {
    RecordFile file(path_, size_);
    file.set_legend("relay n0\n");
    for (std::uint64_t i = 1; i <= first; ++i) file.append(entry(i));
  }
  {
    RecordFile file(path_, size_);
    file.append(entry(first + 1));
  }
  const Contents contents = read_record(path_);
  EXPECT_EQ(contents.legend, "relay n0\n");
  ASSERT_EQ(contents.entries.size(), capacity);
  EXPECT_EQ(contents.entries.back().subject, first + 1);
  EXPECT_EQ(contents.entries.front().subject, first + 2 - capacity);
  EXPECT_EQ(contents.overwritten, first + 1 - capacity);
}

TEST_F(RecordFileTest, WhatAKilledProcessHasNotedIsThere) {
  constexpr std::uint64_t kNotes = 500;
  const pid_t child = ::fork();
  if (child == 0) {
    RecordFile file(path_, size_);
    for (std::uint64_t i = 1; i <= kNotes; ++i) file.append(entry(i));
    ::kill(::getpid(), SIGKILL);
  }
  int status = 0;
  ASSERT_EQ(::waitpid(child, &status, 0), child);
  ASSERT_TRUE(WIFSIGNALED(status));
  const Contents contents = read_record(path_);
  ASSERT_EQ(contents.entries.size(), kNotes);
  EXPECT_EQ(contents.entries.back().subject, kNotes);
}

// A reader beside a writer that goes round the ring as fast as it can: each entry that it is shown is whole.
TEST_F(RecordFileTest, IsReadWholeWhileItIsWritten) {
  const std::size_t capacity = (size_ - kHeaderSize - kLegendSize) / sizeof(Entry);
  std::atomic<std::uint64_t> written = 0;
  RecordFile file(path_, size_);
  const std::jthread writer([&](const std::stop_token& stop) {
    for (std::uint64_t i = 1; !stop.stop_requested(); ++i) {
      Entry e = entry(i);
      e.n = {static_cast<std::uint32_t>(i), static_cast<std::uint32_t>(i), static_cast<std::uint32_t>(i)};
      e.name = short_name(std::to_string(i));
      file.append(e);
      written = i;
    }
  });
  // Reads count from the moment the ring is full: before it, there may be nothing to read.
  while (written < capacity) std::this_thread::yield();
  const std::uint64_t written_before = written;
  std::size_t seen = 0;
  for (int round = 0; round < 200 || written < written_before + capacity; ++round) {
    for (const Entry& e : read_record(path_).entries) {
      ++seen;
      ASSERT_EQ(e.subject, e.sequence);
      ASSERT_EQ(e.n[0], static_cast<std::uint32_t>(e.subject));
      ASSERT_EQ(e.n[2], e.n[0]);
      ASSERT_EQ(e.name_text(), std::to_string(e.subject));
    }
  }
  EXPECT_GT(seen, 0u);
}

TEST(Account, HasATextForEachAdmissionOutcome) {
  for (std::size_t i = 0; i < kAdmissionOutcomeCount; ++i) {
    EXPECT_STRNE(admission_text(static_cast<AdmissionOutcome>(i)), "") << i;
  }
  EXPECT_STREQ(admission_text(static_cast<AdmissionOutcome>(kAdmissionOutcomeCount)), "");
}

// Two relays, alike but for their ends: what each has few of is many together, and a call that follows a
// failure of the same relay is counted apart until one succeeds.
TEST(FleetAccount, AddsUpWhatManyRelaysDid) {
  const auto note = [](std::int64_t second, Kind kind, std::uint64_t subject, std::uint16_t code,
                       std::array<std::uint32_t, 3> n) {
    Entry e;
    e.at = second * 1'000'000;
    e.kind = kind;
    e.subject = subject;
    e.code = code;
    e.n = n;
    return e;
  };
  const auto code = [](starlinghook::Outcome o) { return static_cast<std::uint16_t>(o); };
  using starlinghook::Outcome;
  FleetAccount fleet;
  for (const Outcome last : {Outcome::delivered, Outcome::full}) {
    Contents contents;
    contents.entries = {
        note(10, Kind::began, 0, 0, {1}),
        note(10, Kind::asked, 3, 0, {0, 7, 5000}),
        note(10, Kind::answered, 3, 202, {static_cast<std::uint32_t>(AdmissionOutcome::accepted), 10, 1}),
        note(10, Kind::call, 1, 0, {4, 1000}),
        note(10, Kind::call_ended, 1, code(Outcome::connect_failed), {0, 0, 0}),
        note(11, Kind::call, 1, 1, {4, 1000}),
        note(11, Kind::call_ended, 1, code(last), {1, 0, 0}),
        note(12, Kind::call, 99, 0, {4, 1000}),  // its message is not in the record
        note(12, Kind::given_up, 1, 0, {static_cast<std::uint32_t>(starlinghook::GiveUpReason::deadline), 0}),
    };
    fleet.add(contents);
  }
  EXPECT_EQ(fleet.relays(), 2u);
  const FleetCount first = fleet.seconds().at(10), second = fleet.by_destination().at({7, 11});
  EXPECT_EQ(first.began, 2u);
  EXPECT_EQ(first.taken, 2u);
  EXPECT_EQ(first.first_calls, 2u);
  EXPECT_EQ(first.unconnected, 2u);
  EXPECT_EQ(first.rested, 0u);
  EXPECT_EQ(second.rested, 2u) << "after a failure";
  EXPECT_EQ(second.delivered, 1u);
  EXPECT_EQ(second.no_place, 1u);
  EXPECT_EQ(fleet.seconds().at(12).calls, 2u);
  EXPECT_EQ(fleet.by_destination().at({7, 12}).calls, 0u);
  EXPECT_EQ(fleet.by_destination().at({7, 12}).time, 2u);
}

TEST_F(RecordFileTest, OneOfAnotherSizeIsReplacedAndItsReaderLeftAlone) {
  RecordFile old(path_, size_);
  RecordFile fresh(path_, record_file_size(128 * 1024));
  old.append(entry(1));  // to the file that no longer has the name
  EXPECT_TRUE(read_record(path_).entries.empty());
}

TEST_F(RecordFileTest, ADiskWithoutRoomGivesNoneAndLeavesNothing) {
  const pid_t child = ::fork();
  if (child == 0) {
    std::signal(SIGXFSZ, SIG_IGN);
    const rlimit least{32 * 1024, 32 * 1024};
    ::setrlimit(RLIMIT_FSIZE, &least);
    try {
      RecordFile file(path_, size_);
    } catch (const RecordError&) {
      ::_exit(std::filesystem::exists(path_) ? 2 : 0);
    }
    ::_exit(1);
  }
  int status = 0;
  ASSERT_EQ(::waitpid(child, &status, 0), child);
  EXPECT_EQ(WEXITSTATUS(status), 0);
}

// Noise in place of a file, or of some of its bytes, is refused or left out; whatever is told of the rest.
TEST_F(RecordFileTest, NoiseIsNoRecord) {
  std::mt19937 random(7);
  {
    RecordFile file(path_, size_);
    file.set_legend(legend_text({"n0", {{"note", Time(1), Time(2), 1}}, {"north"}}));
    Entry e;
    for (std::uint64_t i = 1; i <= 400; ++i) {
      e.kind = static_cast<Kind>(1 + random() % (kKinds - 1));
      e.subject = random() % 20;
      e.code = static_cast<std::uint16_t>(random());
      e.n = {static_cast<std::uint32_t>(random() % 20), static_cast<std::uint32_t>(random()), 3};
      e.name = short_name("m" + std::to_string(random() % 9));
      file.append(e);
    }
  }
  std::ostringstream before;
  std::ifstream(path_, std::ios::binary) >> before.rdbuf();
  for (int round = 0; round < 60; ++round) {
    std::string bytes = before.str();
    if (round > 0) {
      for (int i = 0; i < 200; ++i) bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    if (round % 7 == 6) bytes.resize(random() % bytes.size());
    std::ofstream(path_, std::ios::binary) << bytes;
    std::ostringstream out;
    try {
      const Contents contents = read_record(path_);
      const Account account(contents);
      print_summary(account, 100, out);
      for (int i = 0; i < 9; ++i) print_message(account, "m" + std::to_string(i), 100, out);
      print_raw(contents, out);
    } catch (const RecordError&) {
    }
    EXPECT_EQ(round == 0 && out.str().empty(), false);
  }
}

TEST(Names, LongOnesAreToldApart) {
  const std::string a(100, 'a'), b = a + "b";
  EXPECT_EQ(short_name(a), short_name(a));
  EXPECT_NE(short_name(a), short_name(b));
}

// The whole way, with the program: why each of four messages ended as it did, and after SIGKILL as well.
TEST(Why, TellsOfEachMessageHowItEnded) {
  namespace t = fennellane::test;
  std::atomic<bool> silent = false;
  t::Server good([&](const t::Request&) { return t::answer("200 OK"); });
  t::Server full([&](const t::Request&) { return t::answer("429 Wait", "", "X-Come-Back-Ms: 60000\r\n"); });
  t::Server breaks([&](const t::Request&) { return t::kReset; });
  t::Platform platform(
      {{"s-1", good.address(), 7}, {"s-2", full.address(), 8}, {"s-3", breaks.address(), 9}});
  t::RelayProgram relay(platform.address());
  relay.replace_settings("(record (kib 256))");
  relay.start();
  EXPECT_EQ(relay.ask(t::request_text("fine")), 202u);
  EXPECT_EQ(relay.ask(t::request_text("waits", "hello", "note", 8)), 202u);
  EXPECT_EQ(relay.ask(t::request_text("broke", "x", "pay", 9)), 202u);
  EXPECT_EQ(relay.ask(t::request_text("lost", "hello", "note", 77)), 400u);
  const std::string path = relay.state_folder() + "/record";
  const auto told = [&](const std::string& id) {
    std::ostringstream out;
    print_message(Account(read_record(path)), id, 100, out);
    return out.str();
  };
  ASSERT_TRUE(t::happens([&] {
    return told("fine").find("delivered in time") != std::string::npos &&
           told("waits").find("told to wait 60000 ms") != std::string::npos &&
           told("broke").find("the platform has taken its notice") != std::string::npos;
  })) << told("fine")
      << told("waits") << told("broke");
  EXPECT_EQ(relay.ask(t::request_text("fine")), 202u);
  EXPECT_EQ(relay.ask(t::request_text("fine", "another body")), 503u);
  EXPECT_EQ(relay.end(SIGKILL), -SIGKILL);
  // Later requests under an id do not hide what became of the message.
  EXPECT_NE(told("fine").find("delivered in time"), std::string::npos) << told("fine");
  EXPECT_NE(told("fine").find("at the door: held already"), std::string::npos) << told("fine");
  EXPECT_NE(told("fine").find("refused at the door: another message has its id"), std::string::npos)
      << told("fine");
  EXPECT_NE(told("waits").find("given up, as no call would end in time"), std::string::npos) << told("waits");
  EXPECT_NE(told("broke").find("reset after"), std::string::npos) << told("broke");
  EXPECT_NE(told("broke").find("given up, as it may have run and must not be repeated"), std::string::npos);
  EXPECT_NE(told("lost").find("refused at the door: no such destination"), std::string::npos) << told("lost");
}

}  // namespace
}  // namespace fennellane::record
