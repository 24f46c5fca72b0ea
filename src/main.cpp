// The command line of fennellane.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>
#include <functional>
#include <iostream>
#include <map>
#include <optional>
#include <string>
#include <system_error>
#include <thread>
#include <vector>

#include "command.hpp"
#include "config.hpp"
#include "ejection_agent.hpp"
#include "fleet.hpp"
#include "legend.hpp"
#include "new_process.hpp"
#include "owners.hpp"
#include "relay.hpp"
#include "release_command.hpp"
#include "report.hpp"
#include "watch.hpp"

namespace {

constexpr int kBadConfigExitCode = 2;
constexpr int kNoListenerExitCode = 3;

using fennellane::record::MessageResult;
const std::map<std::string, MessageResult> kResultNames = {
    {"in-time", MessageResult::delivered_in_time},   {"late", MessageResult::delivered_late},
    {"withdrawn", MessageResult::withdrawn},         {"refused", MessageResult::refused_admission},
    {"room", MessageResult::given_up_capacity},      {"time", MessageResult::given_up_deadline},
    {"attempts", MessageResult::given_up_attempts},  {"doubt", MessageResult::given_up_uncertain},
    {"answered-late", MessageResult::answered_late}, {"held", MessageResult::held}};

// The new side's part of a handover, in a process started to take over from another.
class RelaySuccessor : public fennellane::upgrade::Successor {
 public:
  RelaySuccessor(std::function<fennellane::Config()> read, std::string state,
                 fennellane::LaunchContext context)
      : read_(std::move(read)), state_(std::move(state)), launch_context_(std::move(context)) {}

  std::string check_configuration() override {
    return failure_of([this] {
      config_ = read_();
      if (!config_.upgrade) throw fennellane::ConfigError("its settings switch upgrades off");
      journal_.emplace(state_, config_.limits.max_journal_file, fennellane::Journal::Access::observer);
    });
  }
  std::string build_relay(const std::string& state, fennellane::IncomingDescriptors& descriptors,
                          std::uint64_t journal_bytes) override {
    return failure_of([&] {
      journal_->catch_up();
      if (journal_->size() != journal_bytes || journal_->truncated_bytes() > 0) {
        throw fennellane::JournalError("the journal is not as the old process left it");
      }
      relay_.emplace(config_, state_, read_, launch_context_, std::move(*journal_));
      relay_->load(state, descriptors);
    });
  }
  std::string claim_journal(fennellane::handover::Generation generation) override {
    return failure_of([&] { relay_->claim_journal(generation); });
  }
  fennellane::Relay& relay() { return *relay_; }

 private:
  template <class Function>
  static std::string failure_of(Function function) {
    try {
      function();
      return "";
    } catch (const std::exception& e) {
      return *e.what() == 0 ? "an unknown failure" : e.what();
    }
  }

  const std::function<fennellane::Config()> read_;
  const std::string state_;
  const fennellane::LaunchContext launch_context_;
  fennellane::Config config_;
  std::optional<fennellane::Journal> journal_;
  std::optional<fennellane::Relay> relay_;
};

int take_over(int channel, const std::function<fennellane::Config()>& read, const std::string& state,
              const fennellane::LaunchContext& context) {
  RelaySuccessor successor(read, state, context);
  fennellane::upgrade::NewProcess process(fennellane::FileDescriptor(channel), successor,
                                          [](const std::string& text) {
                                            std::fprintf(stderr, "fennellane: the new process %d: %s\n",
                                                         static_cast<int>(::getpid()), text.c_str());
                                          });
  if (!process.run()) return 1;
  successor.relay().watch_old_process(process.release_channel());
  successor.relay().run();
  return 0;
}

// A shortage of system resources at the start may pass, so system errors are retried.
template <class Make>
void retry_on_system_error(fennellane::Time limit, Make make) {
  constexpr std::chrono::milliseconds kRetryInterval{50};
  const auto deadline = std::chrono::steady_clock::now() + limit;
  while (true) {
    try {
      return make();
    } catch (const std::system_error& e) {
      if (std::chrono::steady_clock::now() >= deadline) throw;
      std::fprintf(stderr, "fennellane: the start failed and is retried: %s\n", e.what());
    }
    std::this_thread::sleep_for(kRetryInterval);
  }
}

int serve(const std::string& config_path, const std::string& settings_path, const std::string& state,
          const fennellane::upgrade::CommandLine& command) {
  namespace upgrade = fennellane::upgrade;
  const int channel = upgrade::consume_variable(upgrade::kHandoverVariable);
  const int watcher = upgrade::consume_variable(upgrade::kWatcherVariable);
  const auto read = [&] { return fennellane::read_config(config_path, settings_path); };
  const fennellane::LaunchContext context{command, watcher};
  if (channel >= 0) return take_over(channel, read, state, context);
  try {
    fennellane::Config config = read();
    if (config.upgrade && watcher < 0) return upgrade::run_watcher(command, state);
    if (watcher >= 0) upgrade::set_parent_death_signal(watcher);
    std::optional<fennellane::Relay> relay;
    retry_on_system_error(config.limits.startup_wait, [&] { relay.emplace(config, state, read, context); });
    relay->run();
    return 0;
  } catch (const fennellane::ConfigError& e) {
    std::fprintf(stderr, "fennellane: %s\n", e.what());
    return kBadConfigExitCode;
  } catch (const fennellane::ListenError& e) {
    std::fprintf(stderr, "fennellane: %s\n", e.what());
    return kNoListenerExitCode;
  }
}

int check_config(const std::string& config_path, const std::string& settings_path) {
  try {
    const fennellane::Config config = fennellane::read_config(config_path, settings_path);
    const char* const source = config.source == fennellane::MembershipSource::consul ? "Consul"
                               : config.source == fennellane::MembershipSource::list ? "the settings"
                                                                                     : "the platform";
    std::printf("%s: %zu classes, hosts from %s, %zu known, %zu slots, %zu messages held at most\n",
                config.name.c_str(), config.boot.classes.size(), source, config.known_hosts.hosts.size(),
                config.boot.settings.slots, config.limits.max_held);
    return 0;
  } catch (const fennellane::ConfigError& e) {
    std::fprintf(stderr, "fennellane: %s\n", e.what());
    return kBadConfigExitCode;
  }
}

// Runs an operator's query to Consul. `ask` gets the configuration, which has a section fleet, and a string
// for an error message; it returns false on an error.
template <class Ask>
int query_fleet(const std::string& config_path, const std::string& settings_path, Ask ask) {
  try {
    const fennellane::Config config = fennellane::read_config(config_path, settings_path);
    if (!config.fleet) throw fennellane::ConfigError("the settings have no section fleet");
    std::string error;
    if (ask(config, error)) return 0;
    std::fprintf(stderr, "fennellane: %s\n", error.c_str());
    return 1;
  } catch (const fennellane::ConfigError& e) {
    std::fprintf(stderr, "fennellane: %s\n", e.what());
    return kBadConfigExitCode;
  }
}

using fennellane::ReleaseRequest;

// The subcommand `budget`: shows the disruption budget or sets it.
struct BudgetCommand {
  CLI::App* command = nullptr;
  fennellane::drain::Cap cap{0, 0, 0};

  void add(CLI::App& app, const std::function<void(CLI::App*)>& add_config) {
    command = app.add_subcommand("budget",
                                 "show or set how many relays may be offline at once, and show which are");
    add_config(command);
    command->add_option("--most", cap.max_relays, "relays; 0: no bound");
    command->add_option("--per-zone", cap.per_zone, "relays of one zone; 0: no bound");
    command->add_option("--percent", cap.percent, "percent of the registered relays; 0: no bound")
        ->check(CLI::Range(0, 100));
  }
  int run(const std::string& config, const std::string& settings) const {
    std::optional<fennellane::drain::Cap> new_cap;
    for (const char* option : {"--most", "--per-zone", "--percent"})
      if (command->count(option) > 0) new_cap = cap;
    return query_fleet(config, settings, [&](const fennellane::Config& c, std::string& error) {
      if (new_cap && new_cap == fennellane::drain::Cap{0, 0, 0}) {
        error = "at least one bound is needed";
        return false;
      }
      return fennellane::show_budget(*c.consul, *c.fleet, c.limits, new_cap, std::cout, error);
    });
  }
};

// The subcommand `release`, for staged releases.
struct ReleaseCommand {
  CLI::App* command = nullptr;
  ReleaseRequest request;
  bool no_auto_back = false;

  void add(CLI::App& app, const std::function<void(CLI::App*)>& add_config) {
    command = app.add_subcommand(
        "release", "roll a new build out to the fleet in waves, halt the rollout, or roll it back");
    command->require_subcommand(1);
    const auto add_subcommand = [&](const char* name, const char* help, ReleaseRequest::Action action) {
      CLI::App* sub = command->add_subcommand(name, help);
      add_config(sub);
      sub->callback([this, action] { request.action = action; });
      return sub;
    };
    add_subcommand("status", "show the current wave and the relays' reports", ReleaseRequest::Action::status);
    add_subcommand("halt", "migrate no further relay", ReleaseRequest::Action::halt);
    add_subcommand("resume", "continue a halted release", ReleaseRequest::Action::resume);
    add_subcommand("back", "return the migrated relays to the previous build", ReleaseRequest::Action::back);
    CLI::App* start = add_subcommand("start", "start a release", ReleaseRequest::Action::start);
    start->add_option("--from", request.from, "the running build, by its name in the folder of builds")
        ->required();
    start->add_option("--to", request.to, "the new build")->required();
    request.steps = {"1", "10%", "30%", "100%"};
    start
        ->add_option("--waves", request.steps,
                     "size of each wave, as a count or a percentage; the last is 100%")
        ->delimiter(',')
        ->capture_default_str();
    start->add_flag("--stay", no_auto_back, "if health degrades, only halt; do not roll back automatically");
  }
  int run(const std::string& config, const std::string& settings) {
    request.auto_back = !no_auto_back;
    return query_fleet(config, settings, [&](const fennellane::Config& c, std::string& error) {
      return fennellane::run_release_command(*c.consul, *c.fleet, c.limits, request, std::cout, error);
    });
  }
};

struct WhyOptions {
  std::string id, file, ended;
  std::size_t seconds = 60, max_listed = 20;
  bool raw = false;
};
int explain(const std::string& state, const WhyOptions& options) {
  namespace record = fennellane::record;
  try {
    const record::Contents contents =
        record::read_record(options.file.empty() ? state + "/" + record::kFileName : options.file);
    if (options.raw) {
      record::print_raw(contents, std::cout);
      return 0;
    }
    const record::Account account(contents);
    if (!options.ended.empty()) {
      record::print_messages(account, kResultNames.at(options.ended), options.max_listed, std::cout);
      return 0;
    }
    if (options.id.empty()) {
      record::print_summary(account, options.seconds, std::cout);
      return 0;
    }
    if (record::print_message(account, options.id, options.max_listed, std::cout)) return 0;
    std::fprintf(stderr, "fennellane: the record does not contain %s%s\n", options.id.c_str(),
                 contents.overwritten > 0 ? "; its beginning has been overwritten" : "");
  } catch (const record::RecordError& e) {
    std::fprintf(stderr, "fennellane: %s\n", e.what());
  }
  return 1;
}

int summarize_fleet(const std::vector<std::string>& files, const std::vector<std::uint32_t>& destinations) {
  namespace record = fennellane::record;
  try {
    record::FleetAccount account;
    for (const std::string& file : files) account.add(record::read_record(file));
    record::print_fleet(account, destinations, std::cout);
    return 0;
  } catch (const record::RecordError& e) {
    std::fprintf(stderr, "fennellane: %s\n", e.what());
    return 1;
  }
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"fennellane: takes messages over HTTP and delivers each to its destination"};
  app.require_subcommand(1);
  std::string config, settings, state;
  const auto add_config = [&config, &settings](CLI::App* command) {
    command->add_option("--config", config, "the platform's configuration, a JSON file")
        ->envname("GW_CONFIG");
    command
        ->add_option("--settings", settings,
                     "the operators' settings, S-expressions; applied to the configuration or used alone")
        ->envname("GW_SETTINGS");
  };
  CLI::App* serve_command = app.add_subcommand("serve", "run the relay until SIGTERM");
  add_config(serve_command);
  serve_command->add_option("--state", state, "the folder of the relay's persistent state")
      ->envname("GW_STATE")
      ->required();
  CLI::App* check_command = app.add_subcommand("check-config", "check the configuration and print a summary");
  add_config(check_command);
  CLI::App* owners_command =
      app.add_subcommand("owners", "query Consul for the holders of the fleet's roles");
  add_config(owners_command);
  CLI::App* ejections_command = app.add_subcommand(
      "ejections",
      "query Consul for the endpoints that the fleet finds unhealthy and whether the cap is reached");
  add_config(ejections_command);
  BudgetCommand budget;
  budget.add(app, add_config);
  ReleaseCommand release;
  release.add(app, add_config);
  CLI::App* upgrade_command =
      app.add_subcommand("upgrade", "let a new process take over from the serving one");
  upgrade_command->add_option("--state", state, "the state folder of the serving relay")
      ->envname("GW_STATE")
      ->required();
  int wait_s = 15;
  upgrade_command->add_option("--wait", wait_s, "seconds to wait for the result")
      ->check(CLI::Range(1, 3600))
      ->capture_default_str();
  CLI::App* why_command =
      app.add_subcommand("why", "explain from the flight record how messages ended, or how a given one did");
  WhyOptions options;
  why_command->add_option("id", options.id, "a message's X-Call-Id; without one: a summary");
  CLI::Option* state_option =
      why_command->add_option("--state", state, "the relay's state folder")->envname("GW_STATE");
  why_command->add_option("--file", options.file, "the record file, if it is elsewhere")
      ->excludes(state_option);
  why_command->add_option("--ended", options.ended, "list the messages that ended this way")
      ->check(CLI::IsMember(kResultNames));
  why_command->add_option("--most", options.max_listed, "maximum number of messages listed")
      ->capture_default_str();
  why_command->add_option("--seconds", options.seconds, "number of most recent seconds shown")
      ->capture_default_str();
  why_command->add_flag("--raw", options.raw, "print every entry, one per line");
  CLI::App* fleet_command =
      app.add_subcommand("fleet", "summarize the flight records of many relays by second and by destination");
  std::vector<std::string> records;
  std::vector<std::uint32_t> destinations;
  fleet_command->add_option("records", records, "the record files, one for each relay")->required();
  fleet_command
      ->add_option("--destination", destinations, "also show this destination separately; may be repeated")
      ->expected(1);
  CLI::App* version_command = app.add_subcommand("version", "print the version");
  CLI11_PARSE(app, argc, argv);
  try {
    if (version_command->parsed()) {
      std::printf("fennellane %s\n", FENNELLANE_VERSION);
      return 0;
    }
    if (fleet_command->parsed()) return summarize_fleet(records, destinations);
    if (why_command->parsed()) return explain(state, options);
    if (owners_command->parsed()) {
      return query_fleet(config, settings, [](const fennellane::Config& c, std::string& error) {
        return fennellane::print_owners(*c.consul, *c.fleet, c.limits, std::cout, error);
      });
    }
    if (ejections_command->parsed()) {
      return query_fleet(config, settings, [](const fennellane::Config& c, std::string& error) {
        return fennellane::show_ejections(*c.consul, *c.fleet, c.limits, std::cout, error);
      });
    }
    if (budget.command->parsed()) return budget.run(config, settings);
    if (release.command->parsed()) return release.run(config, settings);
    if (upgrade_command->parsed()) {
      return fennellane::upgrade::request_upgrade(state, std::chrono::seconds(wait_s));
    }
    return check_command->parsed()
               ? check_config(config, settings)
               : serve(config, settings, state, fennellane::upgrade::command_line(argc, argv));
  } catch (const std::exception& e) {
    std::fprintf(stderr, "fennellane: %s\n", e.what());
    return 1;
  }
}
