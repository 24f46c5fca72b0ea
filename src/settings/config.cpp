#include "config.hpp"

#include <arpa/inet.h>
#include <json/json.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <memory>
#include <sstream>

#include "names.hpp"
#include "number.hpp"
#include "schema_check.hpp"
#include "schemas.hpp"
#include "settings_file.hpp"

namespace fennellane {
namespace {

using starlinghook::Condition;

Json::Value parse_json(std::string_view text, const char* subject) {
  Json::CharReaderBuilder builder;
  builder["collectComments"] = false;
  builder["stackLimit"] = 64;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value value;
  std::string errors;
  try {
    if (reader->parse(text.data(), text.data() + text.size(), &value, &errors) && value.isObject())
      return value;
  } catch (const Json::Exception&) {  // nested too deeply
  }
  throw ConfigError(std::string(subject) + " is not a JSON object");
}

const Json::Value& required_member(const Json::Value& in, const char* name, Json::ValueType type) {
  const Json::Value& value = in[name];
  const bool type_matches = type == Json::realValue ? value.isNumeric() : value.type() == type;
  if (!type_matches) throw ConfigError(std::string(name) + " is missing or of a wrong type");
  return value;
}
std::string string_member(const Json::Value& in, const char* name) {
  return required_member(in, name, Json::stringValue).asString();
}
double number_member(const Json::Value& in, const char* name, double fallback, double max_value) {
  if (!in.isMember(name)) return fallback;
  const double value = required_member(in, name, Json::realValue).asDouble();
  if (!std::isfinite(value) || value < 0 || value > max_value) {
    throw ConfigError(std::string(name) + " is out of range");
  }
  return value;
}

// Formats plain values as the simulator does: spaces and commas become _.
std::string plain_text(const Json::Value& value) {
  if (value.isBool()) return value.asBool() ? "true" : "false";
  if (value.isUInt64()) return std::to_string(value.asUInt64());
  if (value.isInt64()) return std::to_string(value.asInt64());
  if (value.isDouble()) {
    char text[32];
    std::snprintf(text, sizeof text, "%.17g", value.asDouble());
    return text;
  }
  std::string text = value.isString() ? value.asString() : std::string();
  for (char& c : text) {
    if (c == ' ' || c == ',') c = '_';
  }
  return text;
}

// Flattens nested settings into paths and values, as in the simulator's first message.
void flatten(const Json::Value& value, const std::string& path, wire::SettingsMap& out) {
  if (value.isObject()) {
    for (const std::string& name : value.getMemberNames()) {
      flatten(value[name], path.empty() ? name : path + "." + name, out);
    }
  } else if (value.isArray()) {
    const bool is_structured = !value.empty() && (value[0].isObject() || value[0].isArray());
    std::string joined;
    for (Json::ArrayIndex i = 0; i < value.size(); ++i) {
      if (is_structured) flatten(value[i], path + "." + std::to_string(i), out);
      if (!is_structured && i > 0) joined += ',';
      if (!is_structured) joined += plain_text(value[i]);
    }
    if (is_structured || value.empty()) out[path + ".count"] = std::to_string(value.size());
    if (!is_structured) out[path] = joined;
  } else {
    out[path] = plain_text(value);
  }
}

HostList read_hosts(const Json::Value& in, const wire::InstanceSettings& boot) {
  HostList list;
  list.version = static_cast<std::uint64_t>(number_member(in, "version", 0, 1e15));
  list.full = required_member(in, "full", Json::booleanValue).asBool();
  for (const Json::Value& server : required_member(in, "servers", Json::arrayValue)) {
    if (!server.isObject()) throw ConfigError("a line of servers is no object");
    HostEntry host;
    host.id = string_member(server, "id");
    const std::string state = string_member(server, "state");
    if (state == "ready") {
      host.condition = Condition::ready;
    } else if (state == "draining") {
      host.condition = Condition::draining;
    } else if (state == "gone") {
      host.condition = Condition::gone;
    } else {
      throw ConfigError("a host's state is unknown: " + state);
    }
    host.address = parse_address(string_member(server, "addr"));
    host.zone = position_of(boot.zones, plain_text(server["zone"]));
    host.kind = position_of(boot.kinds, plain_text(server["kind"]));
    host.destination = static_cast<std::uint32_t>(number_member(server, "cell", 0, 65535));
    host.rate = boot.rates_listed ? number_member(server, "weight", 0, 1e9) : 0;
    host.started_ms = static_cast<std::uint64_t>(number_member(server, "started_ms", 0, 1e15));
    list.hosts.push_back(std::move(host));
  }
  return list;
}

}  // namespace

bool is_numeric_host(const std::string& host) {
  unsigned char bytes[sizeof(in6_addr)];
  return inet_pton(AF_INET, host.c_str(), bytes) == 1 || inet_pton(AF_INET6, host.c_str(), bytes) == 1;
}

// Host names are not resolved, so they are rejected here and not only when the relay connects.
Address parse_numeric_address(const std::string& text) {
  Address address = parse_address(text);
  if (!is_numeric_host(address.host)) throw ConfigError("no numeric address: " + text);
  return address;
}

Address parse_address(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  const auto port =
      colon == std::string_view::npos ? std::nullopt : parse_unsigned(text.substr(colon + 1), 65535);
  if (!port || colon == 0) throw ConfigError("no address with a port: " + std::string(text));
  return {std::string(text.substr(0, colon)), static_cast<std::uint16_t>(*port)};
}

HostList parse_hosts(std::string_view json, const wire::InstanceSettings& boot) {
  try {
    return read_hosts(parse_json(json, "the list"), boot);
  } catch (const Json::Exception& e) {
    throw ConfigError(e.what());
  }
}

std::string hosts_json(const HostList& list, const wire::InstanceSettings& boot) {
  Json::Value out;
  out["version"] = Json::UInt64(list.version);
  out["full"] = list.full;
  out["servers"] = Json::Value(Json::arrayValue);
  for (const HostEntry& host : list.hosts) {
    Json::Value server;
    server["id"] = host.id;
    server["addr"] = host.address.text();
    server["zone"] = name_at(boot.zones, host.zone);
    server["kind"] = name_at(boot.kinds, host.kind);
    server["cell"] = host.destination;
    server["state"] = host.condition == Condition::ready      ? "ready"
                      : host.condition == Condition::draining ? "draining"
                                                              : "gone";
    server["weight"] = host.rate;
    server["started_ms"] = Json::UInt64(host.started_ms);
    out["servers"].append(server);
  }
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, out);
}

namespace {

DiscoveryMode read_discovery_mode(const wire::SettingsMap& settings) {
  const auto mode = settings.find("discovery");
  if (mode == settings.end()) return DiscoveryMode::unknown;
  return mode->second == "push" ? DiscoveryMode::push : DiscoveryMode::ask;
}

}  // namespace

const DiscoveryTiming& Config::discovery_timing() const {
  switch (discovery_mode) {
    case DiscoveryMode::push:
      return limits.pushed_discovery;
    case DiscoveryMode::ask:
      return limits.asked_discovery;
    case DiscoveryMode::unknown:
      break;
  }
  return limits.unknown_discovery;
}

Config parse_config(const std::string& json) {
  try {
    const Json::Value in = parse_json(json, "the configuration");
    static const Json::Value schema = parse_json(kConfigSchema, "the schema");
    if (const auto error = find_schema_error(in, schema)) {
      throw ConfigError("the configuration: " + error->path + (error->path.empty() ? "" : ": ") +
                        error->message);
    }
    Config config;
    config.name = string_member(in, "name");
    config.listen = parse_numeric_address(string_member(in, "listen"));
    config.discovery = parse_numeric_address(string_member(in, "discovery"));
    const std::string seed = in.isMember("seed") ? string_member(in, "seed") : "0";
    std::uint64_t salt = 0;
    for (char c : seed) {
      const auto digit = std::string_view("0123456789abcdef").find(c);
      if (digit == std::string_view::npos) throw ConfigError("seed is no hexadecimal number");
      salt = salt << 4 | digit;
    }
    const Json::Value& limits = in.isMember("limits") ? required_member(in, "limits", Json::objectValue)
                                                      : Json::Value::nullSingleton();
    if (limits.isObject()) {
      ResourceLimits& a = config.allowance;
      a.sockets =
          static_cast<std::size_t>(number_member(limits, "sockets", static_cast<double>(a.sockets), 1e6));
      a.memory_mb = static_cast<std::uint64_t>(
          number_member(limits, "memory_mb", static_cast<double>(a.memory_mb), 1e6));
      a.disk_mb = number_member(limits, "disk_mb", a.disk_mb, 1e6);
    }
    wire::SettingsMap values;
    flatten(required_member(in, "settings", Json::objectValue), "", values);
    config.raw_settings = values;
    config.discovery_mode = read_discovery_mode(values);
    config.boot = wire::read_settings(std::move(values), salt);
    starlinghook::Settings& s = config.boot.settings;
    s.can_probe = false;        // the relay's protocol has no probes
    s.list_on_request = false;  // the relay watches discovery by itself
    if (in.isMember("known"))
      config.known_hosts = read_hosts(required_member(in, "known", Json::objectValue), config.boot);
    config.seed = salt;
    fill_limits(config);
    return config;
  } catch (const wire::InputError& e) {
    throw ConfigError(e.what());
  } catch (const Json::Exception& e) {
    throw ConfigError(e.what());
  }
}

std::vector<std::string> changed_fixed_parts(const Config& running, const Config& wanted) {
  std::vector<std::string> parts;
  const auto compare = [&parts](bool unchanged, const char* part) {
    if (!unchanged) parts.emplace_back(part);
  };
  compare(running.name == wanted.name, "name");
  compare(running.listen.text() == wanted.listen.text(), "listen");
  compare(running.allowance == wanted.allowance, "limits");
  compare(running.raw_settings == wanted.raw_settings, "settings");
  compare(running.upgrade == wanted.upgrade, "upgrade");
  compare(running.record == wanted.record, "record");
  compare(running.fleet == wanted.fleet, "fleet");
  return parts;
}

void fill_limits(Config& config) {
  const starlinghook::Settings& s = config.boot.settings;
  ResourceLimits allowance = config.allowance;
  if (config.record && config.record->folder.empty()) {
    allowance.disk_mb -= static_cast<double>(config.record->file_bytes) / 1e6;
  }
  config.limits = make_limits(allowance, s.slots, s.max_held, s.connect_timeout, s.connection_idle_timeout,
                              config.stores_list);
}

Config read_config(const std::string& path, const std::string& settings_path) {
  const auto read = [](const std::string& file_path) {
    std::ifstream file(file_path, std::ios::binary);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf())) throw ConfigError("cannot read " + file_path);
    return text.str();
  };
  if (path.empty() && settings_path.empty())
    throw ConfigError("neither a configuration nor settings are given");
  std::optional<Config> platform;
  if (!path.empty()) platform = parse_config(read(path));
  if (settings_path.empty()) return *platform;
  return apply_settings(read(settings_path), settings_path, std::move(platform));
}

}  // namespace fennellane
