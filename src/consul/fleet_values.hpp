// The values that drains and releases keep in Consul's store, as JSON and back.
#pragma once

#include <json/json.h>

#include <optional>
#include <string>
#include <vector>

#include "coordinator.hpp"
#include "slot.hpp"

namespace fennellane {

std::string budget_json(const drain::Budget& budget);
std::optional<drain::Budget> read_budget(const std::string& text);
// Of GET /v1/kv/PREFIX/budget/?recurse; false where it can't be read.
bool read_semaphore(const std::string& body, const std::string& prefix, drain::BudgetSeen& seen);
// Of GET /v1/health/service/NAME: the relays' own registrations, each known by its Meta or its ID.
bool read_census(const std::string& body, const std::string& service, drain::Census& census);

std::string state_json(const release::State& state);
std::optional<release::State> read_state(const std::string& text);
std::string report_json(const release::Report& report);
// Of GET /v1/kv/PREFIX/release/relay/?recurse; false where it can't be read. One that can't is left out.
bool read_reports(const std::string& body, std::vector<release::Report>& reports);

}  // namespace fennellane
