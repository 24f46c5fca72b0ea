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

using fennellane::record::Fate;
const std::map<std::string, Fate> kFateNames = {{"in-time", Fate::in_time},
                                                {"late", Fate::late},
                                                {"withdrawn", Fate::withdrawn},
                                                {"refused", Fate::refused_admission},
                                                {"room", Fate::made_room},
                                                {"time", Fate::no_time},
                                                {"attempts", Fate::no_attempt},
                                                {"doubt", Fate::doubtful},
                                                {"answered-late", Fate::answered_late},
                                                {"held", Fate::held}};

// What a process does that was started to take over from another.
class RelaySuccessor : public fennellane::upgrade::Successor {
 public:
  RelaySuccessor(std::function<fennellane::Config()> read, std::string state, fennellane::LaunchContext place)
      : read_(std::move(read)), state_(std::move(state)), launch_context_(std::move(place)) {}

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
  template <class Do>
  static std::string failure_of(Do what) {
    try {
      what();
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
              const fennellane::LaunchContext& place) {
  RelaySuccessor successor(read, state, place);
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

// Guards a start against a system that is short of something for a moment.
template <class Make>
void retry_on_system_error(fennellane::Time limit, Make make) {
  constexpr std::chrono::milliseconds kPause{50};
  const auto end = std::chrono::steady_clock::now() + limit;
  while (true) {
    try {
      return make();
    } catch (const std::system_error& e) {
      if (std::chrono::steady_clock::now() >= end) throw;
      std::fprintf(stderr, "fennellane: not yet: %s\n", e.what());
    }
    std::this_thread::sleep_for(kPause);
  }
}

int serve(const std::string& config_path, const std::string& settings_path, const std::string& state,
          const fennellane::upgrade::CommandLine& command) {
  namespace upgrade = fennellane::upgrade;
  const int channel = upgrade::consume_variable(upgrade::kHandoverVariable);
  const int watcher = upgrade::consume_variable(upgrade::kWatcherVariable);
  const auto read = [&] { return fennellane::read_config(config_path, settings_path); };
  const fennellane::LaunchContext place{command, watcher};
  if (channel >= 0) return take_over(channel, read, state, place);
  try {
    fennellane::Config config = read();
    if (config.upgrade && watcher < 0) return upgrade::run_watcher(command, state);
    if (watcher >= 0) upgrade::set_parent_death_signal(watcher);
    std::optional<fennellane::Relay> relay;
    retry_on_system_error(config.limits.startup_wait, [&] { relay.emplace(config, state, read, place); });
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

// Asks Consul something on behalf of the operators: `ask` gets the configuration, whose section fleet is
// there, and a place for what went wrong, and returns false then.
template <class Ask>
int query_fleet(const std::string& config_path, const std::string& settings_path, Ask ask) {
  try {
    const fennellane::Config config = fennellane::read_config(config_path, settings_path);
    if (!config.fleet) throw fennellane::ConfigError("the settings have no section fleet");
    std::string trouble;
    if (ask(config, trouble)) return 0;
    std::fprintf(stderr, "fennellane: %s\n", trouble.c_str());
    return 1;
  } catch (const fennellane::ConfigError& e) {
    std::fprintf(stderr, "fennellane: %s\n", e.what());
    return kBadConfigExitCode;
  }
}

using fennellane::ReleaseRequest;

// The budget's subcommand: as it stands, or set anew.
struct BudgetCommand {
  CLI::App* command = nullptr;
  fennellane::drain::Cap cap{0, 0, 0};

  void add(CLI::App& app, const std::function<void(CLI::App*)>& add_config) {
    command =
        app.add_subcommand("budget", "show how many relays may be out at once and which are, or set it");
    add_config(command);
    command->add_option("--most", cap.max_relays, "relays; 0 leaves it out");
    command->add_option("--per-zone", cap.per_zone, "relays of one zone; 0 leaves it out");
    command->add_option("--percent", cap.percent, "of the relays registered; 0 leaves it out")
        ->check(CLI::Range(0, 100));
  }
  int run(const std::string& config, const std::string& settings) const {
    std::optional<fennellane::drain::Cap> wanted;
    for (const char* option : {"--most", "--per-zone", "--percent"})
      if (command->count(option) > 0) wanted = cap;
    return query_fleet(config, settings, [&](const fennellane::Config& c, std::string& trouble) {
      if (wanted && wanted == fennellane::drain::Cap{0, 0, 0}) {
        trouble = "at least one bound is needed";
        return false;
      }
      return fennellane::show_budget(*c.consul, *c.fleet, c.limits, wanted, std::cout, trouble);
    });
  }
};

// The subcommand of staged releases.
struct ReleaseCommand {
  CLI::App* command = nullptr;
  ReleaseRequest request;
  bool stay = false;

  void add(CLI::App& app, const std::function<void(CLI::App*)>& add_config) {
    command = app.add_subcommand("release",
                                 "take a new build through the fleet in waves, halt it, or take it back");
    command->require_subcommand(1);
    const auto one = [&](const char* name, const char* help, ReleaseRequest::Action what) {
      CLI::App* sub = command->add_subcommand(name, help);
      add_config(sub);
      sub->callback([this, what] { request.action = what; });
      return sub;
    };
    one("status", "which wave it is at, and what the relays report", ReleaseRequest::Action::status);
    one("halt", "no further relay moves", ReleaseRequest::Action::halt);
    one("resume", "a halted release goes on", ReleaseRequest::Action::resume);
    one("back", "those that have moved return to the build before", ReleaseRequest::Action::back);
    CLI::App* start = one("start", "begin", ReleaseRequest::Action::start);
    start->add_option("--from", request.from, "the build that runs, by its name in the folder of builds")
        ->required();
    start->add_option("--to", request.to, "the new one")->required();
    request.steps = {"1", "10%", "30%", "100%"};
    start
        ->add_option("--waves", request.steps,
                     "how far each wave goes, as counts or shares; the last is 100%")
        ->delimiter(',')
        ->capture_default_str();
    start->add_flag("--stay", stay, "a breach of health only halts, and nothing returns by itself");
  }
  int run(const std::string& config, const std::string& settings) {
    request.auto_back = !stay;
    return query_fleet(config, settings, [&](const fennellane::Config& c, std::string& trouble) {
      return fennellane::run_release_command(*c.consul, *c.fleet, c.limits, request, std::cout, trouble);
    });
  }
};

struct WhyOptions {
  std::string id, file, ended;
  std::size_t seconds = 60, max_listed = 20;
  bool raw = false;
};
int explain(const std::string& state, const WhyOptions& question) {
  namespace record = fennellane::record;
  try {
    const record::Contents contents =
        record::read_record(question.file.empty() ? state + "/" + record::kFileName : question.file);
    if (question.raw) {
      record::print_raw(contents, std::cout);
      return 0;
    }
    const record::Account account(contents);
    if (!question.ended.empty()) {
      record::print_lives(account, kFateNames.at(question.ended), question.max_listed, std::cout);
      return 0;
    }
    if (question.id.empty()) {
      record::print_summary(account, question.seconds, std::cout);
      return 0;
    }
    if (record::print_life(account, question.id, std::cout)) return 0;
    std::fprintf(stderr, "fennellane: the record does not know %s%s\n", question.id.c_str(),
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
                     "the operators' settings, S-expressions, over the configuration or without one")
        ->envname("GW_SETTINGS");
  };
  CLI::App* serve_command = app.add_subcommand("serve", "run the relay until SIGTERM");
  add_config(serve_command);
  serve_command->add_option("--state", state, "the folder that outlasts the process")
      ->envname("GW_STATE")
      ->required();
  CLI::App* check_command =
      app.add_subcommand("check-config", "read the configuration and say what it holds");
  add_config(check_command);
  CLI::App* owners_command =
      app.add_subcommand("owners", "ask Consul which relay holds which role of the fleet");
  add_config(owners_command);
  CLI::App* ejections_command = app.add_subcommand(
      "ejections", "ask Consul which endpoints the fleet finds out, and whether its cap is reached");
  add_config(ejections_command);
  BudgetCommand budget;
  budget.add(app, add_config);
  ReleaseCommand release;
  release.add(app, add_config);
  CLI::App* upgrade_command =
      app.add_subcommand("upgrade", "let a new process take over from the one that serves");
  upgrade_command->add_option("--state", state, "the folder of the relay that serves")
      ->envname("GW_STATE")
      ->required();
  int wait_s = 15;
  upgrade_command->add_option("--wait", wait_s, "seconds to wait for what comes of it")
      ->check(CLI::Range(1, 3600))
      ->capture_default_str();
  CLI::App* why_command = app.add_subcommand(
      "why", "say from the flight record how messages ended and why, or why one of them did");
  WhyOptions question;
  why_command->add_option("id", question.id, "a message's X-Call-Id; none: a summary");
  CLI::Option* state_option =
      why_command->add_option("--state", state, "the relay's state folder")->envname("GW_STATE");
  why_command->add_option("--file", question.file, "the record itself, where it lies elsewhere")
      ->excludes(state_option);
  why_command->add_option("--ended", question.ended, "list the messages that ended so")
      ->check(CLI::IsMember(kFateNames));
  why_command->add_option("--most", question.max_listed, "messages listed")->capture_default_str();
  why_command->add_option("--seconds", question.seconds, "seconds shown, the newest")->capture_default_str();
  why_command->add_flag("--raw", question.raw, "every note, a line each");
  CLI::App* fleet_command = app.add_subcommand(
      "fleet", "count over the flight records of many relays, second by second and by destination");
  std::vector<std::string> records;
  std::vector<std::uint32_t> destinations;
  fleet_command->add_option("records", records, "the records' files, one of each relay")->required();
  fleet_command
      ->add_option("--destination", destinations, "also count this destination's own; may be repeated")
      ->expected(1);
  CLI::App* version_command = app.add_subcommand("version", "print the version");
  CLI11_PARSE(app, argc, argv);
  try {
    if (version_command->parsed()) {
      std::printf("fennellane %s\n", FENNELLANE_VERSION);
      return 0;
    }
    if (fleet_command->parsed()) return summarize_fleet(records, destinations);
    if (why_command->parsed()) return explain(state, question);
    if (owners_command->parsed()) {
      return query_fleet(config, settings, [](const fennellane::Config& c, std::string& trouble) {
        return fennellane::print_owners(*c.consul, *c.fleet, c.limits, std::cout, trouble);
      });
    }
    if (ejections_command->parsed()) {
      return query_fleet(config, settings, [](const fennellane::Config& c, std::string& trouble) {
        return fennellane::show_ejections(*c.consul, *c.fleet, c.limits, std::cout, trouble);
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
