// Prints what a flight record shows, as text and tables for a terminal.
#pragma once

#include <ostream>
#include <string>

#include "account.hpp"

namespace fennellane::record {

// How messages ended and why, by class, tenant and destination, and by second: at most the newest
// `most_seconds` seconds.
void print_summary(const Account& account, std::size_t most_seconds, std::ostream& out);
// The history of each request and message with this X-Call-Id, with the reason for its result in the last
// line; at most the newest `most`. Returns false if the record has none.
bool print_message(const Account& account, const std::string& id, std::size_t most, std::ostream& out);
// One line for each message with this result, at most the newest `most`.
void print_messages(const Account& account, MessageResult result, std::size_t most, std::ostream& out);
// One line for each entry, for other tools.
void print_raw(const Contents& contents, std::ostream& out);

}  // namespace fennellane::record
