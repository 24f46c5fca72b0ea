#include "settings_file.hpp"

#include <algorithm>
#include <fstream>
#include <memory>
#include <set>
#include <sstream>

#include "names.hpp"
#include "schema_check.hpp"
#include "schemas.hpp"
#include "sexp.hpp"

namespace fennellane {
namespace {

// Members that come from the platform's configuration if there is one.
constexpr const char* kPlatformMembers[] = {"name",  "listen", "limits", "zones",
                                            "kinds", "class",  "tenant", "delivery"};

class SettingsFile {
 public:
  SettingsFile(std::string_view text, const std::string& path) : path_(path) {
    try {
      document_ = read_sexp(text, settings_schema());
    } catch (const SexpError& e) {
      throw ConfigError(path + ":" + e.what());
    }
    if (const auto error = find_schema_error(document_.value, settings_schema()))
      fail(error->path, error->message);
  }
  [[noreturn]] void fail(const std::string& member, const std::string& message) const {
    throw ConfigError(path_ + ":" + std::to_string(document_.line_of(member)) + ": " +
                      (member.empty() ? "" : member + ": ") + message);
  }
  const Json::Value& value() const { return document_.value; }
  Address address(const Json::Value& in, const std::string& member) const {
    try {
      const Address address = parse_numeric_address(in.asString());
      if (address.port > 0) return address;
    } catch (const ConfigError&) {
    }
    fail(member, "expected a numeric address with a port, not " + in.asString());
  }

 private:
  const std::string path_;
  SexpDocument document_;
};

std::string string_member(const Json::Value& in, const char* name, const std::string& fallback = "") {
  return in.isMember(name) ? in[name].asString() : fallback;
}
double number_member(const Json::Value& in, const char* name, double fallback) {
  return in.isMember(name) ? in[name].asDouble() : fallback;
}
std::uint64_t count_member(const Json::Value& in, const char* name, std::uint64_t fallback) {
  return in.isMember(name) ? in[name].asUInt64() : fallback;
}
Time ms_member(const Json::Value& in, const char* name, Time fallback) {
  return in.isMember(name) ? Time(std::chrono::milliseconds(in[name].asInt64())) : fallback;
}
std::string comma_joined(const Json::Value& names) {
  std::string text;
  for (const Json::Value& name : names) text += (text.empty() ? "" : ",") + name.asString();
  return text;
}

// Converts the operators' settings to those that the platform would give, in its names and units.
wire::SettingsMap module_settings(const SettingsFile& file) {
  const Json::Value& in = file.value();
  const Json::Value& delivery = in["delivery"];
  const auto microseconds = [&delivery](const char* name, std::uint64_t fallback_ms) {
    return std::to_string(count_member(delivery, name, fallback_ms) * 1000);
  };
  const auto count = [&delivery](const char* name, std::uint64_t fallback) {
    return std::to_string(count_member(delivery, name, fallback));
  };
  wire::SettingsMap out;
  out["n_instances"] = count("relays", 1);
  out["zones"] = comma_joined(in["zones"]);
  out["skus"] = comma_joined(in["kinds"]);
  if (!in.isMember("class")) file.fail("class", "at least one class of message is needed");
  if (!in.isMember("tenant")) file.fail("tenant", "at least one tenant is needed");
  out["request_classes.count"] = std::to_string(in["class"].size());
  for (Json::ArrayIndex i = 0; i < in["class"].size(); ++i) {
    const Json::Value& c = in["class"][i];
    const std::string prefix = "request_classes." + std::to_string(i) + ".";
    if (c["aim-ms"].asInt64() > c["give-up-ms"].asInt64()) {
      file.fail("class[" + std::to_string(i) + "].aim-ms", "is later than give-up-ms");
    }
    out[prefix + "name"] = c["name"].asString();
    out[prefix + "effect"] = c["effect"].asString();
    out[prefix + "aim_us"] = std::to_string(c["aim-ms"].asInt64() * 1000);
    out[prefix + "give_up_us"] = std::to_string(c["give-up-ms"].asInt64() * 1000);
    out[prefix + "worth"] = std::to_string(number_member(c, "worth", 1));
    out[prefix + "late_worth"] = std::to_string(number_member(c, "late-worth", 0));
  }
  out["orgs.count"] = std::to_string(in["tenant"].size());
  for (Json::ArrayIndex i = 0; i < in["tenant"].size(); ++i) {
    const std::string prefix = "orgs." + std::to_string(i) + ".";
    out[prefix + "name"] = in["tenant"][i]["name"].asString();
    out[prefix + "quota_per_s"] = std::to_string(number_member(in["tenant"][i], "rate", 0));
  }
  out["domain.max_calls"] = count("slots", 16);
  out["domain.late"] = "by_half";
  out["limits.max_open"] = count("held", 500);
  out["limits.max_attempts"] = count("attempts", 12);
  out["limits.connect_timeout_us"] = microseconds("connect-ms", 1000);
  out["limits.conn_idle_us"] = microseconds("idle-ms", 15000);
  out["limits.max_retry_after_us"] = microseconds("return-ms", 2000);
  out["limits.cancel"] = "true";
  out["limits.retry_after"] = "true";
  out["feedback.names"] = "x0,x1";
  out["resolution_us"] = "5000";
  out["guarantees.answer_slack_us"] = "20000";
  out["guarantees.stop_sending_within_us"] = "1000000";
  out["guarantees.cold_us"] = microseconds("cold-ms", 10000);
  out["guarantees.cold_from"] = std::to_string(number_member(delivery, "cold-from", 0.16));
  out["guarantees.overload_factor"] = std::to_string(number_member(delivery, "overload-factor", 2));
  out["guarantees.fall_us"] = microseconds("overload-ms", 2000);
  return out;
}

void read_allowance(const Json::Value& in, ResourceLimits& allowance) {
  allowance.sockets = count_member(in, "sockets", allowance.sockets);
  allowance.memory_mb = count_member(in, "memory-mb", allowance.memory_mb);
  allowance.disk_mb = number_member(in, "disk-mb", allowance.disk_mb);
}

HostList read_hosts(const SettingsFile& file, const wire::InstanceSettings& boot) {
  HostList list;
  list.full = true;
  std::set<std::string> ids;
  const Json::Value& in = file.value()["host"];
  for (Json::ArrayIndex i = 0; i < in.size(); ++i) {
    const std::string member = "host[" + std::to_string(i) + "]";
    HostEntry host;
    host.id = in[i]["id"].asString();
    if (!ids.insert(host.id).second) file.fail(member + ".id", "another host has this id: " + host.id);
    host.address = file.address(in[i]["address"], member + ".address");
    host.destination = in[i]["destination"].asUInt();
    host.zone = position_of(boot.zones, string_member(in[i], "zone"));
    host.kind = position_of(boot.kinds, string_member(in[i], "kind"));
    host.rate = number_member(in[i], "rate", 0);
    list.hosts.push_back(std::move(host));
  }
  return list;
}

// Reads the first line of the file. Accepts only printable ASCII, so that no other bytes get into a header or
// the log.
std::string read_token(const SettingsFile& file, const std::string& path) {
  std::ifstream in(path);
  std::string token;
  if (!in || !std::getline(in, token)) file.fail("consul.token-file", "cannot be read: " + path);
  while (!token.empty() && (token.back() == '\r' || token.back() == ' ')) token.pop_back();
  const bool printable = std::all_of(token.begin(), token.end(), [](char c) { return c > ' ' && c < 127; });
  if (token.empty() || token.size() > 512 || !printable)
    file.fail("consul.token-file", "holds no token: " + path);
  return token;
}

ConsulSettings read_consul(const SettingsFile& file, const Config& config) {
  const Json::Value& in = file.value()["consul"];
  ConsulSettings c;
  c.agent = file.address(in["address"], "consul.address");
  if (in.isMember("token-file")) c.token = read_token(file, in["token-file"].asString());
  c.datacenter = string_member(in, "datacenter");
  const std::string consistency = string_member(in, "consistency", "default");
  c.consistency = consistency == "stale"        ? Consistency::stale
                  : consistency == "consistent" ? Consistency::consistent
                                                : Consistency::normal;
  c.blocking_wait = ms_member(in, "wait-ms", c.blocking_wait);
  c.answer_timeout = ms_member(in, "answer-ms", c.answer_timeout);
  c.max_stale = ms_member(in, "most-stale-ms", c.max_stale);
  c.queries_per_second = number_member(in, "queries-per-second", c.queries_per_second);
  std::set<std::string> names;
  for (Json::ArrayIndex i = 0; i < in["service"].size(); ++i) {
    const Json::Value& from = in["service"][i];
    ConsulService service;
    service.name = from["name"].asString();
    if (!names.insert(service.name).second) {
      file.fail("consul.service[" + std::to_string(i) + "].name", "is watched twice: " + service.name);
    }
    service.tag = string_member(from, "tag");
    if (from.isMember("destination")) service.destination = from["destination"].asUInt();
    service.zone = string_member(from, "zone");
    service.kind = string_member(from, "kind");
    service.rate = number_member(from, "rate", 0);
    c.services.push_back(std::move(service));
  }
  const Json::Value& meta = in["meta"];
  c.meta.destination = string_member(meta, "destination", c.meta.destination);
  c.meta.zone = string_member(meta, "zone", c.meta.zone);
  c.meta.kind = string_member(meta, "kind", c.meta.kind);
  c.meta.rate = string_member(meta, "rate", c.meta.rate);
  MembershipSettings& m = c.membership;
  m.services = static_cast<std::uint32_t>(c.services.size());
  m.rate_of = string_member(in, "rate-of", "destination") == "host" ? RateOf::host : RateOf::destination;
  m.max_loss_share = number_member(in["loss"], "most-share", m.max_loss_share);
  m.loss_hold = ms_member(in["loss"], "hold-ms", m.loss_hold);
  DampingSettings& d = m.damping;
  d.suppress = number_member(in["damping"], "suppress", d.suppress);
  d.reuse = number_member(in["damping"], "reuse", d.reuse);
  d.half_life = ms_member(in["damping"], "half-life-ms", d.half_life);
  d.max_wait = ms_member(in["damping"], "most-ms", d.max_wait);
  if (d.reuse > d.suppress) file.fail("consul.damping.reuse", "is above suppress");
  if (in.isMember("register")) {
    const Json::Value& from = in["register"];
    ConsulRegistration r;
    r.service = from["service"].asString();
    r.address = string_member(from, "address", config.listen.host);
    if (!is_numeric_host(r.address)) file.fail("consul.register.address", "expected a numeric address");
    r.port = config.listen.port;
    r.ttl = ms_member(from, "ttl-ms", r.ttl);
    r.deregister_after = ms_member(from, "forget-after-ms", r.deregister_after);
    c.registration = std::move(r);
  }
  return c;
}

DrainSettings read_drain(const SettingsFile& file, const Config& config, Time min_ttl) {
  const Json::Value& in = file.value()["fleet"]["drain"];
  DrainSettings d;
  drain::SlotSettings& s = d.slot;
  s.relay = config.name;
  s.zone = string_member(in, "zone");
  s.cap.max_relays = static_cast<std::uint32_t>(count_member(in, "most", s.cap.max_relays));
  s.cap.per_zone = static_cast<std::uint32_t>(count_member(in, "per-zone", s.cap.per_zone));
  s.cap.percent = static_cast<std::uint32_t>(count_member(in, "percent", s.cap.percent));
  if (s.cap == drain::Cap{0, 0, 0}) file.fail("fleet.drain.most", "nothing bounds how many may be out");
  if (s.cap.per_zone > 0 && s.zone.empty()) file.fail("fleet.drain.zone", "is needed for per-zone");
  d.service =
      string_member(in, "service", config.consul->registration ? config.consul->registration->service : "");
  s.census = !d.service.empty();
  if (s.cap.percent > 0 && !s.census) file.fail("fleet.drain.service", "is needed for percent");
  d.on_sigterm = !in.isMember("on-sigterm") || in["on-sigterm"].asBool();
  d.on_upgrade = !in.isMember("on-upgrade") || in["on-upgrade"].asBool();
  s.ttl = ms_member(in, "ttl-ms", s.ttl);
  s.renew_every = ms_member(in, "renew-ms", s.renew_every);
  s.margin = ms_member(in, "margin-ms", s.margin);
  s.max_outage = ms_member(in, "out-ms", s.max_outage);
  s.call = ms_member(in, "call-ms", s.call);
  s.retry = ms_member(in, "retry-ms", s.retry);
  const std::string problem = slot_problem(s, min_ttl);
  if (!problem.empty()) file.fail("fleet.drain", "its times cannot be kept: " + problem);
  // A relay that does not come back must count as down before another relay can acquire its slot.
  if (s.census && config.consul->registration &&
      config.consul->registration->ttl >= s.ttl - s.margin - s.max_outage)
    file.fail("fleet.drain", "its times cannot be kept: the registration's ttl: under ttl - margin - out");
  return d;
}

ReleaseSettings read_release(const SettingsFile& file, const Config& config, const FleetSettings& f) {
  const Json::Value& in = file.value()["fleet"]["release"];
  if (!f.drain) file.fail("fleet.release", "needs a section drain");
  if (!config.upgrade) file.fail("fleet.release", "needs a section upgrade");
  ReleaseSettings r;
  r.folder = string_member(in, "folder");
  r.mover.relay = config.name;
  r.mover.zone = f.drain->slot.zone;
  r.mover.report_every = ms_member(in, "report-ms", r.mover.report_every);
  release::CoordinatorSettings& c = r.coordinator;
  c.check_interval = r.mover.report_every;
  c.gather = ms_member(in, "gather-ms", c.gather);
  c.watch = ms_member(in, "watch-ms", c.watch);
  c.max_watch = std::max(c.watch, ms_member(in, "watch-most-ms", c.max_watch));
  c.move = ms_member(in, "move-ms", c.move);
  c.silent = ms_member(in, "silent-ms", c.silent);
  c.test.min_samples = count_member(in, "least-ends", c.test.min_samples);
  c.test.z = number_member(in, "z", c.test.z);
  c.test.difference = number_member(in, "difference", c.test.difference);
  if (c.silent <= r.mover.report_every) file.fail("fleet.release.silent-ms", "is not above report-ms");
  if (c.gather <= r.mover.report_every) file.fail("fleet.release.gather-ms", "is not above report-ms");
  return r;
}

EjectionSettings read_ejection(const SettingsFile& file, const Config& config) {
  const Json::Value& in = file.value()["fleet"]["ejection"];
  EjectionSettings e;
  ejection::Cap& cap = e.arbiter.cap;
  cap.percent = static_cast<std::uint32_t>(count_member(in, "percent", cap.percent));
  cap.all_percent = static_cast<std::uint32_t>(count_member(in, "all-percent", cap.all_percent));
  cap.voices = static_cast<std::uint32_t>(count_member(in, "voices", cap.voices));
  cap.voices_percent = static_cast<std::uint32_t>(count_member(in, "voices-percent", cap.voices_percent));
  ejection::ReporterSettings& r = e.reporter;
  r.relay = config.name;
  r.max_endpoints = config.limits.max_degraded_endpoints;
  r.every = e.arbiter.every = ms_member(in, "every-ms", r.every);
  r.stale = e.arbiter.stale = ms_member(in, "stale-ms", r.stale);
  // A report or verdict must not become stale before the next one can arrive.
  if (ejection::renew_every(r.stale) < r.every)
    file.fail("fleet.ejection.stale-ms", "is under three times every-ms");
  return e;
}

FleetSettings read_fleet(const SettingsFile& file, const Config& config) {
  const Json::Value& in = file.value()["fleet"];
  if (!config.consul) file.fail("fleet", "needs a section consul, for its address");
  FleetSettings f;
  f.key_prefix = string_member(in, "prefix", f.key_prefix);
  for (const Json::Value& role : in["roles"]) {
    if (std::count(f.roles.begin(), f.roles.end(), role.asString()) > 0)
      file.fail("fleet.roles", "is named twice: " + role.asString());
    f.roles.push_back(role.asString());
  }
  lease::Timing& t = f.timing;
  t.ttl = ms_member(in, "ttl-ms", t.ttl);
  t.renew_every = ms_member(in, "renew-ms", t.renew_every);
  t.margin = ms_member(in, "margin-ms", t.margin);
  t.lock_delay = ms_member(in, "lock-delay-ms", t.lock_delay);
  t.call = ms_member(in, "call-ms", t.call);
  t.retry = ms_member(in, "retry-ms", t.retry);
  t.spread = ms_member(in, "spread-ms", t.spread);
  f.blocking_wait = ms_member(in, "wait-ms", f.blocking_wait);
  const Time min_ttl = ms_member(in, "consul-least-ttl-ms", lease::kConsulMinTtl);
  const std::string problem = timing_problem(t, min_ttl);
  if (!problem.empty()) file.fail("fleet", "its times cannot be kept: " + problem);
  f.refresh.heartbeat = ms_member(in["refresh"], "beat-ms", f.refresh.heartbeat);
  f.refresh.stale_after = ms_member(in["refresh"], "stale-ms", f.refresh.stale_after);
  f.refresh.discovery_timeout = ms_member(in["refresh"], "patience-ms", f.refresh.discovery_timeout);
  f.refresh.fallback_spread = ms_member(in["refresh"], "spread-ms", f.refresh.fallback_spread);
  f.discovery_name = string_member(in["refresh"], "discovery");
  if (f.refresh.stale_after <= f.refresh.heartbeat)
    file.fail("fleet.refresh.stale-ms", "is not above beat-ms");
  if (has_role(f, fleet::kRefreshRole) && config.source != MembershipSource::platform)
    file.fail("fleet.roles", "refresh is for membership platform");
  const Json::Value& sweep = in["sweep"];
  f.sweep.service = string_member(sweep, "service",
                                  config.consul->registration ? config.consul->registration->service : "");
  f.sweep.every = ms_member(sweep, "every-ms", f.sweep.every);
  f.sweep.stale_after = ms_member(sweep, "stale-after-ms", f.sweep.stale_after);
  if (f.sweep.service.empty() && has_role(f, fleet::kSweepRole))
    file.fail("fleet.sweep.service", "is needed where the relay is not registered itself");
  // The relay's name becomes part of keys.
  for (const char* const section : {"drain", "ejection"})
    if (in.isMember(section) && !is_plain_name(config.name))
      file.fail(std::string("fleet.") + section, "the relay's name is no plain one");
  if (in.isMember("drain")) f.drain = read_drain(file, config, min_ttl);
  if (in.isMember("release")) f.release = read_release(file, config, f);
  if (has_role(f, fleet::kDrainRole) && !f.release) file.fail("fleet.roles", "drain needs a section release");
  if (in.isMember("ejection")) f.ejection = read_ejection(file, config);
  if (has_role(f, fleet::kEjectionRole) && !f.ejection)
    file.fail("fleet.roles", "ejection needs a section ejection");
  if (f.roles.empty() && !f.drain && !f.ejection)
    file.fail("fleet", "names neither roles nor drain nor ejection");
  return f;
}

}  // namespace

const Json::Value& settings_schema() {
  static const Json::Value schema = [] {
    Json::Value value;
    std::istringstream(kSettingsSchema) >> value;
    return value;
  }();
  return schema;
}

Config apply_settings(std::string_view text, const std::string& path, std::optional<Config> platform) {
  const SettingsFile file(text, path);
  const Json::Value& in = file.value();
  Config config;
  if (platform) {
    for (const char* name : kPlatformMembers) {
      if (in.isMember(name)) file.fail(name, "the platform's configuration says this");
    }
    config = std::move(*platform);
  } else {
    config.has_platform = false;
    config.name = string_member(in, "name", "fennellane");
    config.listen = in.isMember("listen") ? file.address(in["listen"], "listen") : Address{"127.0.0.1", 8080};
    read_allowance(in["limits"], config.allowance);
    config.raw_settings = module_settings(file);
    try {
      config.boot = wire::read_settings(config.raw_settings, 0);
    } catch (const wire::InputError& e) {
      file.fail("", e.what());
    }
    config.boot.settings.can_probe = false;
    config.boot.settings.list_on_request = false;
  }
  const std::string form = string_member(in["log"], "form", "plain");
  config.log.format = form == "json"     ? LogFormat::json
                      : form == "logfmt" ? LogFormat::logfmt
                                         : LogFormat::plain;
  config.log.max_lines = count_member(in["log"], "lines", config.log.max_lines);
  if (in.isMember("upgrade")) {
    UpgradeSettings upgrade;
    upgrade.program = string_member(in["upgrade"], "program", "");
    upgrade.start_timeout = ms_member(in["upgrade"], "start-ms", upgrade.start_timeout);
    upgrade.state_timeout = ms_member(in["upgrade"], "state-ms", upgrade.state_timeout);
    upgrade.takeover_timeout = ms_member(in["upgrade"], "taken-ms", upgrade.takeover_timeout);
    config.upgrade = std::move(upgrade);
  }
  if (in.isMember("record")) {
    RecordSettings record;
    record.file_bytes = count_member(in["record"], "kib", record.file_bytes / 1024) * 1024;
    record.folder = string_member(in["record"], "folder", "");
    if (record.folder.empty() &&
        static_cast<double>(record.file_bytes) > config.allowance.disk_mb * 1e6 / 2) {
      file.fail("record.kib", "is more than half of the disk that the state folder may take");
    }
    config.record = std::move(record);
  }
  const std::string source = string_member(in, "membership", platform ? "platform" : "list");
  if (source == "platform") {
    if (!config.has_platform) file.fail("membership", "there is no platform: expected list or consul");
  } else if (source == "list") {
    config.source = MembershipSource::list;
    if (!in.isMember("host")) file.fail("host", "at least one host is needed for membership list");
    config.known_hosts = read_hosts(file, config.boot);
  } else {
    config.source = MembershipSource::consul;
    if (!in.isMember("consul")) file.fail("consul", "is needed for membership consul");
    config.known_hosts = {};
  }
  if (in.isMember("consul")) config.consul = read_consul(file, config);
  if (config.source == MembershipSource::consul && config.consul->services.empty())
    file.fail("consul.service", "at least one is needed for membership consul");
  if (in.isMember("fleet")) config.fleet = read_fleet(file, config);
  if (config.fleet && config.fleet->drain && config.consul->registration) {
    config.consul->registration->relay = config.name;
    config.consul->registration->zone = config.fleet->drain->slot.zone;
  }
  config.stores_list = true;
  fill_limits(config);
  return config;
}

}  // namespace fennellane
