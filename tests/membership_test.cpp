// From the bytes of Consul's answers to the host list: answer reader, membership, saved list and the rules of
// blocking queries, without sockets.
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
  settings.membership.max_loss_share = 1;      // no loss is held back
  settings.membership.damping.suppress = 1e9;  // no return is delayed
  return settings;
}

CatalogueHost catalogue_host(const std::string& id, int destination, int port = 1000) {
  CatalogueHost host;
  host.id = id;
  host.port = port;
  host.meta = {{"destination", std::to_string(destination)}, {"rate", "20"}};
  return host;
}

// The complete answer for one service.
std::string answer_text(const std::string& service, const std::vector<CatalogueHost>& hosts) {
  std::string text = "[";
  for (const CatalogueHost& h : hosts)
    text += (text.size() > 1 ? ", " : "") + standin::element_json(service, h);
  return text + "]\n";
}

// Applies changes of the host list as the relay does.
using Listed = std::map<std::string, HostEntry>;
void apply_changes(Listed& listed, const HostList& list) {
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
  MembershipChange apply(std::uint32_t service, const std::string& text, bool leader = true) {
    readers[service]->begin();
    std::mt19937 random(static_cast<unsigned>(text.size()));
    for (const std::string_view piece : test::split_at_random(text, random)) readers[service]->feed(piece);
    ServiceAnswer answer = readers[service]->finish();
    answer.leader_in_contact = leader;
    return record(membership.apply(now, answer));
  }
  MembershipChange apply(std::uint32_t service, const std::vector<CatalogueHost>& hosts, bool leader = true) {
    return apply(service, answer_text(settings.services[service].name, hosts), leader);
  }
  MembershipChange advance(Time span) {
    now += span;
    return record(membership.tick(now));
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
  MembershipChange record(MembershipChange change) {
    if (change.list) apply_changes(listed, *change.list);
    return change;
  }
};

// --- Properties
struct Operation {
  int kind, service, host, value;
};
std::ostream& operator<<(std::ostream& out, const Operation& operation) {
  return out << "{" << operation.kind << "," << operation.service << "," << operation.host << ","
             << operation.value << "}";
}
rc::Gen<std::vector<Operation>> random_operations() {
  return rc::gen::container<std::vector<Operation>>(
      rc::gen::map(rc::gen::tuple(rc::gen::inRange(0, 9), rc::gen::inRange(0, 2), rc::gen::inRange(0, 5),
                                  rc::gen::inRange(0, 4)),
                   [](const std::tuple<int, int, int, int>& t) {
                     return Operation{std::get<0>(t), std::get<1>(t), std::get<2>(t), std::get<3>(t)};
                   }));
}
const char* const kStatus[] = {"passing", "warning", "critical", "passing"};

using Catalogue = std::map<std::string, CatalogueHost>;
// Changes one host of the catalogue; host 4 has the id of host 3, on another node.
void change(Catalogue& catalogue, const Operation& operation) {
  const std::string key = std::to_string(operation.host);
  if (operation.kind == 0 || !catalogue.count(key)) {
    CatalogueHost h = catalogue_host("h" + std::to_string(std::min(operation.host, 3)), operation.value + 1,
                                     1000 + operation.host);
    if (operation.host == 4) h.node = "node-2";
    h.status = kStatus[operation.value];
    catalogue[key] = h;
  } else if (operation.kind == 1) {
    catalogue.erase(key);
  } else if (operation.kind <= 4) {
    catalogue[key].status = kStatus[operation.value];
  } else if (operation.kind == 5) {
    catalogue[key].maintenance = operation.value % 2 == 0;
  } else if (operation.kind == 6) {
    catalogue[key].meta["destination"] = std::to_string(operation.value + 1);
  } else if (operation.kind == 7) {
    catalogue[key].address = operation.value == 0 ? "" : "127.0.0." + std::to_string(operation.value + 1);
    catalogue[key].node_address = "127.0.1." + std::to_string(operation.host + 1);
  } else {
    catalogue[key].warning = operation.value % 2;
  }
}
std::vector<CatalogueHost> hosts_of(const Catalogue& catalogue) {
  std::vector<CatalogueHost> hosts;
  for (const auto& [key, host] : catalogue) hosts.push_back(host);
  return hosts;
}
std::string listed_id(const std::string& service, const CatalogueHost& h) {
  return service + "/" + h.node + "/" + h.id + "@" + h.meta.at("destination");
}

// Compares the list with a simple model: the newest valid answer of each service, host by host.
RC_GTEST_PROP(MembershipProperty, ListMatchesTheNewestAnswersAfterAnySequence, ()) {
  const auto steps = *random_operations();
  Pipeline p;
  std::vector<Catalogue> catalogues(kServices), answered(kServices);
  std::vector<bool> answered_once(kServices, false);
  int step = 0;
  for (const Operation& operation : steps) {
    const auto service = static_cast<std::uint32_t>(operation.service);
    change(catalogues[service], operation);
    const std::string text = answer_text(p.settings.services[service].name, hosts_of(catalogues[service]));
    if (++step % 4 == 0) {  // a truncated answer, or one that lists a host twice, changes nothing
      const bool twice = step % 8 == 0 && !catalogues[service].empty();
      const std::string invalid =
          twice ? text.substr(0, text.rfind(']')) + "," + text.substr(1) : text.substr(0, text.size() / 2);
      RC_ASSERT_THROWS_AS(p.apply(service, invalid), AnswerError);
    } else {
      p.apply(service, text);
      answered[service] = catalogues[service];
      answered_once[service] = true;
    }
    std::map<std::string, std::string> expected, actual;
    for (std::size_t s = 0; s < kServices; ++s) {
      for (const auto& [key, h] : answered[s]) {
        const bool down =
            h.maintenance || h.status == "critical" || (h.status == "warning" && h.warning == 0);
        const std::string address = h.address.empty() ? h.node_address : h.address;
        expected[listed_id(p.settings.services[s].name, h)] =
            (down ? "draining " : "ready ") + address + ":" + std::to_string(h.port);
      }
    }
    for (const auto& [id, e] : p.listed) {
      actual[id] = (e.condition == Condition::ready ? "ready " : "draining ") + e.address.text();
    }
    RC_ASSERT(actual == expected);
    RC_ASSERT(p.membership.complete() == (answered_once[0] && answered_once[1]));
  }
}

// With flap damping and loss protection enabled: a drain takes effect with the answer that reports it and
// lasts until an answer reports the host as ready, and the list converges to the newest answers.
RC_GTEST_PROP(MembershipProperty, DrainsTakeEffectAtOnceAndTheListConverges, ()) {
  const auto steps = *random_operations();
  ConsulSettings settings = consul_settings();
  settings.membership.max_loss_share = 0.5;
  settings.membership.damping = {.suppress = 2, .reuse = 1, .half_life = seconds(5), .max_wait = seconds(20)};
  Pipeline p(settings);
  std::vector<Catalogue> catalogues(kServices);
  for (const Operation& operation : steps) {
    // Another process takes over.
    if (operation.value == 1) p.hand_over();
    const auto service = static_cast<std::uint32_t>(operation.service);
    change(catalogues[service], operation);
    p.apply(service, hosts_of(catalogues[service]), operation.value != 3);
    if (operation.value == 2) p.advance(seconds(1));
    for (std::size_t s = 0; s < kServices; ++s) {
      for (const auto& [key, h] : catalogues[s]) {
        if (!h.maintenance && h.status != "critical") continue;
        RC_ASSERT(p.condition(listed_id(settings.services[s].name, h)) != "ready");
      }
    }
  }
  p.advance(settings.membership.loss_hold + settings.membership.damping.max_wait + seconds(1));
  RC_ASSERT(p.membership.next_due() == Time::max());
  std::size_t hosts = 0;
  for (std::size_t s = 0; s < kServices; ++s) {
    hosts += catalogues[s].size();
    for (const auto& [key, h] : catalogues[s]) {
      const bool down = h.maintenance || h.status == "critical" || (h.status == "warning" && h.warning == 0);
      RC_ASSERT(p.condition(listed_id(settings.services[s].name, h)) == (down ? "draining" : "ready"));
    }
  }
  RC_ASSERT(p.listed.size() == hosts);
}

// Arbitrary bytes neither crash the reader nor change its state.
TEST(AnswerReader, SurvivesGarbage) {
  Pipeline p;
  const std::string valid = answer_text("bank", {catalogue_host("a", 1), catalogue_host("b", 1)});
  p.apply(0, valid);
  for (unsigned seed = 0; seed < 2000; ++seed) {
    std::mt19937 random(seed);
    try {
      p.apply(0, test::corrupted_copy(valid, random));
    } catch (const AnswerError&) {
    }
    p.apply(0, valid);
    ASSERT_EQ(p.condition("bank/node-1/a@1"), "ready") << seed;
  }
}

// --- Single cases
TEST(Membership, AnUnusableHostStaysUnchangedAndAffectsNoOther) {
  Pipeline p;
  CatalogueHost a = catalogue_host("a", 1), b = catalogue_host("b", 1), c = catalogue_host("c", 1);
  p.apply(0, {a, b, c});
  a.address = "partner.example";  // there is no DNS
  b.port = 70000;
  c.meta["destination"] = "bank-7";
  CatalogueHost d = catalogue_host("d", 1), e = catalogue_host("e", 1);
  d.port = 0;
  p.apply(0, {a, b, c, d, e});
  EXPECT_EQ(p.readers[0]->unusable(), 4u);
  EXPECT_NE(p.readers[0]->first_problem().find("there is no DNS: 'partner.example'"), std::string::npos);
  for (const char* id : {"a", "b", "c", "e"}) {
    EXPECT_EQ(p.condition("bank/node-1/" + std::string(id) + "@1"), "ready") << id;
  }
  EXPECT_EQ(p.condition("bank/node-1/d@1"), "gone");
  b.status = "critical";  // its health is used nevertheless
  p.apply(0, {a, b, c, d, e});
  EXPECT_EQ(p.condition("bank/node-1/b@1"), "draining");
}

TEST(Membership, ThousandsOfUnusableHostsAffectNoOther) {
  Pipeline p;
  std::vector<CatalogueHost> hosts;
  for (int i = 0; i < 5000; ++i) hosts.push_back(catalogue_host("h" + std::to_string(i), i / 4));
  p.apply(0, hosts);
  for (std::size_t i = 0; i < hosts.size(); i += 2) hosts[i].port = -1;
  hosts[1].status = "critical";
  const MembershipChange change = p.apply(0, hosts);
  EXPECT_TRUE(change.log_lines.empty());
  EXPECT_EQ(p.readers[0]->unusable(), 2500u);
  EXPECT_LE(p.readers[0]->first_problem().size(), 200u);
  EXPECT_EQ(p.listed.size(), 5000u);
  EXPECT_EQ(p.condition("bank/node-1/h1@0"), "draining");
  EXPECT_EQ(p.condition("bank/node-1/h2@0"), "ready");
}

TEST(Membership, ALossWithoutADrainNeedsConfirmationByTheLeader) {
  ConsulSettings settings = consul_settings();
  settings.membership.max_loss_share = 0.5;
  Pipeline p(settings);
  const auto a = catalogue_host("a", 1), b = catalogue_host("b", 1), c = catalogue_host("c", 1);
  p.apply(0, {a, b, c});
  EXPECT_FALSE(p.apply(0, {a, b}).query_again);  // one of three is within the limit
  EXPECT_EQ(p.condition("bank/node-1/c@1"), "gone");
  p.now += seconds(1);
  const MembershipChange emptied = p.apply(0, std::vector<CatalogueHost>{});
  EXPECT_TRUE(emptied.query_again);
  EXPECT_EQ(emptied.log_lines.size(), 1u);
  EXPECT_EQ(p.condition("bank/node-1/a@1"), "ready");
  p.now += milliseconds(1);
  p.apply(0, std::vector<CatalogueHost>{},
          false);  // from a server out of touch with the leader: no confirmation
  EXPECT_EQ(p.condition("bank/node-1/a@1"), "ready");
  p.now += milliseconds(1);
  p.apply(0, std::vector<CatalogueHost>{a});  // one of the two is listed again
  EXPECT_EQ(p.condition("bank/node-1/a@1"), "ready");
  EXPECT_EQ(p.condition("bank/node-1/b@1"), "gone");  // the other was missing twice
  p.now += seconds(1);
  p.apply(0, std::vector<CatalogueHost>{});
  p.advance(settings.membership.loss_hold);  // without confirmation
  EXPECT_EQ(p.condition("bank/node-1/a@1"), "gone");
}

// Loss protection does not apply to hosts that drained first: they are removed at once, however many.
TEST(Membership, ALossAfterADrainTakesEffectAtOnce) {
  ConsulSettings settings = consul_settings();
  settings.membership.max_loss_share = 0;
  Pipeline p(settings);
  CatalogueHost a = catalogue_host("a", 1), b = catalogue_host("b", 1);
  p.apply(0, {a, b});
  a.status = "critical";
  b.maintenance = true;
  p.apply(0, {a, b});
  EXPECT_FALSE(p.apply(0, std::vector<CatalogueHost>{}).query_again);
  EXPECT_TRUE(p.listed.empty());
}

TEST(Membership, AFlappingHostIsSuppressed) {
  ConsulSettings settings = consul_settings();
  settings.membership.damping = {
      .suppress = 3, .reuse = 1.5, .half_life = seconds(15), .max_wait = seconds(60)};
  Pipeline p(settings);
  CatalogueHost a = catalogue_host("a", 1);
  const auto flip = [&] {
    a.status = "critical";
    p.apply(0, {a});
    EXPECT_EQ(p.condition("bank/node-1/a@1"), "draining");
    p.now += milliseconds(10);
    a.status = "passing";
    p.apply(0, {a});
  };
  p.apply(0, {a});
  flip();
  EXPECT_EQ(p.condition("bank/node-1/a@1"), "ready");
  flip();
  EXPECT_EQ(p.condition("bank/node-1/a@1"), "ready");
  for (int i = 0; i < 3; ++i) flip();
  EXPECT_EQ(p.condition("bank/node-1/a@1"), "draining");
  EXPECT_EQ(p.membership.stats().suppressed, 1u);
  // The penalty outlasts a deregistration.
  p.apply(0, std::vector<CatalogueHost>{});
  p.apply(0, {a});
  EXPECT_EQ(p.condition("bank/node-1/a@1"), "draining");
  const Time due = p.membership.next_due();
  EXPECT_LE(due, p.now + seconds(60));
  p.advance(due - p.now);
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
    p.apply(0, {a, b});
    EXPECT_EQ(p.listed.at("bank/node-1/b@1").rate, rate_of == RateOf::host ? 80 : 20);
    a.status = "warning";
    p.apply(0, {a, b});
    EXPECT_EQ(p.listed.at("bank/node-1/b@1").rate, rate_of == RateOf::host ? 50 : 12.5);
    a.status = "critical";
    p.apply(0, {a, b});
    EXPECT_EQ(p.listed.at("bank/node-1/b@1").rate, rate_of == RateOf::host ? 40 : 20);
  }
}

// Memory is bounded, however many hosts have come and gone.
TEST(Membership, DropsTheStateOfRemovedHosts) {
  Pipeline p;
  for (int i = 0; i < 20000; ++i) {
    p.apply(0, {catalogue_host("h" + std::to_string(i), i % 100)});
    p.now += milliseconds(100);
  }
  EXPECT_LE(p.membership.record_count(), 1u + 4096u);
  EXPECT_EQ(p.readers[0]->hosts(), 1u);
  EXPECT_EQ(p.listed.size(), 1u);
}

// --- The saved list
class Store : public testing::Test {
 protected:
  std::map<std::string, Instance> loaded(const ConsulSettings& settings, std::string* error = nullptr) {
    std::map<std::string, Instance> out;
    const std::string result =
        ListStore(folder, 1 << 20).load(settings, p.names, [&](auto, const Instance& i) { out[i.id] = i; });
    if (error != nullptr) *error = result;
    return out;
  }
  Pipeline p;
  const standin::TemporaryFolder temporary_folder{"list"};
  const std::string& folder = temporary_folder.path();
};

TEST_F(Store, LoadsWhatWasSaved) {
  CatalogueHost a = catalogue_host("a", 1);
  a.meta["zone"] = "b";
  a.warning = 0.25;
  a.status = "warning";
  p.apply(0, {a, catalogue_host("b", 2)});
  p.apply(1, {catalogue_host("c", 3)});
  EXPECT_EQ(ListStore(folder, 1 << 20).save(p.membership, p.settings, p.names), "");
  std::map<std::string, Instance> before;
  p.membership.for_each_instance([&](auto, const Instance& i) { before[i.id] = i; });
  EXPECT_EQ(loaded(p.settings), before);
  ConsulSettings fewer = p.settings;
  fewer.services.erase(fewer.services.begin());
  EXPECT_EQ(loaded(fewer).size(), 1u);  // a service that is no longer watched is skipped
}

TEST_F(Store, TreatsADamagedFileAsMissing) {
  p.apply(0, {catalogue_host("a", 1), catalogue_host("b", 2)});
  ASSERT_EQ(ListStore(folder, 1 << 20).save(p.membership, p.settings, p.names), "");
  const std::string path = folder + "/consul.list";
  std::ifstream in(path, std::ios::binary);
  const std::string intact((std::istreambuf_iterator<char>(in)), {});
  for (std::size_t at = 0; at < intact.size(); ++at) {
    std::string damaged = intact;
    damaged[at] = static_cast<char>(damaged[at] ^ 0x20);
    for (const std::string& text : {damaged, intact.substr(0, at)}) {
      std::ofstream(path, std::ios::binary | std::ios::trunc) << text;
      std::string error;
      const auto hosts = loaded(p.settings, &error);
      EXPECT_TRUE(hosts.empty() || hosts.size() == 2) << at;
      EXPECT_EQ(error.empty(), hosts.size() == 2) << at;
    }
  }
}

TEST_F(Store, KeepsThePreviousFileIfTheLimitIsExceeded) {
  p.apply(0, {catalogue_host("a", 1)});
  ASSERT_EQ(ListStore(folder, 1 << 20).save(p.membership, p.settings, p.names), "");
  std::vector<CatalogueHost> many;
  for (int i = 0; i < 500; ++i) many.push_back(catalogue_host("h" + std::to_string(i * 7919), i));
  p.apply(0, many);
  EXPECT_NE(ListStore(folder, 512).save(p.membership, p.settings, p.names), "");
  EXPECT_EQ(loaded(p.settings).size(), 1u);
}

// --- Blocking queries
AnswerHead ok_head(std::uint64_t index) {
  AnswerHead head;
  head.status = 200;
  head.index = index;
  return head;
}

TEST(WatchPlan, FollowsTheRulesOfTheIndex) {
  ConsulSettings settings = consul_settings();
  settings.consistency = Consistency::stale;
  WatchPlan plan(settings, 7, milliseconds(50), seconds(1));
  EXPECT_EQ(plan.next_query().index, 0u);
  EXPECT_EQ(plan.on_head(ok_head(40)), WatchPlan::AnswerUse::usable);
  plan.on_answer_read();
  EXPECT_EQ(plan.next_query().index, 40u);
  EXPECT_LE(plan.next_query().wait, settings.blocking_wait);
  EXPECT_GE(plan.next_query().wait, settings.blocking_wait * 15 / 16);
  AnswerHead error;
  error.status = 500;
  error.index = 3;
  EXPECT_EQ(plan.on_head(error), WatchPlan::AnswerUse::rejected);  // the index of an error is ignored
  EXPECT_GT(plan.pause(), Time(0));
  EXPECT_EQ(plan.next_query().index, 40u);
  plan.on_failure();
  EXPECT_EQ(plan.next_query().index, 40u);
  EXPECT_EQ(plan.on_head(ok_head(39)), WatchPlan::AnswerUse::index_decreased);
  const WatchQuery again = plan.next_query();
  EXPECT_EQ(again.index, 0u);
  EXPECT_EQ(again.consistency, Consistency::normal);  // from the leader
  EXPECT_EQ(plan.pause(), Time(0));
  EXPECT_EQ(plan.on_head(ok_head(39)), WatchPlan::AnswerUse::usable);
  plan.on_answer_read();
  EXPECT_EQ(plan.next_query().index, 39u);
  EXPECT_EQ(plan.next_query().consistency, Consistency::stale);
  EXPECT_EQ(plan.on_head(ok_head(0)),
            WatchPlan::AnswerUse::index_decreased);  // counts as 1, which is less than 39
  EXPECT_EQ(plan.next_query().index, 0u);
  EXPECT_EQ(plan.on_head(ok_head(0)), WatchPlan::AnswerUse::rejected);  // not a Consul agent
}

TEST(WatchPlan, QueriesTheLeaderIfAServerIsOutOfTouch) {
  ConsulSettings settings = consul_settings();
  settings.consistency = Consistency::stale;
  WatchPlan plan(settings, 7, milliseconds(50), seconds(1));
  plan.next_query();
  AnswerHead distant = ok_head(4);
  distant.last_contact = settings.max_stale + milliseconds(1);
  EXPECT_EQ(plan.on_head(distant), WatchPlan::AnswerUse::without_leader);
  plan.on_answer_read();
  EXPECT_EQ(plan.next_query().consistency, Consistency::normal);
  AnswerHead leaderless = ok_head(5);
  leaderless.known_leader = false;
  EXPECT_EQ(plan.on_head(leaderless), WatchPlan::AnswerUse::without_leader);
  plan.on_answer_read();
  plan.query_again();
  EXPECT_EQ(plan.next_query().index, 0u);
  EXPECT_TRUE(plan.from_leader());
}

TEST(WatchPlan, BacksOffExponentiallyWithJitter) {
  const ConsulSettings settings = consul_settings();
  WatchPlan one(settings, 1, milliseconds(50), seconds(1)), other(settings, 2, milliseconds(50), seconds(1));
  bool differ = false;
  for (int i = 0; i < 40; ++i) {
    one.on_failure();
    other.on_failure();
    differ = differ || one.pause() != other.pause();
    EXPECT_LE(one.pause(), seconds(1));
    EXPECT_GE(one.pause(), i < 5 ? milliseconds(25) : milliseconds(500));
  }
  EXPECT_TRUE(differ);
  AnswerHead too_many_requests;
  too_many_requests.status = 429;
  too_many_requests.retry_after = seconds(3);
  one.on_head(too_many_requests);
  EXPECT_GE(one.pause(), seconds(3));
}

TEST(QueryRateLimiter, LimitsTheQueriesPerSecond) {
  QueryRateLimiter limiter(10);
  std::size_t sent = 0;
  Time now = seconds(1000);
  const Time end = now + seconds(10);
  while (now < end) {
    now = std::max(now, limiter.reserve(now));
    ++sent;
  }
  EXPECT_GE(sent, 100u);
  EXPECT_LE(sent, 112u);
}

}  // namespace
}  // namespace fennellane
