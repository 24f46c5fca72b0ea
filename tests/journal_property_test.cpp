// The journal against a plain map, while its disk takes only a part of what is written, and over crashes.
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

constexpr std::uint64_t kMostBytes = 6000;

// A disk on which no file grows beyond a size.
class Disk {
 public:
  Disk() {
    std::signal(SIGXFSZ, SIG_IGN);
    getrlimit(RLIMIT_FSIZE, &usual_);
  }
  ~Disk() { heal(); }
  Disk(const Disk&) = delete;
  Disk& operator=(const Disk&) = delete;
  void fail_beyond(std::uint64_t size) {
    const rlimit full{static_cast<rlim_t>(size), usual_.rlim_max};
    setrlimit(RLIMIT_FSIZE, &full);
  }
  void heal() { setrlimit(RLIMIT_FSIZE, &usual_); }

 private:
  rlimit usual_{};
};

// What a life knows of a message, as text that can be compared.
using Held = std::map<StreamId, std::string>;
std::string text_of(const JournalEntry& e) {
  return e.id + " " + std::to_string(e.attempts) + (e.in_flight ? " out" : "") +
         (e.may_have_run ? " doubt" : "") + (e.verdict ? " given up " : " ") + *e.body;
}
Held held_of(const Journal& journal) {
  Held held;
  for (const auto& [stream, entry] : journal.held()) held[stream] = text_of(entry);
  return held;
}

// What the next life reads after a crash at this moment, `torn` bytes of the next record already written.
Held after_a_crash(const std::string& folder, std::size_t torn) {
  const standin::TemporaryFolder copy("journal");
  fs::copy_file(folder + "/journal", copy.path() + "/journal");
  std::ofstream(copy.path() + "/journal", std::ios::app | std::ios::binary) << std::string(torn, '\x07');
  return held_of(Journal(copy.path(), kMostBytes));
}

class Story {
 public:
  Story() : journal_(folder_.path(), kMostBytes) {}

  void step() {
    switch (*rc::gen::inRange(0, 10)) {
      case 0:
        disk_.fail_beyond(journal_.size() + *rc::gen::inRange<std::uint64_t>(0, 60));
        break;
      case 1:
        disk_.heal();
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
    // A step that fails may have written all anew before, so the file may have caught up.
    if (read == model_) recorded_ = model_;
    RC_ASSERT(read == recorded_);
  }
  void finish() {
    disk_.heal();
    RC_ASSERT(journal_.repair());
    RC_ASSERT(read_copy() == model_);
  }

 private:
  // The disk's limit binds this process; the copy must be whole.
  Held read_copy() {
    rlimit now{};
    getrlimit(RLIMIT_FSIZE, &now);
    disk_.heal();
    const Held read = after_a_crash(folder_.path(), *rc::gen::inRange<std::size_t>(0, 12));
    setrlimit(RLIMIT_FSIZE, &now);
    return read;
  }

  void record() {
    const bool begins = entries_.empty() || *rc::gen::inRange(0, 3) == 0;
    if (begins) return take_on();
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
  void take_on() {
    JournalEntry e;
    const StreamId stream = next_++;
    e.id = "m" + std::to_string(stream);
    e.body = std::make_shared<const std::string>(*rc::gen::inRange<std::size_t>(0, 80), 'x');
    if (!journal_.has_room(e.id.size(), e.body->size()) || !journal_.message_accepted(stream, e)) return;
    entries_[stream] = e;
    model_[stream] = text_of(e);
  }

  const standin::TemporaryFolder folder_{"journal"};
  Disk disk_;
  Journal journal_;
  StreamId next_ = 1;
  std::map<StreamId, JournalEntry> entries_;
  Held model_;     // as the journal says it
  Held recorded_;  // as the file has to say it while storage fails
};

TEST(JournalProperty, TellsTheNextLifeWhatHasBeenRecordedWhateverTheDiskTakes) {
  EXPECT_TRUE(rc::check([] {
    Story story;
    const int steps = *rc::gen::inRange(1, 60);
    for (int i = 0; i < steps; ++i) story.step();
    story.finish();
  }));
}

// Guards against bytes that changed on the disk: what is read is what had been recorded, up to some point.
TEST(JournalProperty, ReadsNothingThatWasNotRecordedFromAFileThatWasDamaged) {
  EXPECT_TRUE(rc::check([] {
    const standin::TemporaryFolder folder("journal");
    std::vector<Held> moments{{}};
    {
      Journal journal(folder.path(), kMostBytes);
      for (StreamId stream = 1; stream <= 6; ++stream) {
        JournalEntry e;
        e.id = "m" + std::to_string(stream);
        e.body = std::make_shared<const std::string>(20, 'x');
        RC_ASSERT(journal.message_accepted(stream, e));
        moments.push_back(held_of(journal));
        RC_ASSERT(journal.attempt_started(stream, Time(5), 1));
        moments.push_back(held_of(journal));
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
    const bool lost = *rc::gen::arbitrary<bool>();
    if (lost) {
      text.erase(at, size);
    } else {
      for (std::size_t i = at; i < std::min(text.size(), at + size); ++i) {
        text[i] = static_cast<char>(*rc::gen::inRange(0, 256));
      }
    }
    std::ofstream(path, std::ios::binary) << text;
    const Held read = held_of(Journal(folder.path(), kMostBytes));
    RC_ASSERT(std::find(moments.begin(), moments.end(), read) != moments.end());
    RC_ASSERT(held_of(Journal(folder.path(), kMostBytes)) == read);
  }));
}

}  // namespace
}  // namespace fennellane
