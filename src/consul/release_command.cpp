#include "release_command.hpp"

#include <chrono>
#include <iomanip>
#include <map>

#include "agent_query.hpp"
#include "consul_json.hpp"
#include "fleet_values.hpp"
#include "names.hpp"

namespace fennellane {
namespace {

using Action = ReleaseRequest::Action;

void print_budget(const drain::BudgetSeen& seen, std::ostream& out) {
  if (!seen.budget) {
    out << "no slot has ever been taken, and no budget set: the relays' own settings hold\n";
    return;
  }
  std::set<std::string> live;
  for (const drain::Contender& c : seen.contenders) live.insert(c.session);
  const drain::Budget budget = drain::pruned(*seen.budget, live);
  const auto bound = [&out](const char* name, std::uint32_t value, const char* unit) {
    if (value > 0) out << " " << name << " " << value << unit;
  };
  out << "out at most:";
  bound("relays", budget.cap.max_relays, "");
  bound("of a zone", budget.cap.per_zone, "");
  bound("of all", budget.cap.percent, "%");
  out << "\n";
  for (const drain::Holder& h : budget.holders)
    out << std::left << std::setw(20) << h.relay << " zone " << (h.zone.empty() ? "-" : h.zone) << " session "
        << h.session << "\n";
  out << seen.contenders.size() - budget.holders.size() << " wait\n";
}

void print_state(const release::State& s, const std::vector<release::Report>& reports, std::ostream& out) {
  out << "release " << s.id << " from " << s.from << " to " << s.to << ": " << release::name_of(s.phase);
  if (!s.waves.empty()) out << ", wave " << s.wave + 1 << " of " << s.waves.size();
  out << "\n";
  if (!s.reason.empty()) out << "why: " << s.reason << "\n";
  std::map<std::string, std::size_t> builds;
  for (const release::Report& r : reports) ++builds[r.build];
  for (const auto& [build, count] : builds) out << count << " relays report " << build << "\n";
  for (const release::Report& r : reports) {
    if (!r.trouble.empty()) out << r.relay << " could not move: " << r.trouble << "\n";
    if (!r.waits.empty()) out << r.relay << " waits: " << r.waits << "\n";
  }
}

struct StateRead {
  std::optional<release::State> state;
  std::uint64_t index = 0;
  std::string error;
};

asio::awaitable<StateRead> read_release_state(AgentClient& client, const FleetSettings& settings) {
  StateRead read;
  const AgentAnswer answer = co_await client.request("GET", "/v1/kv/" + release_key(settings) + "?consistent",
                                                     "", settings.timing.call);
  if (answer.status == 404) co_return read;
  if (answer.status != 200) {
    read.error = no_answer_message(answer);
    co_return read;
  }
  std::string text;
  if (read_entry(answer.body, text, read.index)) read.state = read_state(text);
  if (!read.state) read.error = "the stored release state is unreadable";
  co_return read;
}

}  // namespace

release::State next_state(const std::optional<release::State>& before, const ReleaseRequest& request,
                          const std::string& id, std::string& error) {
  using release::Phase;
  release::State next;
  if (request.action == Action::start) {
    if (before && !release::is_over(before->phase)) {
      error = "release " + before->id + " is under way (" + release::name_of(before->phase) + ")";
      return next;
    }
    next.id = id;
    next.from = request.from;
    next.to = request.to;
    next.steps = request.steps;
    next.auto_back = request.auto_back;
    if (!is_plain_name(next.from) || !is_plain_name(next.to) || next.from == next.to)
      error = "from and to are two names of builds: letters, digits, '-', '_' and '.'";
    if (const std::string problem = release::steps_problem(next.steps); error.empty() && !problem.empty())
      error = problem;
    return next;
  }
  if (!before) {
    error = "there has been no release";
    return next;
  }
  next = *before;
  const Phase phase = before->phase;
  bool possible = false;
  if (request.action == Action::halt) {
    possible = !release::is_over(phase) && phase != Phase::halted;
    next.phase = Phase::halted;
    next.reason = "by an operator";
  } else if (request.action == Action::resume) {
    possible = phase == Phase::halted;
    next.phase = next.waves.empty() ? Phase::gathering : Phase::rolling;
    next.reason.clear();
  } else if (request.action == Action::back) {
    possible = phase != Phase::back && phase != Phase::returned;
    next.phase = Phase::back;
    next.reason = "by an operator";
  }
  if (!possible) error = "release " + before->id + " is " + release::name_of(phase);
  return next;
}

bool show_budget(const ConsulSettings& consul, const FleetSettings& settings, const Limits& limits,
                 const std::optional<drain::Cap>& cap, std::ostream& out, std::string& error) {
  return run_agent_query(
      consul, limits, limits.max_consul_value * 2, error, [&](AgentClient& client) -> asio::awaitable<void> {
        const std::string target = "/v1/kv/" + budget_prefix(settings) + "?recurse&consistent";
        constexpr int kMaxAttempts = 20;  // relays may acquire slots between read and write
        for (int i = 0; i < kMaxAttempts; ++i) {
          const AgentAnswer answer = co_await client.request("GET", target, "", settings.timing.call);
          drain::BudgetSeen seen;
          const bool read =
              answer.status == 404 ||
              (answer.status == 200 && read_semaphore(answer.body, budget_prefix(settings), seen));
          if (!read) {
            error = no_answer_message(answer);
            co_return;
          }
          if (!cap || (seen.budget && seen.budget->cap == *cap)) {
            print_budget(seen, out);
            co_return;
          }
          drain::Budget next = seen.budget.value_or(drain::Budget{});
          next.cap = *cap;
          const AgentAnswer set = co_await client.request(
              "PUT", "/v1/kv/" + budget_key(settings) + "?cas=" + std::to_string(seen.index),
              budget_json(next), settings.timing.call);
          if (set.status != 200) {
            error = no_answer_message(set);
            co_return;
          }
        }
        error = "the budget was changed by others at each attempt to set it";
      });
}

bool run_release_command(const ConsulSettings& consul, const FleetSettings& settings, const Limits& limits,
                         const ReleaseRequest& request, std::ostream& out, std::string& error) {
  return run_agent_query(
      consul, limits, limits.max_consul_value * 2, error, [&](AgentClient& client) -> asio::awaitable<void> {
        StateRead before = co_await read_release_state(client, settings);
        error = before.error;
        if (!error.empty()) co_return;
        if (request.action != Action::status) {
          const auto since_epoch = std::chrono::duration_cast<std::chrono::milliseconds>(
              std::chrono::system_clock::now().time_since_epoch());
          const std::string id = request.to + "-" + std::to_string(since_epoch.count());
          const release::State next = next_state(before.state, request, id, error);
          if (!error.empty()) co_return;
          const AgentAnswer set = co_await client.request(
              "PUT", "/v1/kv/" + release_key(settings) + "?cas=" + std::to_string(before.index),
              state_json(next), settings.timing.call);
          if (set.status != 200) {
            error = no_answer_message(set);
          } else if (!set.body.starts_with("true")) {
            error = "the release has changed meanwhile: check its status and try again";
          }
          if (!error.empty()) co_return;
          before.state = next;
        }
        if (!before.state) {
          out << "there has been no release\n";
          co_return;
        }
        const AgentAnswer answer = co_await client.request(
            "GET", "/v1/kv/" + reports_prefix(settings) + "?recurse&consistent", "", settings.timing.call);
        std::vector<release::Report> reports;
        if (answer.status == 200) read_reports(answer.body, reports);
        std::erase_if(reports, [&](const release::Report& r) { return r.release != before.state->id; });
        print_state(*before.state, reports, out);
      });
}

}  // namespace fennellane
