// Tests of the simulator's wire format against byte strings written for them.
#include <gtest/gtest.h>

#include <string>

#include "instances.hpp"

namespace {

using starlinghook::Outcome;
using starlinghook::Time;

std::string number(std::uint64_t value, int width) {
  std::string s;
  for (int i = width; i-- > 0;) s.push_back(static_cast<char>(value >> (8 * i) & 0xff));
  return s;
}
std::string record(std::string fields) {
  fields.resize(wire::kEventSize, '\0');
  return fields;
}
std::string frame(std::uint64_t clock, const std::vector<std::string>& records,
                  const std::string& tail = "") {
  std::string body;
  for (const std::string& r : records) body += r;
  body += tail;
  return number(16 + body.size(), 4) + number(records.size(), 4) + number(clock, 8) + body;
}
std::string entry(int zone, int kind, std::uint32_t rate_bits, std::uint32_t endpoint, int condition,
                  int destination) {
  return number(zone, 1) + number(kind, 2) + number(rate_bits, 4) + number(endpoint, 4) +
         number(condition, 1) + number(0, 8) + number(destination, 2);
}
const char* const kSettings =
    "n_instances=2\ndomain.max_calls=8\nlimits.max_open=40\nlimits.max_attempts=12\n"
    "limits.connect_timeout_us=1500000\nguarantees.stop_sending_within_us=500000\nguarantees.cold_us="
    "9000000\n"
    "guarantees.cold_from=0.2\nguarantees.overload_factor=2.0\nguarantees.fall_us=3000000\nskus=a,b\n"
    "request_classes.count=1\nrequest_classes.0.effect=free\nrequest_classes.0.aim_us=2000000\n"
    "request_classes.0.give_up_us=8000000\nsome.new_key=anything\n";
std::string new_instance_record(int instance, std::size_t from, std::size_t length) {
  return record(number(25, 1) + number(instance, 2) + number(7, 8) + number(from, 4) + number(length, 4));
}
std::string list_record(int list, std::size_t from, std::size_t entries) {
  return record(number(18, 1) + number(list, 2) + number(from, 4) + number(entries, 4));
}
std::string list_change_record(int instance, int form, int list) {
  return record(number(23, 1) + number(instance, 2) + number(form, 1) + number(list, 2) + number(1, 4));
}
std::string message_record(int instance, std::uint64_t id, std::uint32_t destination_bits) {
  return record(number(21, 1) + number(instance, 2) + number(id, 8) + number(0, 1) + number(0, 4) +
                number(0, 8) + number(8000000, 4) + number(0, 4) + number(destination_bits, 4) +
                number(0, 1));
}
constexpr std::uint32_t kOne = 0x3f800000, kTwo = 0x40000000, kForty = 0x42200000;

TEST(Codec, DecodesAnOutcomeWithWaitAndReport) {
  std::string r = record(number(17, 1) + number(3, 2) + number(99, 8) + number(2, 1) + number(5, 4) +
                         number(2, 2) + number(1234, 4) + number(0, 1) + number(750, 4) + number(2, 1) +
                         number(0x3f000000, 4) + number(kTwo, 4));
  wire::Batch batch = wire::decode_batch(frame(1000, {r}));
  ASSERT_EQ(batch.events.size(), 1u);
  EXPECT_EQ(batch.clock, Time(1000));
  const wire::EventRecord& e = batch.events[0];
  EXPECT_EQ(e.instance, 3);
  EXPECT_EQ(e.ended.id, 99u);
  EXPECT_EQ(e.ended.attempt, 2u);
  EXPECT_EQ(e.ended.endpoint, 5u);
  EXPECT_EQ(e.ended.outcome, Outcome::full);
  EXPECT_EQ(e.ended.retry_after, Time(750000));
  EXPECT_FALSE(e.ended.finished);
  ASSERT_EQ(e.stat_count, 2);
  EXPECT_FLOAT_EQ(e.stats[0], 0.5F);
  EXPECT_FLOAT_EQ(e.stats[1], 2.0F);
}

TEST(Codec, DistinguishesAMissingSlotFromOtherUnsentCalls) {
  auto unsent_call = [](int note) {
    return record(number(17, 1) + number(3, 2) + number(99, 8) + number(0, 1) + number(5, 4) + number(7, 2) +
                  number(0, 4) + number(0, 1) + number(note, 4));
  };
  wire::Batch batch = wire::decode_batch(frame(1, {unsent_call(1), unsent_call(0)}));
  EXPECT_TRUE(batch.events[0].ended.no_slot);
  EXPECT_FALSE(batch.events[1].ended.no_slot);
  EXPECT_EQ(batch.events[0].ended.retry_after, Time(0));
}

TEST(Codec, RejectsInconsistentFrames) {
  std::string valid = frame(1, {record(number(26, 1) + number(3, 2) + number(9, 8))});
  EXPECT_EQ(wire::decode_batch(valid).events.size(), 1u);
  EXPECT_THROW(wire::decode_batch(valid.substr(0, valid.size() - 1)), wire::InputError);
  EXPECT_THROW(wire::decode_batch(valid + "x"), wire::InputError);
  EXPECT_THROW(wire::decode_batch(frame(1, {record(number(99, 1))})), wire::InputError);
  EXPECT_THROW(wire::decode_batch(frame(1, {list_record(0, 0, 1)}, "short")), wire::InputError);
  EXPECT_THROW(wire::decode_batch(frame(1, {list_record(16, 0, 0)})), wire::InputError);
  EXPECT_THROW(wire::decode_batch(frame(1, {list_change_record(0, 4, 0)})), wire::InputError);
  std::string note =
      record(number(19, 1) + number(3, 2) + number(2, 4) + number(0xffffffff, 4) + number(4, 4));
  EXPECT_THROW(wire::decode_batch(frame(1, {note}, "hi 7")), wire::InputError);
  std::string outcome =
      record(number(17, 1) + number(3, 2) + number(99, 8) + number(0, 1) + number(5, 4) + number(8, 2));
  EXPECT_THROW(wire::decode_batch(frame(1, {outcome})), wire::InputError);
  EXPECT_THROW(wire::decode_batch(frame(1, {message_record(0, 1, 0x7fc00000)})), wire::InputError);
}

TEST(Codec, EncodesEveryAction) {
  using namespace starlinghook;
  wire::ReplyWriter w;
  w.add(3, Send{0x26ffa5d3a91c4, 0x3124a07, Time(80000)});
  w.add(3, Refuse{9, Time(250000)});
  w.add(3, Fail{9});
  w.add(3, Cancel{9, 2});
  w.add(3, Probe{7});
  w.add(3, SetTimer{Time(0x87fd7a), 0x4d});
  w.add(3, WatchList{});
  w.add(3, FetchList{});
  w.add(5, LogMessage{"two"});
  auto action = [](std::string s) {
    s.resize(wire::kActionSize, '\0');
    return s;
  };
  std::string instance = number(3, 2);
  std::string body = action(number(16, 1) + instance + number(0x26ffa5d3a91c4, 8) + number(0x3124a07, 4) +
                            number(80000, 4)) +
                     action(number(17, 1) + instance + number(9, 8) + number(250000, 4)) +
                     action(number(18, 1) + instance + number(9, 8)) +
                     action(number(19, 1) + instance + number(9, 8) + number(2, 1)) +
                     action(number(21, 1) + instance + number(7, 4)) +
                     action(number(20, 1) + instance + number(0x87fd7a, 8) + number(0x4d, 8)) +
                     action(number(26, 1) + instance + number(1, 1)) + action(number(27, 1) + instance) +
                     action(number(24, 1) + number(5, 2) + number(0, 4) + number(3, 4)) + "two";
  EXPECT_EQ(w.finish(), number(8 + body.size(), 4) + number(9, 4) + body);
  EXPECT_EQ(w.finish(), number(8, 4) + number(0, 4));
}

TEST(Codec, ClampsATimeoutThatDoesNotFit) {
  wire::ReplyWriter w;
  w.add(0, starlinghook::Send{1, 2, Time(std::int64_t{1} << 40)});
  EXPECT_EQ(w.finish().substr(8 + 15, 4), std::string(4, '\xff'));
}

TEST(InstanceSettings, IgnoresUnknownKeysAndRejectsMissingOrInvalidOnes) {
  wire::InstanceSettings info = wire::parse_instance_settings(kSettings, 7);
  EXPECT_EQ(info.settings.slots, 8u);
  EXPECT_EQ(info.settings.kinds.size(), 2u);
  EXPECT_EQ(info.settings.classes.at(0).aim, Time(2000000));
  EXPECT_DOUBLE_EQ(info.settings.slow_start_min_share, 0.2);
  std::string text = kSettings;
  std::string broken = text;
  broken.replace(broken.find("max_calls=8"), 11, "max_calls=x");
  EXPECT_THROW(wire::parse_instance_settings(broken, 7), wire::InputError);
  broken = text;
  broken.replace(broken.find("effect=free"), 11, "effect=what");
  EXPECT_THROW(wire::parse_instance_settings(broken, 7), wire::InputError);
  EXPECT_THROW(wire::parse_instance_settings("n_instances=2\n", 7), wire::InputError);
}

TEST(Instances, ReusesAListNumberInsideABatch) {
  std::string tail = std::string(kSettings) + entry(0, 0, kForty, 11, 1, 1) + entry(0, 0, kForty, 12, 1, 2);
  std::size_t n = std::string(kSettings).size();
  wire::Instances instances;
  std::string reply = instances.process_frame(
      frame(1000,
            {new_instance_record(0, 0, n), new_instance_record(1, 0, n), list_record(0, n, 1),
             list_change_record(0, 1, 0), list_record(0, n + wire::kEntrySize, 1),
             list_change_record(1, 1, 0), message_record(0, 5, kOne), message_record(1, 6, kTwo)},
            tail));
  std::string first = number(16, 1) + number(0, 2) + number(5, 8) + number(11, 4);
  std::string second = number(16, 1) + number(1, 2) + number(6, 8) + number(12, 4);
  EXPECT_NE(reply.find(first), std::string::npos);
  EXPECT_NE(reply.find(second), std::string::npos);
}

TEST(Instances, ListedRatesApplyUnlessWeightsAreNone) {
  // Twelve messages for a destination listed with 1: as a rate that is one call a second, otherwise there is
  // no pace.
  for (bool listed : {true, false}) {
    const std::string text = std::string(kSettings) + (listed ? "weights=nominal\n" : "weights=none\n");
    const std::string tail = text + entry(0, 0, 0x3f800000, 11, 1, 1);
    wire::Instances instances;
    instances.process_frame(frame(
        1000,
        {new_instance_record(0, 0, text.size()), list_record(0, text.size(), 1), list_change_record(0, 1, 0)},
        tail));
    std::size_t sent = 0;
    for (std::uint64_t id = 1; id <= 12; ++id) {
      const std::uint64_t clock = 1000 + id * 10000;
      const std::string reply = instances.process_frame(frame(clock, {message_record(0, id, kOne)}));
      for (std::uint64_t done = 1; done <= id; ++done) {
        if (reply.find(number(16, 1) + number(0, 2) + number(done, 8)) == std::string::npos) continue;
        ++sent;
        instances.process_frame(
            frame(clock + 5000, {record(number(17, 1) + number(0, 2) + number(done, 8) + number(0, 1) +
                                        number(11, 4) + number(1, 2) + number(5000, 4) + number(1, 1))}));
      }
    }
    if (listed) {
      EXPECT_LE(sent, 2u);
    } else {
      EXPECT_EQ(sent, 12u);
    }
  }
}

TEST(InstanceSettings, ReadsOptionalSettings) {
  const wire::InstanceSettings info = wire::parse_instance_settings(
      std::string(kSettings) +
          "limits.streams_per_conn=8\nguarantees.key_quiet_us=100000\ndomain.late=by_half\n"
          "domain.kind_batch=5,1\nfeedback.names=x0,x1\nrequest_classes.0.sequential=true\n",
      7);
  EXPECT_EQ(info.settings.calls_per_connection, 8u);
  EXPECT_EQ(info.settings.key_quiet_time, Time(100000));
  EXPECT_EQ(info.settings.late_worth_decay, starlinghook::LateWorthDecay::exponential);
  EXPECT_EQ(info.settings.kinds.at(0).max_batch, 5u);
  EXPECT_TRUE(info.settings.reports_allowance);
  EXPECT_TRUE(info.settings.classes.at(0).sequential);
}

TEST(Instances, AKillClearsAllStateAndARestartInTheSameBatchWorks) {
  std::string tail = std::string(kSettings) + entry(0, 0, kForty, 11, 1, 1);
  std::size_t n = std::string(kSettings).size();
  wire::Instances instances;
  instances.process_frame(
      frame(1000, {new_instance_record(0, 0, n), list_record(0, n, 1), list_change_record(0, 1, 0)}, tail));
  std::string kill = record(number(22, 1) + number(0, 2));
  std::string reply = instances.process_frame(
      frame(2000, {kill, new_instance_record(0, 0, n), message_record(0, 5, kOne)}, kSettings));
  EXPECT_EQ(reply.find(number(16, 1) + number(0, 2) + number(5, 8)), std::string::npos)
      << "its list was discarded";
  EXPECT_THROW(instances.process_frame(frame(3000, {kill, message_record(0, 6, kOne)})), wire::InputError);
}

TEST(Instances, AnswersAnEmptyBatch) {
  wire::Instances instances;
  EXPECT_EQ(instances.process_frame(frame(1, {})), number(8, 4) + number(0, 4));
}

TEST(Instances, ReportsAnExceptionOfTheLibraryAsPanic) {
  std::string tail = kSettings;
  wire::Instances instances;
  instances.process_frame(frame(1000, {new_instance_record(0, 0, tail.size())}, tail));
  std::string probe = record(number(16, 1) + number(0, 2) + number(77, 4) + number(1, 2));
  std::string reply = instances.process_frame(frame(2000, {probe}));  // for an endpoint that is in no list
  EXPECT_EQ(static_cast<unsigned char>(reply.at(8)), 25u);
}

}  // namespace
