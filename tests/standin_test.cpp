// The stand-in for Consul on its own, against what Consul's API documentation says of sessions, keys, locks,
// transactions and checks. Time is handed in, but for the blocking queries at the end.
#include <gtest/gtest.h>

#include <thread>

#include "consul_agent.hpp"

namespace fennellane::standin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class ConsulStandIn : public testing::Test {
 protected:
  StoreAnswer put(const std::string& path, std::map<std::string, std::string> query = {},
                  const std::string& body = "") {
    return store.handle(now, {"PUT", path, std::move(query), body});
  }
  StoreAnswer get(const std::string& path, std::map<std::string, std::string> query = {}) {
    return store.handle(now, {"GET", path, std::move(query), ""});
  }
  std::string session(const std::string& more = "\"LockDelay\":\"15s\"") {
    const std::string body = "{\"TTL\":\"10s\",\"NodeChecks\":[]," + more + "}";
    const std::string answer = put("/v1/session/create", {}, body).body;
    return answer.size() > 9 ? answer.substr(7, answer.size() - 9) : "";
  }
  bool acquire(const std::string& s, const std::string& key = "k") {
    return put("/v1/kv/" + key, {{"acquire", s}}, "by " + s).body == "true";
  }
  Json::Value key(const std::string& name = "k") {
    Json::Value list;
    std::istringstream(get("/v1/kv/" + name).body) >> list;
    return list[0];
  }
  bool lives(const std::string& s) { return get("/v1/session/info/" + s).body != "[]"; }

  SteadyTime now{seconds(1000)};
  ConsulStore store;
};

TEST_F(ConsulStandIn, ASessionEndsBetweenOneAndTwoOfItsTtlAfterItsNewestRenew) {
  const std::string s = session();
  now += seconds(19);
  EXPECT_TRUE(lives(s));
  EXPECT_EQ(put("/v1/session/renew/" + s).status, 200u);
  now += seconds(19);
  EXPECT_TRUE(lives(s));
  now += seconds(2);
  EXPECT_FALSE(lives(s));
  EXPECT_EQ(put("/v1/session/renew/" + s).status, 404u);
}

TEST_F(ConsulStandIn, ATtlOutsideOfItsBoundsIsRefused) {
  EXPECT_NE(put("/v1/session/create", {}, R"({"TTL":"9s"})").status, 200u);
  EXPECT_NE(put("/v1/session/create", {}, R"({"TTL":"86401s"})").status, 200u);
  EXPECT_EQ(put("/v1/session/create", {}, R"({"TTL":"86400s"})").status, 200u);
  EXPECT_NE(put("/v1/session/create", {}, "[").status, 200u);
}

TEST_F(ConsulStandIn, OneHolderAtATimeWhoseLockIndexCountsTheAcquires) {
  const std::string a = session(), b = session();
  EXPECT_TRUE(acquire(a));
  EXPECT_EQ(key()["LockIndex"].asUInt64(), 1u);
  EXPECT_FALSE(acquire(b));
  EXPECT_TRUE(acquire(a));  // its own again: written, not acquired anew
  EXPECT_EQ(key()["LockIndex"].asUInt64(), 1u);
  EXPECT_EQ(key()["Session"].asString(), a);
  EXPECT_EQ(put("/v1/kv/k", {{"release", b}}).body, "false");
  EXPECT_EQ(put("/v1/kv/k", {{"release", a}}).body, "true");
  EXPECT_FALSE(key().isMember("Session"));
  EXPECT_TRUE(acquire(b));  // a release starts no lock-delay
  EXPECT_EQ(key()["LockIndex"].asUInt64(), 2u);
  EXPECT_NE(put("/v1/kv/k", {{"acquire", "none"}}).status, 200u);
}

TEST_F(ConsulStandIn, AnInvalidatedSessionsLocksWaitForTheLockDelay) {
  const std::string a = session(), b = session("\"LockDelay\":\"15s\"");
  ASSERT_TRUE(acquire(a));
  EXPECT_EQ(put("/v1/session/destroy/" + a).body, "true");
  EXPECT_FALSE(key().isMember("Session"));
  EXPECT_FALSE(acquire(b));
  now += seconds(14);
  put("/v1/session/renew/" + b);
  EXPECT_FALSE(acquire(b));
  now += seconds(2);
  EXPECT_TRUE(acquire(b));
}

TEST_F(ConsulStandIn, BehaviorDeleteTakesTheKeyAlong) {
  const std::string a = session(R"("Behavior":"delete","LockDelay":"0s")");
  ASSERT_TRUE(acquire(a));
  now += seconds(21);
  EXPECT_EQ(get("/v1/kv/k").status, 404u);
}

TEST_F(ConsulStandIn, ASessionHangsOnTheChecksThatItNames) {
  StoreAnswer made = put("/v1/session/create", {}, R"({"TTL":"10s"})");  // serfHealth, as none are named
  const std::string usual = made.body.substr(7, made.body.size() - 9), own = session();
  store.set_node_check(now, "node-1", "serfHealth", false);
  EXPECT_FALSE(lives(usual));
  EXPECT_TRUE(lives(own));
  EXPECT_NE(put("/v1/session/create", {}, R"({"TTL":"10s"})").status, 200u);
}

TEST_F(ConsulStandIn, CheckAndSetTakesOnlyTheIndexThatStands) {
  EXPECT_EQ(put("/v1/kv/k", {{"cas", "0"}}, "one").body, "true");
  EXPECT_EQ(put("/v1/kv/k", {{"cas", "0"}}, "two").body, "false");
  const std::string index = std::to_string(key()["ModifyIndex"].asUInt64());
  EXPECT_EQ(put("/v1/kv/k", {{"cas", index}}, "two").body, "true");
  EXPECT_EQ(put("/v1/kv/k", {{"cas", index}}, "three").body, "false");
  EXPECT_EQ(get("/v1/kv/k", {{"raw", ""}}).body, "two");
}

TEST_F(ConsulStandIn, ATransactionOfAnOldHolderChangesNothing) {
  const std::string a = session("\"LockDelay\":\"0s\""), b = session("\"LockDelay\":\"0s\"");
  ASSERT_TRUE(acquire(a));
  const auto write = [&](const std::string& s, const std::string& value) {
    return put("/v1/txn", {},
               R"([{"KV":{"Verb":"set","Key":"v","Value":")" + base64_of(value) +
                   R"("}},{"KV":{"Verb":"check-session","Key":"k","Session":")" + s + R"("}}])")
        .status;
  };
  EXPECT_EQ(write(a, "first"), 200u);
  put("/v1/session/destroy/" + a);
  ASSERT_TRUE(acquire(b));
  EXPECT_EQ(write(a, "late"), 409u);
  EXPECT_EQ(get("/v1/kv/v", {{"raw", ""}}).body, "first");
  EXPECT_EQ(write(b, "second"), 200u);
  ASSERT_EQ(store.events().size(), 6u);  // acquired, written, lost, acquired, refused, written
  EXPECT_EQ(store.events()[4].kind, StoreEvent::Kind::refused);
}

TEST_F(ConsulStandIn, ARegistrationThatHasChangedIsNotRemovedByItsOldIndex) {
  const std::string body =
      R"({"Name":"relays","ID":"r1","Address":"127.0.0.1","Port":1,"Check":{"CheckID":"service:r1","TTL":"1000ms"}})";
  put("/v1/agent/service/register", {}, body);
  put("/v1/agent/check/pass/service:r1");
  const auto host = [&]() -> const CatalogueHost& {
    return store.services()["relays"].hosts.begin()->second;
  };
  EXPECT_EQ(host().status, "passing");
  now += seconds(2);
  store.tick(now);
  EXPECT_EQ(host().status, "critical");
  const auto removal = [&](std::uint64_t check, std::uint64_t service) {
    return put("/v1/txn", {},
               R"([{"Check":{"Verb":"delete-cas","Check":{"Node":"node-1","CheckID":"service:r1","ServiceID":"r1","ModifyIndex":)" +
                   std::to_string(check) +
                   R"(}}},{"Service":{"Verb":"delete-cas","Node":"node-1","Service":{"ID":"r1","ModifyIndex":)" +
                   std::to_string(service) + "}}}]")
        .status;
  };
  const std::uint64_t check = host().check_index, service = host().service_index;
  put("/v1/agent/check/pass/service:r1");  // it has come back since it was read
  EXPECT_EQ(removal(check, service), 409u);
  EXPECT_EQ(store.services()["relays"].hosts.size(), 1u);
  EXPECT_EQ(removal(host().check_index, host().service_index), 200u);
  EXPECT_EQ(store.services()["relays"].hosts.size(), 0u);
}

TEST_F(ConsulStandIn, ARestartKeepsItsStateOrLosesIt) {
  const std::string a = session();
  ASSERT_TRUE(acquire(a));
  now += seconds(15);
  store.restart(now, true);
  now += seconds(15);
  EXPECT_TRUE(lives(a));  // every TTL began anew
  store.restart(now, false);
  EXPECT_FALSE(lives(a));
  EXPECT_EQ(get("/v1/kv/k").status, 404u);
}

TEST(ConsulStandInAgent, ABlockingQueryOnAKeyEndsWithItsChange) {
  ConsulAgent agent;
  asio::io_context io;
  asio::ip::tcp::socket socket(io);
  const std::string address = agent.address();
  socket.connect({asio::ip::make_address("127.0.0.1"),
                  static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1)))});
  ASSERT_EQ(agent.ask({"PUT", "/v1/kv/k", {}, "one"}).body, "true");
  const std::uint64_t index = agent.ask({"GET", "/v1/kv/k", {}, ""}).index;
  const std::string text = "GET /v1/kv/k?raw&index=" + std::to_string(index) + "&wait=60s HTTP/1.1\r\n\r\n";
  asio::write(socket, asio::buffer(text));
  std::thread later([&] {
    std::this_thread::sleep_for(milliseconds(100));
    EXPECT_EQ(socket.available(), 0u);  // nothing has changed yet
    agent.ask({"PUT", "/v1/kv/k", {}, "two"});
  });
  std::string answer(4096, 0);
  answer.resize(socket.read_some(asio::buffer(answer)));
  later.join();
  EXPECT_TRUE(answer.ends_with("\r\n\r\ntwo")) << answer;
}

}  // namespace
}  // namespace fennellane::standin
