#include "settings.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

namespace wire {
namespace {

using starlinghook::Effect;
using starlinghook::KeyScope;
using starlinghook::Time;

// path=value pairs by path. Readers throw if a required value is missing or a value cannot be parsed.
class SettingsReader {
 public:
  explicit SettingsReader(SettingsMap values) : values_(std::move(values)) {}

  const std::string* find(const std::string& path) const {
    auto it = values_.find(path);
    return it == values_.end() ? nullptr : &it->second;
  }
  const std::string& text(const std::string& path) const {
    const std::string* value = find(path);
    if (!value) throw InputError("the settings lack " + path);
    return *value;
  }
  double number(const std::string& path) const { return parse_number(path, text(path)); }
  double number(const std::string& path, double fallback) const {
    const std::string* value = find(path);
    return value ? parse_number(path, *value) : fallback;
  }
  std::uint64_t count(const std::string& path) const { return parse_count(path, text(path)); }
  std::uint64_t count(const std::string& path, std::uint64_t fallback) const {
    const std::string* value = find(path);
    return value ? parse_count(path, *value) : fallback;
  }
  Time span(const std::string& path) const { return Time(static_cast<std::int64_t>(count(path))); }
  Time span(const std::string& path, Time fallback) const { return find(path) ? span(path) : fallback; }
  bool flag(const std::string& path, bool fallback) const {
    const std::string* value = find(path);
    return value ? parse_flag(path, *value) : fallback;
  }
  std::vector<std::string> list(const std::string& path) const {
    const std::string* value = find(path);
    std::vector<std::string> items;
    if (!value || value->empty()) return items;
    std::string_view rest = *value;
    while (true) {
      std::size_t comma = rest.find(',');
      items.emplace_back(rest.substr(0, comma));
      if (comma == std::string_view::npos) return items;
      rest.remove_prefix(comma + 1);
    }
  }

  static double parse_number(const std::string& path, const std::string& value) {
    double result = 0;
    auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), result);
    if (error != std::errc() || end != value.data() + value.size() || !std::isfinite(result) || result < 0) {
      throw InputError("setting " + path + " is no valid number: " + value);
    }
    return result;
  }
  static std::uint64_t parse_count(const std::string& path, const std::string& value) {
    double result = parse_number(path, value);
    if (result > 1e15 || result != std::floor(result)) {
      throw InputError("setting " + path + " is no valid whole number: " + value);
    }
    return static_cast<std::uint64_t>(result);
  }
  static bool parse_flag(const std::string& path, const std::string& value) {
    if (value != "true" && value != "false")
      throw InputError("setting " + path + " is no valid flag: " + value);
    return value == "true";
  }

 private:
  SettingsMap values_;
};

constexpr std::uint64_t kMaxItems = 256;  // classes or tenants; a record numbers a class with one byte

std::uint64_t item_count(const SettingsReader& in, const std::string& path, std::uint64_t fallback) {
  std::uint64_t n = in.count(path, fallback);
  if (n > kMaxItems) throw InputError("setting " + path + " is out of range");
  return n;
}

starlinghook::ClassSettings read_class(const SettingsReader& in, const std::string& prefix) {
  starlinghook::ClassSettings c;
  const std::string& effect = in.text(prefix + "effect");
  if (effect == "free") {
    c.effect = Effect::safe;
  } else if (effect == "guarded") {
    c.effect = Effect::keyed;
  } else if (effect == "single_shot") {
    c.effect = Effect::unsafe;
  } else {
    throw InputError("setting " + prefix + "effect is unknown: " + effect);
  }
  c.aim = in.span(prefix + "aim_us");
  c.deadline = in.span(prefix + "give_up_us");
  c.worth = in.number(prefix + "worth", 1);
  c.late_worth = in.number(prefix + "late_worth", 0);
  c.sequential = in.flag(prefix + "sequential", false);
  if (c.effect == Effect::keyed) {
    c.dedup_window = in.span(prefix + "window_us");
    const std::string& scope = in.text(prefix + "key_scope");
    if (scope == "all") {
      c.key_scope = KeyScope::all;
    } else if (scope == "zone") {
      c.key_scope = KeyScope::zone;
    } else {
      throw InputError("setting " + prefix + "key_scope is unknown: " + scope);
    }
  }
  return c;
}

}  // namespace

InstanceSettings parse_instance_settings(std::string_view text, std::uint64_t salt) {
  SettingsMap values;
  while (!text.empty()) {
    std::size_t end = text.find('\n');
    std::string_view line = text.substr(0, end);
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    std::size_t equals = line.find('=');
    if (equals != std::string_view::npos) values.emplace(line.substr(0, equals), line.substr(equals + 1));
  }
  return read_settings(std::move(values), salt);
}

InstanceSettings read_settings(SettingsMap values, std::uint64_t salt) {
  const SettingsReader in(std::move(values));
  InstanceSettings info;
  starlinghook::Settings& s = info.settings;
  s.seed = salt;
  s.index = static_cast<std::uint32_t>(in.count("index", 0));
  s.forwarders = static_cast<std::uint32_t>(in.count("n_instances"));
  s.zone = static_cast<std::uint32_t>(in.count("zone", 0));
  std::uint64_t classes = item_count(in, "request_classes.count", 0);
  if (classes == 0) throw InputError("the settings name no class of message");
  for (std::uint64_t i = 0; i < classes; ++i) {
    const std::string prefix = "request_classes." + std::to_string(i) + ".";
    s.classes.push_back(read_class(in, prefix));
    info.classes.push_back(in.find(prefix + "name") ? in.text(prefix + "name") : std::string());
  }
  for (std::uint64_t i = 0; i < item_count(in, "orgs.count", 0); ++i) {
    const std::string prefix = "orgs." + std::to_string(i) + ".";
    s.tenants.push_back({in.number(prefix + "quota_per_s", 0)});
    info.tenants.push_back(in.find(prefix + "name") ? in.text(prefix + "name") : std::string());
  }
  std::vector<std::string> separate_routes = in.list("domain.routes_apart");
  std::vector<std::string> max_batch = in.list("domain.kind_batch");
  s.kinds.resize(std::max({separate_routes.size(), max_batch.size(), in.list("skus").size()}));
  for (std::size_t i = 0; i < separate_routes.size(); ++i) {
    s.kinds[i].separate_routes = SettingsReader::parse_flag("domain.routes_apart", separate_routes[i]);
  }
  for (std::size_t i = 0; i < max_batch.size(); ++i) {
    s.kinds[i].max_batch =
        std::max<std::uint64_t>(1, SettingsReader::parse_count("domain.kind_batch", max_batch[i]));
  }
  if (const std::string* late = in.find("domain.late")) {
    if (*late != "even" && *late != "by_half") throw InputError("setting domain.late is unknown: " + *late);
    s.late_worth_decay =
        *late == "even" ? starlinghook::LateWorthDecay::linear : starlinghook::LateWorthDecay::exponential;
  }
  s.over_share_worth = in.number("over_share_worth", 1);
  s.slots = in.count("domain.max_calls");
  s.max_held = in.count("limits.max_open");
  s.max_attempts = static_cast<std::uint32_t>(in.count("limits.max_attempts"));
  s.connect_timeout = in.span("limits.connect_timeout_us");
  s.connection_idle_timeout = in.span("limits.conn_idle_us", Time(0));
  s.calls_per_connection = std::max<std::uint64_t>(1, in.count("limits.streams_per_conn", 1));
  s.max_retry_after = in.span("limits.max_retry_after_us", Time(0));
  s.resolution = in.span("resolution_us", Time(1));
  s.answer_slack = in.span("guarantees.answer_slack_us", Time(0));
  s.can_cancel = in.flag("limits.cancel", false);
  s.can_probe = in.flag("limits.probes", false);
  s.can_send_retry_after = in.flag("limits.retry_after", false);
  s.list_on_request = in.find("discovery") && in.text("discovery") == "ask";
  info.rates_listed = !in.find("weights") || in.text("weights") != "none";
  s.rates_approximate = in.find("weights") && in.text("weights") == "rough";
  s.cross_zone_price = in.number("prices.cross_zone", 0);
  s.probe_price = in.number("prices.probe", 0);
  s.drain_grace = in.span("guarantees.stop_sending_within_us");
  s.slow_start_time = in.span("guarantees.cold_us");
  s.slow_start_min_share = in.number("guarantees.cold_from");
  s.overload_factor = in.number("guarantees.overload_factor");
  s.overload_window = in.span("guarantees.fall_us");
  s.key_quiet_time = in.span("guarantees.key_quiet_us", Time(0));
  s.max_list_request_delay = in.span("guarantees.ask_within_us", Time(0));
  info.report_names = in.list("feedback.names");
  for (std::size_t i = 0; i < info.report_names.size(); ++i) {
    if (info.report_names[i] == "x0") info.allowance_field = static_cast<int>(i);
    if (info.report_names[i] == "x1") info.limit_field = static_cast<int>(i);
  }
  info.kinds = in.list("skus");
  info.zones = in.list("zones");
  s.reports_allowance = info.allowance_field >= 0 && info.limit_field >= 0;
  return info;
}

}  // namespace wire
