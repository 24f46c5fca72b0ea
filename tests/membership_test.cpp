// From the bytes of Consul's answers to the list: reader, membership and what is kept, without a socket.
#include "membership.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <filesystem>
#include <fstream>
#include <map>

#include "answer_reader.hpp"
#include "consul_agent.hpp"
#include "list_store.hpp"
#include "net_fixture.hpp"
#include "temporary_folder.hpp"
#include "watch_plan.hpp"

namespace fennellane {
namespace {

using standin::CatalogueHost;
using starlinghook::Condition;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kServices = 2;

ConsulSettings consul_settings() {
  ConsulSettings settings;
  settings.services.resize(kServices);
  settings.services[0].name = "bank";
  settings.services[1].name = "office";
  settings.services[1].destination = 9;
  settings.membership.services = kServices;
  settings.membership.max_loss_share = 1;      // nothing is held back
  settings.membership.damping.suppress = 1e9;  // nothing waits
  return settings;
}

CatalogueHost catalogue_host(const std::string& id, int destination, int port = 1000) {
  CatalogueHost host;
  host.id = id;
  host.port = port;
  host.meta = {{"destination", std::to_string(destination)}, {"rate", "20"}};
  return host;
}

// The whole of one service's answer.
std::string answer_text(const std::string& service, const std::vector<CatalogueHost>& hosts) {
  std::string text = "[";
  for (const CatalogueHost& h : hosts)
    text += (text.size() > 1 ? ", " : "") + standin::element_json(service, h);
  return text + "]\n";
}

// What the relay does with the list's changes.
using Listed = std::map<std::string, HostEntry>;
void adopt(Listed& listed, const HostList& list) {
  if (list.full) listed.clear();
  for (const HostEntry& entry : list.hosts) {
    if (entry.condition == Condition::gone) {
      listed.erase(entry.id);
    } else {
      listed[entry.id] = entry;
    }
  }
}

class Pipeline {
 public:
  explicit Pipeline(const ConsulSettings& s = consul_settings()) : settings(s), membership(s.membership) {
    for (std::uint32_t i = 0; i < kServices; ++i) {
      readers.push_back(std::make_unique<AnswerReader>(settings, i, names, AnswerLimits{}));
    }
  }
  MembershipChange take(std::uint32_t service, const std::string& text, bool leader = true) {
    readers[service]->begin();
    std::mt19937 random(static_cast<unsigned>(text.size()));
    for (const std::string_view piece : test::split_at_random(text, random)) readers[service]->feed(piece);
    ServiceAnswer answer = readers[service]->finish();
    answer.leader_in_contact = leader;
    return note(membership.apply(now, answer));
  }
  MembershipChange take(std::uint32_t service, const std::vector<CatalogueHost>& hosts, bool leader = true) {
    return take(service, answer_text(settings.services[service].name, hosts), leader);
  }
  MembershipChange pass(Time span) {
    now += span;
    return note(membership.tick(now));
  }
  void hand_over() {
    const std::string bytes = membership.save();
    std::destroy_at(&membership);
    std::construct_at(&membership, settings.membership);
    membership.load(bytes);
  }
  std::string condition(const std::string& id) const {
    const auto it = listed.find(id);
    if (it == listed.end()) return "gone";
    return it->second.condition == Condition::ready ? "ready" : "draining";
  }

  ConsulSettings settings;
  NamePositions names{{"a", "b"}, {"bank-gateways"}};
  std::vector<std::unique_ptr<AnswerReader>> readers;
  Membership membership;
  Time now = seconds(100);
  Listed listed;

 private:
  MembershipChange note(MembershipChange change) {
    if (change.list) adopt(listed, *change.list);
    return change;
  }
};

// --- Properties
struct Op {
  int kind, service, host, value;
};
std::ostream& operator<<(std::ostream& out, const Op& op) {
  return out << "{" << op.kind << "," << op.service << "," << op.host << "," << op.value << "}";
}
rc::Gen<std::vector<Op>> ops() {
  return rc::gen::container<std::vector<Op>>(
      rc::gen::map(rc::gen::tuple(rc::gen::inRange(0, 9), rc::gen::inRange(0, 2), rc::gen::inRange(0, 5),
                                  rc::gen::inRange(0, 4)),
                   [](const std::tuple<int, int, int, int>& t) {
                     return Op{std::get<0>(t), std::get<1>(t), std::get<2>(t), std::get<3>(t)};
                   }));
}
const char* const kStatus[] = {"passing", "warning", "critical", "passing"};

using World = std::map<std::string, CatalogueHost>;
// Changes one host of the world; node and id of host 4 are those of host 3 on another node.
void change(World& world, const Op& op) {
  const std::string key = std::to_string(op.host);
  if (op.kind == 0 || !world.count(key)) {
    CatalogueHost h =
        catalogue_host("h" + std::to_string(std::min(op.host, 3)), op.value + 1, 1000 + op.host);
    if (op.host == 4) h.node = "node-2";
    h.status = kStatus[op.value];
    world[key] = h;
  } else if (op.kind == 1) {
    world.erase(key);
  } else if (op.kind <= 4) {
    world[key].status = kStatus[op.value];
  } else if (op.kind == 5) {
    world[key].maintenance = op.value % 2 == 0;
  } else if (op.kind == 6) {
    world[key].meta["destination"] = std::to_string(op.value + 1);
  } else if (op.kind == 7) {
    world[key].address = op.value == 0 ? "" : "127.0.0." + std::to_string(op.value + 1);
    world[key].node_address = "127.0.1." + std::to_string(op.host + 1);
  } else {
    world[key].warning = op.value % 2;
  }
}
std::vector<CatalogueHost> hosts_of(const World& world) {
  std::vector<CatalogueHost> hosts;
  for (const auto& [key, host] : world) hosts.push_back(host);
  return hosts;
}
std::string listed_id(const std::string& service, const CatalogueHost& h) {
  return service + "/" + h.node + "/" + h.id + "@" + h.meta.at("destination");
}

// The simple model: the newest whole answer of each service, host by host.
RC_GTEST_PROP(MembershipProperty, AnySequenceOfAnswersLeavesTheListOfTheNewestOnes, ()) {
  const auto steps = *ops();
  Pipeline p;
  std::vector<World> worlds(kServices), answered(kServices);
  std::vector<bool> told(kServices, false);
  int step = 0;
  for (const Op& op : steps) {
    const auto service = static_cast<std::uint32_t>(op.service);
    change(worlds[service], op);
    const std::string text = answer_text(p.settings.services[service].name, hosts_of(worlds[service]));
    if (++step % 4 == 0) {  // an answer that breaks off, or names a host twice, changes nothing
      const bool twice = step % 8 == 0 && !worlds[service].empty();
      const std::string spoilt =
          twice ? text.substr(0, text.rfind(']')) + "," + text.substr(1) : text.substr(0, text.size() / 2);
      RC_ASSERT_THROWS_AS(p.take(service, spoilt), AnswerError);
    } else {
      p.take(service, text);
      answered[service] = worlds[service];
      told[service] = true;
    }
    std::map<std::string, std::string> want, have;
    for (std::size_t s = 0; s < kServices; ++s) {
      for (const auto& [key, h] : answered[s]) {
        const bool down =
            h.maintenance || h.status == "critical" || (h.status == "warning" && h.warning == 0);
        const std::string address = h.address.empty() ? h.node_address : h.address;
        want[listed_id(p.settings.services[s].name, h)] =
            (down ? "draining " : "ready ") + address + ":" + std::to_string(h.port);
      }
    }
    for (const auto& [id, e] : p.listed) {
      have[id] = (e.condition == Condition::ready ? "ready " : "draining ") + e.address.text();
    }
    RC_ASSERT(have == want);
    RC_ASSERT(p.membership.complete() == (told[0] && told[1]));
  }
}

// With damping and the guard against losses at work: a drain is told with the very answer that has it, and is
// not un-told before an answer has; and once nothing changes any more, the list becomes the newest answers'.
RC_GTEST_PROP(MembershipProperty, ADrainIsToldAtOnceAndAllIsSettledInTheEnd, ()) {
  const auto steps = *ops();
  ConsulSettings settings = consul_settings();
  settings.membership.max_loss_share = 0.5;
  settings.membership.damping = {.suppress = 2, .reuse = 1, .half_life = seconds(5), .max_wait = seconds(20)};
  Pipeline p(settings);
  std::vector<World> worlds(kServices);
  for (const Op& op : steps) {
    // Another process takes over.
    if (op.value == 1) p.hand_over();
    const auto service = static_cast<std::uint32_t>(op.service);
    change(worlds[service], op);
    p.take(service, hosts_of(worlds[service]), op.value != 3);
    if (op.value == 2) p.pass(seconds(1));
    for (std::size_t s = 0; s < kServices; ++s) {
      for (const auto& [key, h] : worlds[s]) {
        if (!h.maintenance && h.status != "critical") continue;
        RC_ASSERT(p.condition(listed_id(settings.services[s].name, h)) != "ready");
      }
    }
  }
  p.pass(settings.membership.loss_hold + settings.membership.damping.max_wait + seconds(1));
  RC_ASSERT(p.membership.next_due() == Time::max());
  std::size_t hosts = 0;
  for (std::size_t s = 0; s < kServices; ++s) {
    hosts += worlds[s].size();
    for (const auto& [key, h] : worlds[s]) {
      const bool down = h.maintenance || h.status == "critical" || (h.status == "warning" && h.warning == 0);
      RC_ASSERT(p.condition(listed_id(settings.services[s].name, h)) == (down ? "draining" : "ready"));
    }
  }
  RC_ASSERT(p.listed.size() == hosts);
}

// Bytes that are anything neither crash the reader nor change what it knows.
TEST(AnswerReader, OutlivesGarbage) {
  Pipeline p;
  const std::string good = answer_text("bank", {catalogue_host("a", 1), catalogue_host("b", 1)});
  p.take(0, good);
  for (unsigned seed = 0; seed < 2000; ++seed) {
    std::mt19937 random(seed);
    try {
      p.take(0, test::corrupted_copy(good, random));
    } catch (const AnswerError&) {
    }
    p.take(0, good);
    ASSERT_EQ(p.condition("bank/node-1/a@1"), "ready") << seed;
  }
}

// --- Hard cases, one by one
TEST(Membership, AnUnusableHostIsLeftAsItWasAndHarmsNoOther) {
  Pipeline p;
  CatalogueHost a = catalogue_host("a", 1), b = catalogue_host("b", 1), c = catalogue_host("c", 1);
  p.take(0, {a, b, c});
  a.address = "partner.example";  // there is no DNS
  b.port = 70000;
  c.meta["destination"] = "bank-7";
  CatalogueHost d = catalogue_host("d", 1), e = catalogue_host("e", 1);
  d.port = 0;
  p.take(0, {a, b, c, d, e});
  EXPECT_EQ(p.readers[0]->unusable(), 4u);
  EXPECT_NE(p.readers[0]->first_problem().find("there is no DNS: 'partner.example'"), std::string::npos);
  for (const char* id : {"a", "b", "c", "e"}) {
    EXPECT_EQ(p.condition("bank/node-1/" + std::string(id) + "@1"), "ready") << id;
  }
  EXPECT_EQ(p.condition("bank/node-1/d@1"), "gone");
  b.status = "critical";  // its health is read all the same
  p.take(0, {a, b, c, d, e});
  EXPECT_EQ(p.condition("bank/node-1/b@1"), "draining");
}

TEST(Membership, HalfOfAThousandsHostsUnreadableHarmNoneOfTheOthers) {
  Pipeline p;
  std::vector<CatalogueHost> hosts;
  for (int i = 0; i < 5000; ++i) hosts.push_back(catalogue_host("h" + std::to_string(i), i / 4));
  p.take(0, hosts);
  for (std::size_t i = 0; i < hosts.size(); i += 2) hosts[i].port = -1;
  hosts[1].status = "critical";
  const MembershipChange change = p.take(0, hosts);
  EXPECT_TRUE(change.log_lines.empty());
  EXPECT_EQ(p.readers[0]->unusable(), 2500u);
  EXPECT_LE(p.readers[0]->first_problem().size(), 200u);
  EXPECT_EQ(p.listed.size(), 5000u);
  EXPECT_EQ(p.condition("bank/node-1/h1@0"), "draining");
  EXPECT_EQ(p.condition("bank/node-1/h2@0"), "ready");
}

TEST(Membership, ALossWithoutADrainWaitsForTheLeadersSecondWord) {
  ConsulSettings settings = consul_settings();
  settings.membership.max_loss_share = 0.5;
  Pipeline p(settings);
  const auto a = catalogue_host("a", 1), b = catalogue_host("b", 1), c = catalogue_host("c", 1);
  p.take(0, {a, b, c});
  EXPECT_FALSE(p.take(0, {a, b}).query_again);  // one of three is believed
  EXPECT_EQ(p.condition("bank/node-1/c@1"), "gone");
  p.now += seconds(1);
  const MembershipChange emptied = p.take(0, std::vector<CatalogueHost>{});
  EXPECT_TRUE(emptied.query_again);
  EXPECT_EQ(emptied.log_lines.size(), 1u);
  EXPECT_EQ(p.condition("bank/node-1/a@1"), "ready");
  p.now += milliseconds(1);
  p.take(0, std::vector<CatalogueHost>{},
         false);  // of a server out of touch with its leader: it does not count
  EXPECT_EQ(p.condition("bank/node-1/a@1"), "ready");
  p.now += milliseconds(1);
  p.take(0, std::vector<CatalogueHost>{a});  // one was there all along
  EXPECT_EQ(p.condition("bank/node-1/a@1"), "ready");
  EXPECT_EQ(p.condition("bank/node-1/b@1"), "gone");  // and the other has been missed twice
  p.now += seconds(1);
  p.take(0, std::vector<CatalogueHost>{});
  p.pass(settings.membership.loss_hold);  // nobody says it again
  EXPECT_EQ(p.condition("bank/node-1/a@1"), "gone");
}

// Guards the drain rule against the guard: what drained first is gone at once, however many there are.
TEST(Membership, ALossAfterADrainIsBelievedAtOnce) {
  ConsulSettings settings = consul_settings();
  settings.membership.max_loss_share = 0;
  Pipeline p(settings);
  CatalogueHost a = catalogue_host("a", 1), b = catalogue_host("b", 1);
  p.take(0, {a, b});
  a.status = "critical";
  b.maintenance = true;
  p.take(0, {a, b});
  EXPECT_FALSE(p.take(0, std::vector<CatalogueHost>{}).query_again);
  EXPECT_TRUE(p.listed.empty());
}

TEST(Membership, AHostThatComesAndGoesWaitsLongerAndLonger) {
  ConsulSettings settings = consul_settings();
  settings.membership.damping = {
      .suppress = 3, .reuse = 1.5, .half_life = seconds(15), .max_wait = seconds(60)};
  Pipeline p(settings);
  CatalogueHost a = catalogue_host("a", 1);
  const auto flip = [&] {
    a.status = "critical";
    p.take(0, {a});
    EXPECT_EQ(p.condition("bank/node-1/a@1"), "draining");
    p.now += milliseconds(10);
    a.status = "passing";
    p.take(0, {a});
  };
  p.take(0, {a});
  flip();
  EXPECT_EQ(p.condition("bank/node-1/a@1"), "ready");
  flip();
  EXPECT_EQ(p.condition("bank/node-1/a@1"), "ready");
  for (int i = 0; i < 3; ++i) flip();
  EXPECT_EQ(p.condition("bank/node-1/a@1"), "draining");
  EXPECT_EQ(p.membership.stats().suppressed, 1u);
  // Deregistered and back: what it did before is not forgotten.
  p.take(0, std::vector<CatalogueHost>{});
  p.take(0, {a});
  EXPECT_EQ(p.condition("bank/node-1/a@1"), "draining");
  const Time due = p.membership.next_due();
  EXPECT_LE(due, p.now + seconds(60));
  p.pass(due - p.now);
  EXPECT_EQ(p.condition("bank/node-1/a@1"), "ready");
}

TEST(Membership, WeightsScaleTheRate) {
  for (const RateOf rate_of : {RateOf::host, RateOf::destination}) {
    ConsulSettings settings = consul_settings();
    settings.membership.rate_of = rate_of;
    Pipeline p(settings);
    CatalogueHost a = catalogue_host("a", 1), b = catalogue_host("b", 1);
    a.passing = b.passing = 2;
    a.warning = 0.5;
    p.take(0, {a, b});
    EXPECT_EQ(p.listed.at("bank/node-1/b@1").rate, rate_of == RateOf::host ? 80 : 20);
    a.status = "warning";
    p.take(0, {a, b});
    EXPECT_EQ(p.listed.at("bank/node-1/b@1").rate, rate_of == RateOf::host ? 50 : 12.5);
    a.status = "critical";
    p.take(0, {a, b});
    EXPECT_EQ(p.listed.at("bank/node-1/b@1").rate, rate_of == RateOf::host ? 40 : 20);
  }
}

// Nothing grows with the hosts that have ever been.
TEST(Membership, RemembersOnlyWhatIsThere) {
  Pipeline p;
  for (int i = 0; i < 20000; ++i) {
    p.take(0, {catalogue_host("h" + std::to_string(i), i % 100)});
    p.now += milliseconds(100);
  }
  EXPECT_LE(p.membership.record_count(), 1u + 4096u);
  EXPECT_EQ(p.readers[0]->hosts(), 1u);
  EXPECT_EQ(p.listed.size(), 1u);
}

// --- What is kept for the next life
class Store : public testing::Test {
 protected:
  std::map<std::string, Instance> loaded(const ConsulSettings& settings, std::string* wrong = nullptr) {
    std::map<std::string, Instance> out;
    const std::string said =
        ListStore(folder, 1 << 20).load(settings, p.names, [&](auto, const Instance& i) { out[i.id] = i; });
    if (wrong != nullptr) *wrong = said;
    return out;
  }
  Pipeline p;
  const standin::TemporaryFolder temporary_folder{"list"};
  const std::string& folder = temporary_folder.path();
};

TEST_F(Store, GivesBackWhatWasKept) {
  CatalogueHost a = catalogue_host("a", 1);
  a.meta["zone"] = "b";
  a.warning = 0.25;
  a.status = "warning";
  p.take(0, {a, catalogue_host("b", 2)});
  p.take(1, {catalogue_host("c", 3)});
  EXPECT_EQ(ListStore(folder, 1 << 20).save(p.membership, p.settings, p.names), "");
  std::map<std::string, Instance> before;
  p.membership.for_each_instance([&](auto, const Instance& i) { before[i.id] = i; });
  EXPECT_EQ(loaded(p.settings), before);
  ConsulSettings fewer = p.settings;
  fewer.services.erase(fewer.services.begin());
  EXPECT_EQ(loaded(fewer).size(), 1u);  // a service that is no longer watched is left out
}

TEST_F(Store, TakesADamagedFileForNone) {
  p.take(0, {catalogue_host("a", 1), catalogue_host("b", 2)});
  ASSERT_EQ(ListStore(folder, 1 << 20).save(p.membership, p.settings, p.names), "");
  const std::string path = folder + "/consul.list";
  std::ifstream in(path, std::ios::binary);
  const std::string whole((std::istreambuf_iterator<char>(in)), {});
  for (std::size_t at = 0; at < whole.size(); ++at) {
    std::string damaged = whole;
    damaged[at] = static_cast<char>(damaged[at] ^ 0x20);
    for (const std::string& text : {damaged, whole.substr(0, at)}) {
      std::ofstream(path, std::ios::binary | std::ios::trunc) << text;
      std::string wrong;
      const auto hosts = loaded(p.settings, &wrong);
      EXPECT_TRUE(hosts.empty() || hosts.size() == 2) << at;
      EXPECT_EQ(wrong.empty(), hosts.size() == 2) << at;
    }
  }
}

TEST_F(Store, KeepsWithinItsRoomAndLeavesTheFileBefore) {
  p.take(0, {catalogue_host("a", 1)});
  ASSERT_EQ(ListStore(folder, 1 << 20).save(p.membership, p.settings, p.names), "");
  std::vector<CatalogueHost> many;
  for (int i = 0; i < 500; ++i) many.push_back(catalogue_host("h" + std::to_string(i * 7919), i));
  p.take(0, many);
  EXPECT_NE(ListStore(folder, 512).save(p.membership, p.settings, p.names), "");
  EXPECT_EQ(loaded(p.settings).size(), 1u);
}

// --- Blocking queries
AnswerHead good_head(std::uint64_t index) {
  AnswerHead head;
  head.status = 200;
  head.index = index;
  return head;
}

TEST(WatchPlan, KeepsTheRulesOfTheIndex) {
  ConsulSettings settings = consul_settings();
  settings.consistency = Consistency::stale;
  WatchPlan plan(settings, 7, milliseconds(50), seconds(1));
  EXPECT_EQ(plan.next_query().index, 0u);
  EXPECT_EQ(plan.on_head(good_head(40)), WatchPlan::AnswerUse::usable);
  plan.on_answer_read();
  EXPECT_EQ(plan.next_query().index, 40u);
  EXPECT_LE(plan.next_query().wait, settings.blocking_wait);
  EXPECT_GE(plan.next_query().wait, settings.blocking_wait * 15 / 16);
  AnswerHead error;
  error.status = 500;
  error.index = 3;
  EXPECT_EQ(plan.on_head(error), WatchPlan::AnswerUse::rejected);  // an error's index counts for nothing
  EXPECT_GT(plan.pause(), Time(0));
  EXPECT_EQ(plan.next_query().index, 40u);
  plan.on_failure();
  EXPECT_EQ(plan.next_query().index, 40u);
  EXPECT_EQ(plan.on_head(good_head(39)), WatchPlan::AnswerUse::index_decreased);
  const WatchQuery again = plan.next_query();
  EXPECT_EQ(again.index, 0u);
  EXPECT_EQ(again.consistency, Consistency::normal);  // from the leader
  EXPECT_EQ(plan.pause(), Time(0));
  EXPECT_EQ(plan.on_head(good_head(39)), WatchPlan::AnswerUse::usable);
  plan.on_answer_read();
  EXPECT_EQ(plan.next_query().index, 39u);
  EXPECT_EQ(plan.next_query().consistency, Consistency::stale);
  EXPECT_EQ(plan.on_head(good_head(0)),
            WatchPlan::AnswerUse::index_decreased);  // never below 1, and that is less than 39
  EXPECT_EQ(plan.next_query().index, 0u);
  EXPECT_EQ(plan.on_head(good_head(0)), WatchPlan::AnswerUse::rejected);  // no Consul at all
}

TEST(WatchPlan, AsksTheLeaderWhereAServerIsOutOfTouch) {
  ConsulSettings settings = consul_settings();
  settings.consistency = Consistency::stale;
  WatchPlan plan(settings, 7, milliseconds(50), seconds(1));
  plan.next_query();
  AnswerHead far = good_head(4);
  far.last_contact = settings.max_stale + milliseconds(1);
  EXPECT_EQ(plan.on_head(far), WatchPlan::AnswerUse::without_leader);
  plan.on_answer_read();
  EXPECT_EQ(plan.next_query().consistency, Consistency::normal);
  AnswerHead headless = good_head(5);
  headless.known_leader = false;
  EXPECT_EQ(plan.on_head(headless), WatchPlan::AnswerUse::without_leader);
  plan.on_answer_read();
  plan.query_again();
  EXPECT_EQ(plan.next_query().index, 0u);
  EXPECT_TRUE(plan.from_leader());
}

TEST(WatchPlan, WaitsLongerAndNeverInStep) {
  const ConsulSettings settings = consul_settings();
  WatchPlan one(settings, 1, milliseconds(50), seconds(1)), other(settings, 2, milliseconds(50), seconds(1));
  bool apart = false;
  for (int i = 0; i < 40; ++i) {
    one.on_failure();
    other.on_failure();
    apart = apart || one.pause() != other.pause();
    EXPECT_LE(one.pause(), seconds(1));
    EXPECT_GE(one.pause(), i < 5 ? milliseconds(25) : milliseconds(500));
  }
  EXPECT_TRUE(apart);
  AnswerHead turned_away;
  turned_away.status = 429;
  turned_away.retry_after = seconds(3);
  one.on_head(turned_away);
  EXPECT_GE(one.pause(), seconds(3));
}

TEST(QueryBudget, LetsSoManyGoInASecond) {
  QueryRateLimiter budget(10);
  std::size_t went = 0;
  Time now = seconds(1000);
  const Time end = now + seconds(10);
  while (now < end) {
    now = std::max(now, budget.reserve(now));
    ++went;
  }
  EXPECT_GE(went, 100u);
  EXPECT_LE(went, 112u);
}

}  // namespace
}  // namespace fennellane
