// The operators' settings: the shipped examples can be read, and errors are reported in one line with their
// position.
#include <gtest/gtest.h>

#include <fstream>

#include "net_fixture.hpp"
#include "settings_file.hpp"

namespace fennellane {
namespace {

std::string shipped_file(const std::string& name) {
  std::ifstream in(std::string(SOURCE_ROOT) + "/deploy/" + name);
  return {std::istreambuf_iterator<char>(in), {}};
}

const std::string kAgent = "(consul (address \"127.0.0.1:8500\"))";
const std::string kMinimalSettings =
    "(class (name \"note\") (effect \"free\") (aim-ms 2000) (give-up-ms 20000))\n"
    "(tenant (name \"north\"))\n";
const std::string kHost = "(host (id \"a\") (address \"127.0.0.1:1\") (destination 7))\n";

TEST(Settings, TheShippedExamplesCanBeRead) {
  const Config standalone = apply_settings(shipped_file("example.sexp"), "example.sexp", std::nullopt);
  EXPECT_FALSE(standalone.has_platform);
  EXPECT_EQ(standalone.source, MembershipSource::list);
  EXPECT_EQ(standalone.known_hosts.hosts.size(), 3u);
  EXPECT_TRUE(standalone.known_hosts.full);
  EXPECT_EQ(standalone.boot.classes, (std::vector<std::string>{"template-notice", "order-payment"}));
  EXPECT_EQ(standalone.boot.settings.classes[1].effect, starlinghook::Effect::unsafe);
  EXPECT_EQ(standalone.boot.settings.classes[1].deadline, std::chrono::seconds(16));
  EXPECT_EQ(standalone.boot.settings.slots, 16u);

  const Config platform = parse_config(test::config_json());
  const Config combined = apply_settings(shipped_file("consul.sexp"), "consul.sexp", platform);
  EXPECT_TRUE(combined.has_platform);
  EXPECT_EQ(combined.name, "n0");
  ASSERT_EQ(combined.source, MembershipSource::consul);
  EXPECT_EQ(combined.consul->services.size(), 2u);
  EXPECT_EQ(combined.consul->services[1].tag, "live");
  EXPECT_EQ(combined.consul->blocking_wait, std::chrono::seconds(55));
  // The example states the defaults.
  const ConsulSettings defaults;
  EXPECT_EQ(combined.consul->blocking_wait, defaults.blocking_wait);
  EXPECT_EQ(combined.consul->queries_per_second, defaults.queries_per_second);
  EXPECT_EQ(combined.consul->membership.max_loss_share, defaults.membership.max_loss_share);
  EXPECT_EQ(combined.consul->membership.loss_hold, defaults.membership.loss_hold);
  EXPECT_EQ(combined.consul->membership.damping.max_wait, defaults.membership.damping.max_wait);

  EXPECT_FALSE(platform.fleet);
  const Config fleet = apply_settings(shipped_file("fleet.sexp"), "fleet.sexp", platform);
  ASSERT_TRUE(fleet.fleet);
  EXPECT_EQ(fleet.source, MembershipSource::platform);
  FleetSettings expected;
  expected.roles = {"sweep"};
  expected.sweep.service = "fennellane";
  EXPECT_EQ(*fleet.fleet, expected);

  const Config drained = apply_settings(shipped_file("drain.sexp"), "drain.sexp", platform);
  ASSERT_TRUE(drained.fleet && drained.fleet->drain && drained.fleet->release);
  drain::SlotSettings slot;  // what the file sets besides the defaults
  slot.relay = platform.name;
  slot.zone = "a";
  slot.cap = {3, 1, 10};
  slot.census = true;
  EXPECT_EQ(drained.fleet->drain->slot, slot);
  EXPECT_EQ(drained.fleet->release->folder, "/opt/fennellane");
  EXPECT_EQ(drained.fleet->release->coordinator, release::CoordinatorSettings{});

  const Config capped = apply_settings(shipped_file("ejection.sexp"), "ejection.sexp", platform);
  ASSERT_TRUE(capped.fleet && capped.fleet->ejection);
  EXPECT_EQ(capped.fleet->ejection->arbiter, ejection::ArbiterSettings());
  EXPECT_EQ(capped.fleet->ejection->reporter.relay, platform.name);

  EXPECT_FALSE(platform.upgrade);
  const Config upgraded = apply_settings(shipped_file("upgrade.sexp"), "upgrade.sexp", platform);
  EXPECT_EQ(upgraded.upgrade, UpgradeSettings());
}

// With a stored host list, its two files and the journal's two files together stay within the disk limit.
TEST(Settings, TheListAndTheJournalShareTheDisk) {
  const Config platform = parse_config(test::config_json());
  const Config combined = apply_settings(shipped_file("consul.sexp"), "consul.sexp", platform);
  EXPECT_GT(combined.limits.max_host_list_file, 0u);
  EXPECT_LT(2 * combined.limits.max_host_list_file + 2 * combined.limits.max_journal_file, 3'000'000u);
  EXPECT_EQ(platform.limits.max_host_list_file, 0u);
}

TEST(Settings, ReportsErrorsWithTheirPosition) {
  const struct {
    std::string text, message;
  } cases[] = {
      {"(nam \"x\")", "s:1: unknown name 'nam'; known here:"},
      {"(limits\n (sokets 1))", "s:2: limits: unknown name 'sokets'; known here: disk-mb memory-mb sockets"},
      {"(name \"x\"\n", "s:2: a parenthesis or a quote is not closed"},
      {"(name \"x\"))\n(listen 1)", "a closing parenthesis too many"},
      {"(name \"x\")\n; a comment (name\n(name \"y\")", "s:3: name: is there twice"},
      {"name", "s:1: expected a list that begins with a name"},
      {"(name)", "s:1: name: expected one value"},
      {"(name \"a\" \"b\")", "s:1: name: expected one value"},
      {"(name (a b))", "s:1: name: expected a string, not a list"},
      {"(limits (sockets \"64\"))", "s:1: limits.sockets: expected an integer, not 64"},
      {"(limits (sockets 64.5))", "s:1: limits.sockets: expected an integer, not 64.5"},
      {"(limits (disk-mb 1e400))", "s:1: limits.disk-mb: expected a number, not 1e400"},
      {"\n(limits\n(sockets 3))", "s:3: limits.sockets: "},
      {kMinimalSettings + "(upgrade (state-ms 5))", "s:3: upgrade.state-ms: "},
      {kMinimalSettings + "(log (form \"xml\"))", "s:3: log.form: "},
      {kMinimalSettings + kHost + "(host (id \"b\") (destination 7))", "s:4: host[1]: "},
      {kMinimalSettings + kHost + kHost, "s:4: host[1].id: another host has this id: a"},
      {kMinimalSettings + "(host (id \"b\") (address \"bank:80\") (destination 7))",
       "s:3: host[0].address: expected a numeric address with a port, not bank:80"},
      {kHost, "class: at least one class of message is needed"},
      {kMinimalSettings, "host: at least one host is needed"},
      {kMinimalSettings + "(membership \"platform\")", "s:3: membership: there is no platform"},
      {kMinimalSettings + "(membership \"consul\")", "consul: is needed for membership consul"},
      {kMinimalSettings + "(membership \"consul\")\n(consul (address \"127.0.0.1:8500\"))",
       "consul.service: at least one is needed"},
      {kMinimalSettings + "(consul (tag \"a\"))", "s:3: consul"},
      {kMinimalSettings + kHost + "(fleet (roles \"sweep\"))", "fleet: needs a section consul"},
      {kMinimalSettings + kHost + kAgent + "(fleet (roles \"dance\"))", "fleet.roles"},
      {kMinimalSettings + kHost + kAgent + "(fleet (roles \"sweep\" \"sweep\"))",
       "fleet.roles: is named twice: sweep"},
      {kMinimalSettings + kHost + kAgent + "(fleet (roles \"sweep\"))", "fleet.sweep.service: is needed"},
      {kMinimalSettings + kHost + kAgent + "\n(fleet (roles \"sweep\") (ttl-ms 9000))",
       "s:5: fleet: its times cannot be kept: ttl"},
      {kMinimalSettings + kHost + kAgent + "(fleet (roles \"sweep\") (renew-ms 12000))",
       "its times cannot be kept: renew_every + call"},
      {kMinimalSettings + kHost + kAgent + "(fleet)", "fleet: names neither roles nor drain"},
      {kMinimalSettings + kHost + kAgent + "(fleet (roles \"ejection\"))",
       "fleet.roles: ejection needs a section"},
      {kMinimalSettings + kHost + kAgent + "(fleet (ejection (every-ms 2000) (stale-ms 5000)))",
       "fleet.ejection.stale-ms: is under three times every-ms"},
      {kMinimalSettings + kHost + kAgent + "(fleet (ejection (percent 101)))", "fleet.ejection.percent"},
      {kMinimalSettings + kHost + kAgent + "(fleet (drain (most 0)))", "fleet.drain.most: nothing bounds"},
      {kMinimalSettings + kHost + kAgent + "(fleet (drain (per-zone 1)))", "fleet.drain.zone: is needed"},
      {kMinimalSettings + kHost + kAgent + "(fleet (drain (percent 10)))", "fleet.drain.service: is needed"},
      {kMinimalSettings + kHost + kAgent + "(fleet (drain (out-ms 53000)))",
       "its times cannot be kept: out + call"},
      {kMinimalSettings + kHost + kAgent + "(fleet (release (folder \"/opt/x\")))",
       "fleet.release: needs a section drain"},
      {kMinimalSettings + kHost + kAgent + "(fleet (drain) (release (folder \"/opt/x\")))",
       "fleet.release: needs a section upgrade"},
      {kMinimalSettings + kHost + kAgent + "(fleet (roles \"drain\") (drain))",
       "fleet.roles: drain needs a section release"},
      {kMinimalSettings +
           "(consul (address \"127.0.0.1:8500\")\n(service (name \"a\"))\n(service (name \"a b\")))",
       "s:5: consul.service[1].name: "},
      {kMinimalSettings + kHost +
           "(consul (address \"127.0.0.1:8500\")\n(service (name \"a\"))\n(service (name \"a\")))",
       "s:6: consul.service[1].name: is watched twice: a"},
      {kMinimalSettings + kHost +
           "(consul (address \"127.0.0.1:8500\") (service (name \"a\"))\n(token-file \"/nowhere/token\"))",
       "s:5: consul.token-file: cannot be read"},
  };
  for (const auto& c : cases) {
    try {
      apply_settings(c.text, "s", std::nullopt);
      ADD_FAILURE() << "no error in " << c.text;
    } catch (const ConfigError& e) {
      const std::string error = e.what();
      EXPECT_NE(error.find(c.message), std::string::npos) << error << "\n" << c.text;
      EXPECT_EQ(error.find('\n'), std::string::npos) << error;
    }
  }
  EXPECT_THROW(apply_settings("(name \"x\")", "s", parse_config(test::config_json())), ConfigError);
}

TEST(Settings, SurvivesGarbage) {
  const std::string valid = shipped_file("example.sexp");
  for (unsigned seed = 0; seed < 500; ++seed) {
    std::mt19937 random(seed);
    try {
      apply_settings(test::corrupted_copy(valid, random), "s", std::nullopt);
    } catch (const ConfigError&) {
    }
  }
}

}  // namespace
}  // namespace fennellane
