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

// What only the platform says where there is one.
constexpr const char* kOfThePlatform[] = {"name",  "listen", "limits", "zones",
                                          "kinds", "class",  "tenant", "delivery"};

class File {
 public:
  File(std::string_view text, const std::string& path) : path_(path) {
    try {
      document_ = read_sexp(text, settings_schema());
    } catch (const SexpError& e) {
      throw ConfigError(path + ":" + e.what());
    }
    if (const auto fault = schema_fault(document_.value, settings_schema())) fail(fault->path, fault->what);
  }
  [[noreturn]] void fail(const std::string& at, const std::string& what) const {
    throw ConfigError(path_ + ":" + std::to_string(document_.line_of(at)) + ": " +
                      (at.empty() ? "" : at + ": ") + what);
  }
  const Json::Value& value() const { return document_.value; }
  Address address(const Json::Value& in, const std::string& at) const {
    try {
      const Address address = numeric_address(in.asString());
      if (address.port > 0) return address;
    } catch (const ConfigError&) {
    }
    fail(at, "expected a numeric address with a port, not " + in.asString());
  }

 private:
  const std::string path_;
  SexpDocument document_;
};

std::string text_of(const Json::Value& in, const char* name, const std::string& absent = "") {
  return in.isMember(name) ? in[name].asString() : absent;
}
double number_of(const Json::Value& in, const char* name, double absent) {
  return in.isMember(name) ? in[name].asDouble() : absent;
}
std::uint64_t count_of(const Json::Value& in, const char* name, std::uint64_t absent) {
  return in.isMember(name) ? in[name].asUInt64() : absent;
}
Time ms_of(const Json::Value& in, const char* name, Time absent) {
  return in.isMember(name) ? Time(std::chrono::milliseconds(in[name].asInt64())) : absent;
}
std::string joined(const Json::Value& names) {
  std::string text;
  for (const Json::Value& name : names) text += (text.empty() ? "" : ",") + name.asString();
  return text;
}

// The settings that the platform would give, in its own names and units, from the operators' ones.
wire::SettingsMap module_settings(const File& file) {
  const Json::Value& in = file.value();
  const Json::Value& delivery = in["delivery"];
  const auto us = [&delivery](const char* name, std::uint64_t absent_ms) {
    return std::to_string(count_of(delivery, name, absent_ms) * 1000);
  };
  const auto count = [&delivery](const char* name, std::uint64_t absent) {
    return std::to_string(count_of(delivery, name, absent));
  };
  wire::SettingsMap out;
  out["n_instances"] = count("relays", 1);
  out["zones"] = joined(in["zones"]);
  out["skus"] = joined(in["kinds"]);
  if (!in.isMember("class")) file.fail("class", "at least one class of message is needed");
  if (!in.isMember("tenant")) file.fail("tenant", "at least one tenant is needed");
  out["request_classes.count"] = std::to_string(in["class"].size());
  for (Json::ArrayIndex i = 0; i < in["class"].size(); ++i) {
    const Json::Value& c = in["class"][i];
    const std::string at = "request_classes." + std::to_string(i) + ".";
    if (c["aim-ms"].asInt64() > c["give-up-ms"].asInt64()) {
      file.fail("class[" + std::to_string(i) + "].aim-ms", "is later than give-up-ms");
    }
    out[at + "name"] = c["name"].asString();
    out[at + "effect"] = c["effect"].asString();
    out[at + "aim_us"] = std::to_string(c["aim-ms"].asInt64() * 1000);
    out[at + "give_up_us"] = std::to_string(c["give-up-ms"].asInt64() * 1000);
    out[at + "worth"] = std::to_string(number_of(c, "worth", 1));
    out[at + "late_worth"] = std::to_string(number_of(c, "late-worth", 0));
  }
  out["orgs.count"] = std::to_string(in["tenant"].size());
  for (Json::ArrayIndex i = 0; i < in["tenant"].size(); ++i) {
    const std::string at = "orgs." + std::to_string(i) + ".";
    out[at + "name"] = in["tenant"][i]["name"].asString();
    out[at + "quota_per_s"] = std::to_string(number_of(in["tenant"][i], "rate", 0));
  }
  out["domain.max_calls"] = count("slots", 16);
  out["domain.late"] = "by_half";
  out["limits.max_open"] = count("held", 500);
  out["limits.max_attempts"] = count("attempts", 12);
  out["limits.connect_timeout_us"] = us("connect-ms", 1000);
  out["limits.conn_idle_us"] = us("idle-ms", 15000);
  out["limits.max_retry_after_us"] = us("return-ms", 2000);
  out["limits.cancel"] = "true";
  out["limits.retry_after"] = "true";
  out["feedback.names"] = "x0,x1";
  out["resolution_us"] = "5000";
  out["guarantees.answer_slack_us"] = "20000";
  out["guarantees.stop_sending_within_us"] = "1000000";
  out["guarantees.cold_us"] = us("cold-ms", 10000);
  out["guarantees.cold_from"] = std::to_string(number_of(delivery, "cold-from", 0.16));
  out["guarantees.overload_factor"] = std::to_string(number_of(delivery, "overload-factor", 2));
  out["guarantees.fall_us"] = us("overload-ms", 2000);
  return out;
}

void read_allowance(const Json::Value& in, Allowance& allowance) {
  allowance.sockets = count_of(in, "sockets", allowance.sockets);
  allowance.memory_mb = count_of(in, "memory-mb", allowance.memory_mb);
  allowance.disk_mb = number_of(in, "disk-mb", allowance.disk_mb);
}

HostList read_hosts(const File& file, const wire::BootInfo& boot) {
  HostList list;
  list.whole = true;
  std::set<std::string> ids;
  const Json::Value& in = file.value()["host"];
  for (Json::ArrayIndex i = 0; i < in.size(); ++i) {
    const std::string at = "host[" + std::to_string(i) + "]";
    HostEntry host;
    host.id = in[i]["id"].asString();
    if (!ids.insert(host.id).second) file.fail(at + ".id", "another host has this id: " + host.id);
    host.address = file.address(in[i]["address"], at + ".address");
    host.destination = in[i]["destination"].asUInt();
    host.zone = position_of(boot.zones, text_of(in[i], "zone"));
    host.kind = position_of(boot.kinds, text_of(in[i], "kind"));
    host.rate = number_of(in[i], "rate", 0);
    list.hosts.push_back(std::move(host));
  }
  return list;
}

// The first line of the file. Guards the log and the wire against a token with other bytes.
std::string read_token(const File& file, const std::string& path) {
  std::ifstream in(path);
  std::string token;
  if (!in || !std::getline(in, token)) file.fail("consul.token-file", "cannot be read: " + path);
  while (!token.empty() && (token.back() == '\r' || token.back() == ' ')) token.pop_back();
  const bool plain = std::all_of(token.begin(), token.end(), [](char c) { return c > ' ' && c < 127; });
  if (token.empty() || token.size() > 512 || !plain)
    file.fail("consul.token-file", "holds no token: " + path);
  return token;
}

ConsulSettings read_consul(const File& file, const Config& config) {
  const Json::Value& in = file.value()["consul"];
  ConsulSettings c;
  c.agent = file.address(in["address"], "consul.address");
  if (in.isMember("token-file")) c.token = read_token(file, in["token-file"].asString());
  c.datacenter = text_of(in, "datacenter");
  const std::string consistency = text_of(in, "consistency", "default");
  c.consistency = consistency == "stale"        ? Consistency::stale
                  : consistency == "consistent" ? Consistency::consistent
                                                : Consistency::normal;
  c.wait = ms_of(in, "wait-ms", c.wait);
  c.answer = ms_of(in, "answer-ms", c.answer);
  c.most_stale = ms_of(in, "most-stale-ms", c.most_stale);
  c.queries_per_second = number_of(in, "queries-per-second", c.queries_per_second);
  std::set<std::string> names;
  for (Json::ArrayIndex i = 0; i < in["service"].size(); ++i) {
    const Json::Value& from = in["service"][i];
    ConsulService service;
    service.name = from["name"].asString();
    if (!names.insert(service.name).second) {
      file.fail("consul.service[" + std::to_string(i) + "].name", "is watched twice: " + service.name);
    }
    service.tag = text_of(from, "tag");
    if (from.isMember("destination")) service.destination = from["destination"].asUInt();
    service.zone = text_of(from, "zone");
    service.kind = text_of(from, "kind");
    service.rate = number_of(from, "rate", 0);
    c.services.push_back(std::move(service));
  }
  const Json::Value& meta = in["meta"];
  c.meta.destination = text_of(meta, "destination", c.meta.destination);
  c.meta.zone = text_of(meta, "zone", c.meta.zone);
  c.meta.kind = text_of(meta, "kind", c.meta.kind);
  c.meta.rate = text_of(meta, "rate", c.meta.rate);
  MembershipSettings& m = c.membership;
  m.services = static_cast<std::uint32_t>(c.services.size());
  m.rate_of = text_of(in, "rate-of", "destination") == "host" ? RateOf::host : RateOf::destination;
  m.most_loss = number_of(in["loss"], "most-share", m.most_loss);
  m.loss_hold = ms_of(in["loss"], "hold-ms", m.loss_hold);
  DampingSettings& d = m.damping;
  d.suppress = number_of(in["damping"], "suppress", d.suppress);
  d.reuse = number_of(in["damping"], "reuse", d.reuse);
  d.half_life = ms_of(in["damping"], "half-life-ms", d.half_life);
  d.most = ms_of(in["damping"], "most-ms", d.most);
  if (d.reuse > d.suppress) file.fail("consul.damping.reuse", "is above suppress");
  if (in.isMember("register")) {
    const Json::Value& from = in["register"];
    ConsulRegistration r;
    r.service = from["service"].asString();
    r.address = text_of(from, "address", config.listen.host);
    if (!is_numeric_host(r.address)) file.fail("consul.register.address", "expected a numeric address");
    r.port = config.listen.port;
    r.ttl = ms_of(from, "ttl-ms", r.ttl);
    r.forget_after = ms_of(from, "forget-after-ms", r.forget_after);
    c.registration = std::move(r);
  }
  return c;
}

DrainSettings read_drain(const File& file, const Config& config, Time least_ttl) {
  const Json::Value& in = file.value()["fleet"]["drain"];
  DrainSettings d;
  drain::SlotSettings& s = d.slot;
  s.relay = config.name;
  s.zone = text_of(in, "zone");
  s.cap.most = static_cast<std::uint32_t>(count_of(in, "most", s.cap.most));
  s.cap.per_zone = static_cast<std::uint32_t>(count_of(in, "per-zone", s.cap.per_zone));
  s.cap.percent = static_cast<std::uint32_t>(count_of(in, "percent", s.cap.percent));
  if (s.cap == drain::Cap{0, 0, 0}) file.fail("fleet.drain.most", "nothing bounds how many may be out");
  if (s.cap.per_zone > 0 && s.zone.empty()) file.fail("fleet.drain.zone", "is needed for per-zone");
  d.service = text_of(in, "service", config.consul->registration ? config.consul->registration->service : "");
  s.census = !d.service.empty();
  if (s.cap.percent > 0 && !s.census) file.fail("fleet.drain.service", "is needed for percent");
  d.on_sigterm = !in.isMember("on-sigterm") || in["on-sigterm"].asBool();
  d.on_upgrade = !in.isMember("on-upgrade") || in["on-upgrade"].asBool();
  s.ttl = ms_of(in, "ttl-ms", s.ttl);
  s.renew_every = ms_of(in, "renew-ms", s.renew_every);
  s.margin = ms_of(in, "margin-ms", s.margin);
  s.out = ms_of(in, "out-ms", s.out);
  s.call = ms_of(in, "call-ms", s.call);
  s.retry = ms_of(in, "retry-ms", s.retry);
  const std::string wrong = slot_problem(s, least_ttl);
  if (!wrong.empty()) file.fail("fleet.drain", "its times cannot be kept: " + wrong);
  // Guards the budget: a relay that has not come back counts as down before its slot is another's.
  if (s.census && config.consul->registration && config.consul->registration->ttl >= s.ttl - s.margin - s.out)
    file.fail("fleet.drain", "its times cannot be kept: the registration's ttl: under ttl - margin - out");
  return d;
}

ReleaseSettings read_release(const File& file, const Config& config, const FleetSettings& f) {
  const Json::Value& in = file.value()["fleet"]["release"];
  if (!f.drain) file.fail("fleet.release", "needs a section drain");
  if (!config.upgrade) file.fail("fleet.release", "needs a section upgrade");
  ReleaseSettings r;
  r.folder = text_of(in, "folder");
  r.mover.relay = config.name;
  r.mover.zone = f.drain->slot.zone;
  r.mover.report_every = ms_of(in, "report-ms", r.mover.report_every);
  release::CoordinatorSettings& c = r.coordinator;
  c.look = r.mover.report_every;
  c.gather = ms_of(in, "gather-ms", c.gather);
  c.watch = ms_of(in, "watch-ms", c.watch);
  c.most = std::max(c.watch, ms_of(in, "watch-most-ms", c.most));
  c.move = ms_of(in, "move-ms", c.move);
  c.silent = ms_of(in, "silent-ms", c.silent);
  c.test.least = count_of(in, "least-ends", c.test.least);
  c.test.z = number_of(in, "z", c.test.z);
  c.test.difference = number_of(in, "difference", c.test.difference);
  if (c.silent <= r.mover.report_every) file.fail("fleet.release.silent-ms", "is not above report-ms");
  if (c.gather <= r.mover.report_every) file.fail("fleet.release.gather-ms", "is not above report-ms");
  return r;
}

EjectionSettings read_ejection(const File& file, const Config& config) {
  const Json::Value& in = file.value()["fleet"]["ejection"];
  EjectionSettings e;
  ejection::Cap& cap = e.arbiter.cap;
  cap.percent = static_cast<std::uint32_t>(count_of(in, "percent", cap.percent));
  cap.all_percent = static_cast<std::uint32_t>(count_of(in, "all-percent", cap.all_percent));
  cap.voices = static_cast<std::uint32_t>(count_of(in, "voices", cap.voices));
  cap.voices_percent = static_cast<std::uint32_t>(count_of(in, "voices-percent", cap.voices_percent));
  ejection::ReporterSettings& r = e.reporter;
  r.relay = config.name;
  r.most = config.limits.fleet_ailing;
  r.every = e.arbiter.every = ms_of(in, "every-ms", r.every);
  r.stale = e.arbiter.stale = ms_of(in, "stale-ms", r.stale);
  // Guards against a report, or a verdict, that is old before the next one can be there.
  if (ejection::renew_every(r.stale) < r.every)
    file.fail("fleet.ejection.stale-ms", "is under three times every-ms");
  return e;
}

FleetSettings read_fleet(const File& file, const Config& config) {
  const Json::Value& in = file.value()["fleet"];
  if (!config.consul) file.fail("fleet", "needs a section consul, for its address");
  FleetSettings f;
  f.prefix = text_of(in, "prefix", f.prefix);
  for (const Json::Value& role : in["roles"]) {
    if (std::count(f.roles.begin(), f.roles.end(), role.asString()) > 0)
      file.fail("fleet.roles", "is named twice: " + role.asString());
    f.roles.push_back(role.asString());
  }
  lease::Timing& t = f.timing;
  t.ttl = ms_of(in, "ttl-ms", t.ttl);
  t.renew_every = ms_of(in, "renew-ms", t.renew_every);
  t.margin = ms_of(in, "margin-ms", t.margin);
  t.lock_delay = ms_of(in, "lock-delay-ms", t.lock_delay);
  t.call = ms_of(in, "call-ms", t.call);
  t.retry = ms_of(in, "retry-ms", t.retry);
  t.spread = ms_of(in, "spread-ms", t.spread);
  f.wait = ms_of(in, "wait-ms", f.wait);
  const Time least_ttl = ms_of(in, "consul-least-ttl-ms", lease::kConsulLeastTtl);
  const std::string wrong = timing_problem(t, least_ttl);
  if (!wrong.empty()) file.fail("fleet", "its times cannot be kept: " + wrong);
  f.refresh.beat = ms_of(in["refresh"], "beat-ms", f.refresh.beat);
  f.refresh.stale = ms_of(in["refresh"], "stale-ms", f.refresh.stale);
  f.refresh.patience = ms_of(in["refresh"], "patience-ms", f.refresh.patience);
  f.refresh.spread = ms_of(in["refresh"], "spread-ms", f.refresh.spread);
  f.discovery = text_of(in["refresh"], "discovery");
  if (f.refresh.stale <= f.refresh.beat) file.fail("fleet.refresh.stale-ms", "is not above beat-ms");
  if (has_role(f, fleet::kRefreshRole) && config.source != MembershipSource::platform)
    file.fail("fleet.roles", "refresh is for membership platform");
  const Json::Value& sweep = in["sweep"];
  f.sweep.service =
      text_of(sweep, "service", config.consul->registration ? config.consul->registration->service : "");
  f.sweep.every = ms_of(sweep, "every-ms", f.sweep.every);
  f.sweep.stale_after = ms_of(sweep, "stale-after-ms", f.sweep.stale_after);
  if (f.sweep.service.empty() && has_role(f, fleet::kSweepRole))
    file.fail("fleet.sweep.service", "is needed where the relay is not registered itself");
  // Guards the keys that its name becomes a part of.
  for (const char* const section : {"drain", "ejection"})
    if (in.isMember(section) && !plain_name(config.name))
      file.fail(std::string("fleet.") + section, "the relay's name is no plain one");
  if (in.isMember("drain")) f.drain = read_drain(file, config, least_ttl);
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
  const File file(text, path);
  const Json::Value& in = file.value();
  Config config;
  if (platform) {
    for (const char* name : kOfThePlatform) {
      if (in.isMember(name)) file.fail(name, "the platform's configuration says this");
    }
    config = std::move(*platform);
  } else {
    config.platform = false;
    config.name = text_of(in, "name", "fennellane");
    config.listen = in.isMember("listen") ? file.address(in["listen"], "listen") : Address{"127.0.0.1", 8080};
    read_allowance(in["limits"], config.allowance);
    config.settings = module_settings(file);
    try {
      config.boot = wire::read_settings(config.settings, 0);
    } catch (const wire::BadInput& e) {
      file.fail("", e.what());
    }
    config.boot.settings.can_probe = false;
    config.boot.settings.list_on_request = false;
  }
  const std::string form = text_of(in["log"], "form", "plain");
  config.log.form = form == "json" ? LogForm::json : form == "logfmt" ? LogForm::logfmt : LogForm::plain;
  config.log.most_lines = count_of(in["log"], "lines", config.log.most_lines);
  if (in.isMember("upgrade")) {
    UpgradeSettings upgrade;
    upgrade.program = text_of(in["upgrade"], "program", "");
    upgrade.start = ms_of(in["upgrade"], "start-ms", upgrade.start);
    upgrade.state = ms_of(in["upgrade"], "state-ms", upgrade.state);
    upgrade.taken = ms_of(in["upgrade"], "taken-ms", upgrade.taken);
    config.upgrade = std::move(upgrade);
  }
  if (in.isMember("record")) {
    RecordSettings record;
    record.bytes = count_of(in["record"], "kib", record.bytes / 1024) * 1024;
    record.folder = text_of(in["record"], "folder", "");
    if (record.folder.empty() && static_cast<double>(record.bytes) > config.allowance.disk_mb * 1e6 / 2) {
      file.fail("record.kib", "is more than half of the disk that the state folder may take");
    }
    config.record = std::move(record);
  }
  const std::string source = text_of(in, "membership", platform ? "platform" : "list");
  if (source == "platform") {
    if (!config.platform) file.fail("membership", "there is no platform: expected list or consul");
  } else if (source == "list") {
    config.source = MembershipSource::list;
    if (!in.isMember("host")) file.fail("host", "at least one host is needed for membership list");
    config.known = read_hosts(file, config.boot);
  } else {
    config.source = MembershipSource::consul;
    if (!in.isMember("consul")) file.fail("consul", "is needed for membership consul");
    config.known = {};
  }
  if (in.isMember("consul")) config.consul = read_consul(file, config);
  if (config.source == MembershipSource::consul && config.consul->services.empty())
    file.fail("consul.service", "at least one is needed for membership consul");
  if (in.isMember("fleet")) config.fleet = read_fleet(file, config);
  if (config.fleet && config.fleet->drain && config.consul->registration) {
    config.consul->registration->relay = config.name;
    config.consul->registration->zone = config.fleet->drain->slot.zone;
  }
  config.keeps_list = true;
  fill_limits(config);
  return config;
}

}  // namespace fennellane
