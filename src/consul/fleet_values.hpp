// JSON forms of the values that drains and releases keep in Consul's KV store.
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
// From GET /v1/kv/PREFIX/budget/?recurse; false if unreadable.
bool read_semaphore(const std::string& body, const std::string& prefix, drain::BudgetSeen& seen);
// From GET /v1/health/service/NAME: the relays' registrations, each identified by its Meta or its ID.
bool read_census(const std::string& body, const std::string& service, drain::Census& census);

std::string state_json(const release::State& state);
std::optional<release::State> read_state(const std::string& text);
std::string report_json(const release::Report& report);
// From GET /v1/kv/PREFIX/release/relay/?recurse; false if unreadable. Single unreadable reports are skipped.
bool read_reports(const std::string& body, std::vector<release::Report>& reports);

}  // namespace fennellane
