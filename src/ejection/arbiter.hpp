// The holder of the role `ejection`: it sums up what the relays report and writes the verdict that all heed.
// Decisions only, without input, output or clock. See docs/drains.md.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cap.hpp"
#include "write_result.hpp"

namespace fennellane::ejection {

struct ArbiterSettings {
  Cap cap;
  Time every = std::chrono::seconds(2);   // between two reads of the reports
  Time stale = std::chrono::seconds(15);  // a report that is not renewed does not count
  std::size_t max_removed_reports = 16;   // old reports removed with one verdict; Consul takes 64 operations
  bool operator==(const ArbiterSettings&) const = default;
};

// --- What the caller tells
struct ReadTimerExpired {};
struct StoredReport {  // one report, with its key's ModifyIndex
  Report report;
  std::uint64_t index = 0;
};
struct ReportsRead {
  bool ok = false;
  std::vector<StoredReport> reports;
  std::vector<Listed> listed;  // as this relay's own list has it
};
struct VerdictWritten {
  lease::WriteResult result{};
};
using ArbiterInput = std::variant<ReadTimerExpired, ReportsRead, VerdictWritten>;

// --- What the caller does
struct ReadReports {};
struct WriteVerdict {  // in one transaction with check-session on the role's key
  std::string session;
  Verdict verdict;
  std::vector<std::pair<std::string, std::uint64_t>> forget;  // relays long silent, removed as they were read
};
struct SetReadTimer {
  Time at{};
};
struct ArbiterLogMessage {
  std::string text;
};
using ArbiterEffect = std::variant<ReadReports, WriteVerdict, SetReadTimer, ArbiterLogMessage>;

class Arbiter {
 public:
  explicit Arbiter(const ArbiterSettings& settings) : settings_(settings) {}

  std::vector<ArbiterEffect> handle(Time now, const ArbiterInput& input);
  // Of the role: from now on it acts with this token, or does so no more.
  std::vector<ArbiterEffect> activate(Time now, Token token, const std::string& session);
  void deactivate() { token_.reset(); }

 private:
  using Effects = std::vector<ArbiterEffect>;
  void on(Time now, const ReadTimerExpired&, Effects& out);
  void on(Time now, const ReportsRead& read, Effects& out);
  void on(Time now, const VerdictWritten& written, Effects& out);

  const ArbiterSettings settings_;
  std::optional<Token> token_;
  std::string session_;
  struct ReceivedReport {
    std::uint64_t heartbeat = 0;
    Time at{};  // when it was last seen to have grown, on this relay's clock
  };
  std::map<std::string, ReceivedReport> received_;  // by relay; no more than the newest read names
  bool reading_ = false, writing_ = false;
  std::optional<Verdict> written_;  // the newest that was taken; none: none under this token
  std::optional<Verdict> asked_;    // the one whose writing is out
  Time written_at_{};
  std::uint64_t heartbeat_ = 0;
};

}  // namespace fennellane::ejection
