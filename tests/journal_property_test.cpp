// Property tests of the journal against a map as a model, with writes that fail partway and with crashes.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <stdlib.h>
#include <sys/resource.h>

#include <csignal>
#include <filesystem>
#include <fstream>

#include "journal.hpp"
#include "temporary_folder.hpp"

namespace fennellane {
namespace {

namespace fs = std::filesystem;

constexpr std::uint64_t kMaxBytes = 6000;

// Limits the size of files, as a full disk does.
class DiskLimit {
 public:
  DiskLimit() {
    std::signal(SIGXFSZ, SIG_IGN);
    getrlimit(RLIMIT_FSIZE, &original_);
  }
  ~DiskLimit() { remove_limit(); }
  DiskLimit(const DiskLimit&) = delete;
  DiskLimit& operator=(const DiskLimit&) = delete;
  void limit_file_size(std::uint64_t size) {
    const rlimit full{static_cast<rlim_t>(size), original_.rlim_max};
    setrlimit(RLIMIT_FSIZE, &full);
  }
  void remove_limit() { setrlimit(RLIMIT_FSIZE, &original_); }

 private:
  rlimit original_{};
};

// A journal's held messages, as text for comparison.
using Held = std::map<StreamId, std::string>;
std::string text_of(const JournalEntry& e) {
  return e.id + " " + std::to_string(e.attempts) + (e.in_flight ? " in flight" : "") +
         (e.may_have_run ? " may have run" : "") + (e.verdict ? " given up " : " ") + *e.body;
}
Held held_of(const Journal& journal) {
  Held held;
  for (const auto& [stream, entry] : journal.held()) held[stream] = text_of(entry);
  return held;
}

// What the next process reads after a crash at this point, with `torn` bytes of the next record written.
Held read_after_crash(const std::string& folder, std::size_t torn) {
  const standin::TemporaryFolder copy("journal");
  fs::copy_file(folder + "/journal", copy.path() + "/journal");
  std::ofstream(copy.path() + "/journal", std::ios::app | std::ios::binary) << std::string(torn, '\x07');
  return held_of(Journal(copy.path(), kMaxBytes));
}

class JournalScenario {
 public:
  JournalScenario() : journal_(folder_.path(), kMaxBytes) {}

  void step() {
    switch (*rc::gen::inRange(0, 10)) {
      case 0:
        disk_limit_.limit_file_size(journal_.size() + *rc::gen::inRange<std::uint64_t>(0, 60));
        break;
      case 1:
        disk_limit_.remove_limit();
        break;
      case 2:
        journal_.repair();
        break;
      default:
        record();
    }
    RC_ASSERT(held_of(journal_) == model_);
    const Held read = read_copy();
    if (!journal_.failure()) RC_ASSERT(read == model_);
    // A failed step may have rewritten the journal before it failed, so the file may be up to date.
    if (read == model_) recorded_ = model_;
    RC_ASSERT(read == recorded_);
  }
  void finish() {
    disk_limit_.remove_limit();
    RC_ASSERT(journal_.repair());
    RC_ASSERT(read_copy() == model_);
  }

 private:
  // The file size limit applies to this process; the copy must be complete.
  Held read_copy() {
    rlimit now{};
    getrlimit(RLIMIT_FSIZE, &now);
    disk_limit_.remove_limit();
    const Held read = read_after_crash(folder_.path(), *rc::gen::inRange<std::size_t>(0, 12));
    setrlimit(RLIMIT_FSIZE, &now);
    return read;
  }

  void record() {
    const bool accepts = entries_.empty() || *rc::gen::inRange(0, 3) == 0;
    if (accepts) return accept();
    const auto it =
        std::next(entries_.begin(), *rc::gen::inRange<long>(0, static_cast<long>(entries_.size())));
    const StreamId stream = it->first;
    JournalEntry& e = it->second;
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        if (e.in_flight || !journal_.attempt_started(stream, Time(5), 1)) return;
        ++e.attempts;
        e.in_flight = true;
        break;
      case 1:
        if (!e.in_flight) return;
        journal_.attempt_ended(stream, true);
        e.in_flight = false;
        e.may_have_run = true;
        break;
      case 2:
        journal_.message_given_up(stream, Verdict::undeliverable, Time(0));
        e.verdict = Verdict::undeliverable;
        break;
      default:
        journal_.message_ended(stream);
        model_.erase(stream);
        entries_.erase(it);
        return;
    }
    model_[stream] = text_of(e);
  }
  void accept() {
    JournalEntry e;
    const StreamId stream = next_++;
    e.id = "m" + std::to_string(stream);
    e.body = std::make_shared<const std::string>(*rc::gen::inRange<std::size_t>(0, 80), 'x');
    if (!journal_.has_room(e.id.size(), e.body->size()) || !journal_.message_accepted(stream, e)) return;
    entries_[stream] = e;
    model_[stream] = text_of(e);
  }

  const standin::TemporaryFolder folder_{"journal"};
  DiskLimit disk_limit_;
  Journal journal_;
  StreamId next_ = 1;
  std::map<StreamId, JournalEntry> entries_;
  Held model_;     // the expected state in memory
  Held recorded_;  // the expected state of the file while storage fails
};

TEST(JournalProperty, RestoresRecordedStateDespiteDiskFailures) {
  EXPECT_TRUE(rc::check([] {
    JournalScenario scenario;
    const int steps = *rc::gen::inRange(1, 60);
    for (int i = 0; i < steps; ++i) scenario.step();
    scenario.finish();
  }));
}

// After bytes of the file were changed or lost, the journal must read a state that was recorded at some
// point.
TEST(JournalProperty, ReadsOnlyRecordedStatesFromADamagedFile) {
  EXPECT_TRUE(rc::check([] {
    const standin::TemporaryFolder folder("journal");
    std::vector<Held> states{{}};
    {
      Journal journal(folder.path(), kMaxBytes);
      for (StreamId stream = 1; stream <= 6; ++stream) {
        JournalEntry e;
        e.id = "m" + std::to_string(stream);
        e.body = std::make_shared<const std::string>(20, 'x');
        RC_ASSERT(journal.message_accepted(stream, e));
        states.push_back(held_of(journal));
        RC_ASSERT(journal.attempt_started(stream, Time(5), 1));
        states.push_back(held_of(journal));
      }
    }
    const std::string path = folder.path() + "/journal";
    std::string text;
    {
      std::ifstream in(path, std::ios::binary);
      text.assign(std::istreambuf_iterator<char>(in), {});
    }
    const std::size_t magic = 21;
    const auto at = *rc::gen::inRange<std::size_t>(magic, text.size());
    const auto size = *rc::gen::inRange<std::size_t>(1, 40);
    const bool erased = *rc::gen::arbitrary<bool>();
    if (erased) {
      text.erase(at, size);
    } else {
      for (std::size_t i = at; i < std::min(text.size(), at + size); ++i) {
        text[i] = static_cast<char>(*rc::gen::inRange(0, 256));
      }
    }
    std::ofstream(path, std::ios::binary) << text;
    const Held read = held_of(Journal(folder.path(), kMaxBytes));
    RC_ASSERT(std::find(states.begin(), states.end(), read) != states.end());
    RC_ASSERT(held_of(Journal(folder.path(), kMaxBytes)) == read);
  }));
}

}  // namespace
}  // namespace fennellane
