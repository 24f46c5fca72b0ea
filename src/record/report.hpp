// What a flight record tells, in words and tables for a terminal.
#pragma once

#include <ostream>
#include <string>

#include "account.hpp"

namespace fennellane::record {

// How messages ended and why, by class, tenant and destination, and second by second. At most `most_seconds`
// of these, the newest.
void print_summary(const Account& account, std::size_t most_seconds, std::ostream& out);
// One message's life, and in the last line why it ended as it did. False if the record does not know it.
bool print_life(const Account& account, const std::string& name, std::ostream& out);
// The messages that ended so, a line each, at most so many, the newest.
void print_lives(const Account& account, Fate fate, std::size_t most, std::ostream& out);
// Every entry, a line each, for other tools.
void print_raw(const Contents& contents, std::ostream& out);

}  // namespace fennellane::record
