// The shared host list: single decisions, many relays against a modelled store, and several relay processes
// with one discovery and one Consul.
#include "refresh.hpp"

#include <gtest/gtest.h>

#include <random>

#include "consul_agent.hpp"
#include "fault_proxy.hpp"
#include "fleet_agent.hpp"
#include "merged_host_list.hpp"
#include "relay_fixture.hpp"

namespace fennellane {
namespace {

using namespace fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;
using test::happens;

template <class E>
const E* find(const std::vector<RefreshEffect>& effects) {
  for (const RefreshEffect& e : effects)
    if (const auto* found = std::get_if<E>(&e)) return found;
  return nullptr;
}

HeartbeatRead heartbeat(Token token, std::uint64_t number, std::uint64_t version,
                        const std::string& source = "d") {
  return {SharedHead{token, number, version, source}, false};
}
SharedListRead shared_list(Token token, std::uint64_t version) {
  return {true, {token, 1, version, "d"}, "v" + std::to_string(version)};
}

// A relay that follows the list published with token 3, at version 7.
Refresh follower() {
  Refresh r({}, 1);
  r.handle(seconds(0), RefreshStarted{"d", std::nullopt, false});
  EXPECT_NE(find<ReadSharedList>(r.handle(seconds(0), heartbeat(3, 10, 7))), nullptr);
  const auto first = r.handle(seconds(0), shared_list(3, 7));
  EXPECT_TRUE(find<ApplyList>(first) && find<ApplyList>(first)->cached);  // its age is unknown
  const auto second = r.handle(seconds(1), heartbeat(3, 11, 7));
  EXPECT_TRUE(find<ApplyList>(second) && !find<ApplyList>(second)->cached);
  EXPECT_TRUE(r.follows_shared_list());
  return r;
}

TEST(Refresh, FollowsTheSharedListAndFallsBackToDiscoveryWithoutHeartbeats) {
  Refresh r = follower();
  EXPECT_EQ(find<StartDiscoveryWatch>(r.handle(seconds(5), RefreshTimerExpired{})), nullptr);
  const auto due = r.handle(seconds(8), RefreshTimerExpired{});  // 1 s + 4.5 s + at most 2 s
  ASSERT_NE(find<StartDiscoveryWatch>(due), nullptr);
  EXPECT_EQ(find<StartDiscoveryWatch>(due)->from_version, 7u);  // the full list is not fetched again
  // Follows again once the shared list is as new as the list from discovery.
  r.handle(seconds(9), DiscoveredList{9, "v9"});
  EXPECT_EQ(find<StopDiscoveryWatch>(r.handle(seconds(9), heartbeat(4, 1, 8))), nullptr);
  EXPECT_NE(find<StopDiscoveryWatch>(r.handle(seconds(10), heartbeat(4, 2, 9))), nullptr);
}

TEST(Refresh, IgnoresAFormerHolderAndAnotherDiscovery) {
  Refresh r = follower();
  EXPECT_EQ(find<ReadSharedList>(r.handle(seconds(2), heartbeat(2, 99, 30))), nullptr);
  EXPECT_EQ(find<ReadSharedList>(r.handle(seconds(2), heartbeat(5, 1, 30, "e"))), nullptr);
  EXPECT_NE(find<ReadSharedList>(r.handle(seconds(2), heartbeat(5, 1, 30))), nullptr);
  EXPECT_EQ(find<ApplyList>(r.handle(seconds(2), shared_list(4, 31))), nullptr);  // of a former holder
}

TEST(Refresh, AHolderPublishesOnlyWhileDiscoveryAnswers) {
  Refresh r = follower();
  const auto activated = r.activate(seconds(2), 4, "s");
  EXPECT_NE(find<StartDiscoveryWatch>(activated), nullptr);
  EXPECT_EQ(find<Publish>(activated), nullptr);
  const auto answered = r.handle(seconds(2), DiscoveryAnswered{});
  ASSERT_NE(find<Publish>(answered), nullptr);
  EXPECT_EQ(find<Publish>(answered)->text, "v7");
  EXPECT_EQ(find<Publish>(answered)->session, "s");
  r.handle(seconds(2), Published{4, Published::Result::accepted});
  const auto next = r.handle(seconds(4), RefreshTimerExpired{});
  ASSERT_NE(find<Publish>(next), nullptr);
  EXPECT_FALSE(find<Publish>(next)->text);  // a heartbeat without the list
  r.handle(seconds(4), Published{4, Published::Result::unknown});
  const auto again = r.handle(seconds(6), RefreshTimerExpired{});
  ASSERT_NE(find<Publish>(again), nullptr);
  EXPECT_TRUE(find<Publish>(again)->text);  // written again, since the failed write may not have arrived
  r.handle(seconds(6), Published{4, Published::Result::accepted});
  EXPECT_EQ(find<Publish>(r.handle(seconds(8), RefreshTimerExpired{})),
            nullptr);  // discovery is silent: no heartbeat
  EXPECT_EQ(find<StepDown>(r.handle(seconds(12), RefreshTimerExpired{})), nullptr);
  EXPECT_NE(find<StepDown>(r.handle(seconds(22), RefreshTimerExpired{})), nullptr);
}

// Five relays, a store with fencing, a discovery with new versions, and holders that change and lose
// connectivity: every relay stays up to date, and no relay's version decreases.
TEST(Refresh, EveryRelayStaysUpToDateAndNoVersionDecreases) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    std::mt19937_64 random(seed);
    const auto one_in = [&random](int n) { return std::uniform_int_distribution<int>(1, n)(random) == 1; };
    const RefreshSettings settings;
    struct Relay {
      Refresh refresh;
      bool watching = false, reached = true;  // watches discovery itself; reaches discovery and store
      std::uint64_t discovered_version = 0, version = 0;
      Time last_contact{};
    };
    std::vector<Relay> relays;
    for (std::uint64_t i = 0; i < 5; ++i) relays.push_back({Refresh(settings, seed * 10 + i)});
    std::uint64_t version = 1;
    Token token = 0;
    std::size_t holder = 5;
    SharedHead stored_head, stored_list;
    Time now = seconds(1);
    std::function<void(std::size_t, std::vector<RefreshEffect>)> execute =
        [&](std::size_t i, std::vector<RefreshEffect> effects) {
          Relay& r = relays[i];
          for (const RefreshEffect& e : effects) {
            if (const auto* start = std::get_if<StartDiscoveryWatch>(&e)) {
              r.watching = true;
              r.discovered_version = start->from_version.value_or(0);
            } else if (std::holds_alternative<StopDiscoveryWatch>(e)) {
              r.watching = false;
            } else if (const auto* publish = std::get_if<Publish>(&e)) {
              const bool holds_role = i == holder && publish->head.token == token;
              if (!r.reached) {
                execute(i, r.refresh.handle(now, Published{publish->head.token, Published::Result::unknown}));
                continue;
              }
              if (holds_role) {
                stored_head = publish->head;
                if (publish->text) stored_list = publish->head;
              }
              execute(i, r.refresh.handle(
                             now, Published{publish->head.token, holds_role ? Published::Result::accepted
                                                                            : Published::Result::refused}));
            } else if (std::holds_alternative<ReadSharedList>(e)) {
              SharedListRead read{r.reached && stored_list.token > 0, stored_list,
                                  "v" + std::to_string(stored_list.version)};
              execute(i, r.refresh.handle(now, read));
            } else if (const auto* apply = std::get_if<ApplyList>(&e)) {
              const std::uint64_t applied = std::stoull(apply->text.substr(1));
              ASSERT_GE(applied, r.version) << "seed " << seed;
              r.version = applied;
            }
          }
        };
    for (std::size_t i = 0; i < 5; ++i)
      execute(i, relays[i].refresh.handle(now, RefreshStarted{"d", std::nullopt, false}));
    constexpr int kSteps = 1200, kFaultySteps = 600;  // of 100 ms; no faults in the last minute
    for (int step = 0; step < kSteps; ++step, now += milliseconds(100)) {
      const bool fault_free = step >= kFaultySteps;
      if (one_in(20)) ++version;
      if (one_in(100) && !fault_free) {
        if (holder < 5) execute(holder, relays[holder].refresh.deactivate(now));
        holder = std::uniform_int_distribution<std::size_t>(0, 4)(random);
        execute(holder, relays[holder].refresh.activate(now, ++token, "s"));
      }
      for (std::size_t i = 0; i < 5; ++i) {
        Relay& r = relays[i];
        if (fault_free)
          r.reached = true;
        else if (one_in(r.reached ? 100 : 30))
          r.reached = !r.reached;
        if (r.watching && r.reached) {
          r.last_contact = now;
          execute(i, r.refresh.handle(now, DiscoveryAnswered{}));
          if (r.watching && r.discovered_version < version) {
            r.discovered_version = version;
            ASSERT_GE(version, r.version);
            r.version = version;
            execute(i, r.refresh.handle(now, DiscoveredList{version, "v" + std::to_string(version)}));
          }
        }
        if (r.reached) {
          HeartbeatRead read;
          if (stored_head.token > 0) read.head = stored_head;
          execute(i, r.refresh.handle(now, read));
          if (r.refresh.follows_shared_list() && stored_head.version == r.version) r.last_contact = now;
        }
        execute(i, r.refresh.handle(now, RefreshTimerExpired{}));
        // A relay that has heard neither from discovery nor from the store watches discovery itself.
        const bool out_of_touch =
            r.last_contact > Time(0) &&
            now - r.last_contact > settings.stale_after + settings.fallback_spread + milliseconds(200);
        ASSERT_TRUE(!out_of_touch || r.watching) << "seed " << seed << " relay " << i << " step " << step;
      }
    }
    std::size_t watching = 0;
    for (const Relay& r : relays) {
      watching += r.watching ? 1 : 0;
      EXPECT_GE(r.version + 1, version) << "seed " << seed;
    }
    if (holder < 5) {
      EXPECT_EQ(watching, 1u) << "seed " << seed;
    }
  }
}

TEST(MergedHostList, AppliesChanges) {
  const wire::InstanceSettings boot = parse_config(test::config_json()).boot;
  MergedHostList merged;
  merged.apply(parse_hosts(test::list_json({{"a", "127.0.0.1:1"}}, 4, false), boot));
  EXPECT_FALSE(merged.has_full_list());
  merged.apply(parse_hosts(test::list_json({{"a", "127.0.0.1:1"}, {"b", "127.0.0.1:2"}}, 5), boot));
  merged.apply(parse_hosts(
      test::list_json({{"a", "127.0.0.1:1", 7, "gone"}, {"b", "127.0.0.1:3", 9, "draining", 12.5}}, 6, false),
      boot));
  EXPECT_TRUE(merged.has_full_list());
  // Serialized and parsed.
  const HostList read = parse_hosts(hosts_json(merged.full_list(), boot), boot);
  EXPECT_EQ(read.version, 6u);
  EXPECT_TRUE(read.full);
  ASSERT_EQ(read.hosts.size(), 1u);
  EXPECT_EQ(read.hosts[0].id, "b");
  EXPECT_EQ(read.hosts[0].address.text(), "127.0.0.1:3");
  EXPECT_EQ(read.hosts[0].destination, 9u);
  EXPECT_EQ(read.hosts[0].rate, 12.5);
  EXPECT_EQ(read.hosts[0].condition, starlinghook::Condition::draining);
  HostEntry unknown_zone = read.hosts[0];
  unknown_zone.zone = 99;  // a zone without a name
  EXPECT_GE(parse_hosts(hosts_json({1, true, {unknown_zone}}, boot), boot).hosts[0].zone, boot.zones.size());
}

TEST(SharedList, ReadsWhatIsWrittenAndRejectsOtherText) {
  Publish publish{"s", {4, 2, 7, "d"}, "{\"a\":1}"};
  const auto txn = parse_json_text(publish_transaction_json("r", "l", "b", publish));
  ASSERT_TRUE(txn && txn->size() == 3);
  EXPECT_EQ((*txn)[0]["KV"]["Verb"].asString(), "check-session");
  SharedHead head;
  std::string text;
  EXPECT_TRUE(parse_shared_list(standin::bytes_of_base64((*txn)[2]["KV"]["Value"].asString()), head, text));
  EXPECT_EQ(head, publish.head);
  EXPECT_EQ(text, *publish.text);
  for (const char* bad :
       {"", "[]", "{}", R"({"token":-1,"beat":1,"version":1})", R"({"token":1,"version":{}})"})
    EXPECT_FALSE(parse_shared_list(bad, head, text)) << bad;
}

// --- Several relays
// A discovery that sends its watches an empty line at short intervals, and each change at once.
class DiscoveryServer {
 public:
  explicit DiscoveryServer(std::vector<test::HostLine> hosts) : hosts_(std::move(hosts)) {}
  ~DiscoveryServer() {
    stopping_ = true;
    server_.stop();
  }
  std::string address() const { return server_.address(); }
  std::size_t watches() const { return watches_; }
  std::size_t fetches() const { return fetches_; }
  void add(const test::HostLine& host) {
    const std::scoped_lock lock(mutex_);
    hosts_.push_back(host);
    ++version_;
  }

 private:
  void serve(asio::ip::tcp::socket& socket) {
    HttpReader reader(HttpReader::Kind::request, 65536, 1 << 20);
    char piece[4096];
    asio::error_code error;
    while (true) {
      const std::size_t n = socket.read_some(asio::buffer(piece), error);
      if (error) return;
      reader.feed({piece, n});
      if (!reader.done()) continue;
      const std::string target = reader.target();
      reader.take_body();
      reader.reset();
      if (target == "/discovery/hosts") {
        ++fetches_;
        const std::scoped_lock lock(mutex_);
        asio::write(socket, asio::buffer(test::answer("200 OK", test::list_json(hosts_, version_))), error);
        continue;
      }
      if (target.find("watch=1") == std::string::npos) {  // a notice
        asio::write(socket, asio::buffer(test::answer("204 No Content")), error);
        continue;
      }
      ++watches_;
      int sent_version = std::stoi(target.substr(target.rfind('=') + 1));
      asio::write(socket, asio::buffer(std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")),
                  error);
      while (!error && !stopping_) {
        std::string line = "\n";
        {
          const std::scoped_lock lock(mutex_);
          if (sent_version < version_) line = test::list_json(hosts_, version_, false) + "\n";
          sent_version = version_;
        }
        std::ostringstream chunk;
        chunk << std::hex << line.size() << "\r\n" << line << "\r\n";
        asio::write(socket, asio::buffer(chunk.str()), error);
        std::this_thread::sleep_for(milliseconds(50));
      }
      --watches_;
      return;
    }
  }

  std::mutex mutex_;
  std::vector<test::HostLine> hosts_;
  int version_ = 1;
  std::atomic<std::size_t> watches_ = 0, fetches_ = 0;
  std::atomic<bool> stopping_ = false;
  standin::ThreadedServer server_{[this](const standin::ThreadedServer::Socket& s) { serve(*s); }};
};

standin::StoreRules fast_store_rules() {
  standin::StoreRules rules;
  rules.least_ttl = milliseconds(100);
  return rules;
}

class SharedListFleet : public testing::Test {
 protected:
  static constexpr std::size_t kRelays = 4;
  SharedListFleet() {
    for (std::size_t i = 0; i < kRelays; ++i) {
      paths.push_back(
          std::make_unique<harness::FaultProxy>(loop, "127.0.0.1", "127.0.0.1", discovery.address()));
      relays.push_back(std::make_unique<test::RelayProgram>(paths.back()->address()));
      relays.back()->replace_settings(
          "(consul (address \"" + consul.address() +
          "\"))\n(fleet (roles \"refresh\") (ttl-ms 1500) (renew-ms 300) (margin-ms 200) (lock-delay-ms 800) "
          "(call-ms 800) (retry-ms 50) (spread-ms 200) (wait-ms 1000) (consul-least-ttl-ms 100)\n"
          "  (refresh (discovery \"one\") (beat-ms 200) (stale-ms 1000) (patience-ms 1500) (spread-ms "
          "200)))\n");
      relays.back()->start();
    }
  }
  // One relay watches discovery, and every relay that is up delivers to a host just added there.
  void expect_shared(const std::vector<std::size_t>& up, std::size_t max_watches = 1) {
    EXPECT_TRUE(happens([&] { return discovery.watches() <= max_watches && discovery.watches() > 0; }))
        << discovery.watches() << relays[up[0]]->log();
    const int destination = next_++;
    discovery.add({"h" + std::to_string(destination), partner.address(), destination});
    for (const std::size_t i : up) {
      const std::string id = "m" + std::to_string(destination) + "-" + std::to_string(i);
      const std::string text = test::request_text(id, "hello", "note", destination);
      EXPECT_TRUE(happens([&] { return relays[i]->ask(text) == 202; })) << i << relays[i]->log();
      EXPECT_TRUE(happens([&] { return partner.count(id) == 1; })) << i;
    }
  }
  std::size_t holder() {
    std::size_t found = kRelays;
    EXPECT_TRUE(happens([&] {
      const auto events = consul.events();
      for (std::size_t i = 0; i < kRelays && !events.empty(); ++i) {
        const std::string token = "acts, token " + std::to_string(events.back().lock_index);
        if (events.back().holder != "" && relays[i]->logged(token) > 0) found = i;
      }
      return found < kRelays;
    }));
    return found;
  }
  std::size_t lapses() const {
    const auto events = consul.events();
    return static_cast<std::size_t>(std::count_if(events.begin(), events.end(), [](const auto& e) {
      return e.kind == standin::StoreEvent::Kind::lost;
    }));
  }
  std::vector<std::size_t> all_but(std::size_t one) const {
    std::vector<std::size_t> up;
    for (std::size_t i = 0; i < kRelays; ++i)
      if (i != one) up.push_back(i);
    return up;
  }

  test::Server partner{[](const test::Request&) { return test::answer("200 OK"); }};
  DiscoveryServer discovery{{{"h7", partner.address(), 7}}};
  standin::ConsulAgent consul{fast_store_rules()};
  harness::ProxyLoop loop;
  std::vector<std::unique_ptr<harness::FaultProxy>> paths;
  std::vector<std::unique_ptr<test::RelayProgram>> relays;
  int next_ = 100;
};

TEST_F(SharedListFleet, OneWatchesDiscoveryAndAllGetItsChanges) {
  expect_shared(all_but(kRelays));
  const std::size_t fetches = discovery.fetches();
  // All killed at once: each starts with the shared list, possibly outdated, and watches from its version.
  for (const auto& relay : relays) relay->end(SIGKILL);
  for (const auto& relay : relays) relay->start();
  expect_shared(all_but(kRelays));
  EXPECT_EQ(discovery.fetches(), fetches);
}

TEST_F(SharedListFleet, AnotherTakesOverIfTheHolderIsKilledOrPaused) {
  expect_shared(all_but(kRelays));
  const std::size_t first = holder();
  ASSERT_LT(first, kRelays);
  relays[first]->end(SIGKILL);
  expect_shared(all_but(first), kRelays);
  expect_shared(all_but(first));
  const std::size_t second = holder();
  ASSERT_LT(second, kRelays);
  relays[second]->signal(SIGSTOP);
  EXPECT_TRUE(happens([&] { return lapses() == 2; }));
  std::vector<std::size_t> up = all_but(first);
  std::erase(up, second);
  expect_shared(up, kRelays);
  relays[second]->signal(SIGCONT);
  relays[first]->start();
  expect_shared(all_but(kRelays));
  EXPECT_TRUE(happens([&] { return relays[second]->logged("acts no more") > 0; }));
  EXPECT_EQ(relays[second]->logged("acts no more"), 1u);
}

TEST_F(SharedListFleet, AHolderWithoutDiscoveryGivesTheRoleUp) {
  expect_shared(all_but(kRelays));
  const std::size_t first = holder();
  ASSERT_LT(first, kRelays);
  paths[first]->set(harness::PathFault::refuse);
  EXPECT_TRUE(happens([&] { return relays[first]->logged("gives the role up") > 0; }))
      << relays[first]->log();
  expect_shared(all_but(kRelays));  // including the one without discovery
}

TEST_F(SharedListFleet, WithoutConsulEachWatchesDiscoveryItself) {
  expect_shared(all_but(kRelays));
  consul.set_fault(standin::Fault::error_500);
  consul.close_connections();
  EXPECT_TRUE(happens([&] { return discovery.watches() == kRelays; })) << discovery.watches();
  expect_shared(all_but(kRelays), kRelays);
  consul.set_fault(standin::Fault::none);
  expect_shared(all_but(kRelays));
}

}  // namespace
}  // namespace fennellane
