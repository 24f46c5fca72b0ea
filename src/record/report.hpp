// What a flight record tells, in words and tables for a terminal.
#pragma once

#include <ostream>
#include <string>

#include "account.hpp"

namespace fennellane::record {

// How messages ended and why, by class, tenant and destination, and second by second. At most `most_seconds`
// of these, the newest.
void print_summary(const Account& account, std::size_t most_seconds, std::ostream& out);
// Each life under that name, and in its last line why it ended as it did. At most `most` of these, the
// newest. False if the record has none.
bool print_message(const Account& account, const std::string& name, std::size_t most, std::ostream& out);
// The messages that ended so, a line each, at most so many, the newest.
void print_lives(const Account& account, Fate fate, std::size_t most, std::ostream& out);
// Every entry, a line each, for other tools.
void print_raw(const Contents& contents, std::ostream& out);

}  // namespace fennellane::record
