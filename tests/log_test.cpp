// The log on standard error: whole lines in each form, and no write that blocks.
#include "log.hpp"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <json/json.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "relay_process.hpp"

namespace fennellane {
namespace {

// Redirects standard error to a pipe for this object's lifetime.
class ErrorPipe {
 public:
  ErrorPipe() : saved_stderr_(::dup(STDERR_FILENO)) {
    if (::pipe(ends_.data()) != 0 || ::dup2(ends_[1], STDERR_FILENO) != STDERR_FILENO) {
      throw std::runtime_error("no pipe");
    }
    ::close(ends_[1]);
  }
  ~ErrorPipe() {
    restore();
    ::close(ends_[0]);
  }
  ErrorPipe(const ErrorPipe&) = delete;
  ErrorPipe& operator=(const ErrorPipe&) = delete;

  // The present content of the pipe.
  std::string read_available() const {
    const int flags = ::fcntl(ends_[0], F_GETFL);
    ::fcntl(ends_[0], F_SETFL, flags | O_NONBLOCK);
    const std::string text = read_pipe();
    ::fcntl(ends_[0], F_SETFL, flags);
    return text;
  }
  // Restores standard error and drains the pipe, which unblocks a writer.
  void restore() {
    if (saved_stderr_ < 0) return;
    ::dup2(saved_stderr_, STDERR_FILENO);
    ::close(saved_stderr_);
    saved_stderr_ = -1;
    read_pipe();
  }

 private:
  std::string read_pipe() const {
    std::string text;
    char piece[4096];
    for (ssize_t n = 0; (n = ::read(ends_[0], piece, sizeof piece)) > 0;) {
      text.append(piece, static_cast<std::size_t>(n));
    }
    return text;
  }

  std::array<int, 2> ends_{-1, -1};
  int saved_stderr_;
};

std::vector<std::string> lines_of(const std::string& text) {
  std::istringstream in(text);
  std::vector<std::string> lines;
  for (std::string line; std::getline(in, line);) lines.push_back(line);
  return lines;
}

// The `msg` field; the test fails if the line is not a JSON object.
std::string message_in_json(const std::string& line) {
  Json::Value value;
  std::istringstream in(line);
  std::string errors;
  EXPECT_TRUE(Json::parseFromStream(Json::CharReaderBuilder(), in, &value, &errors)) << errors << line;
  return value.isObject() ? value["msg"].asString() : "";
}

LogSettings with_format(LogFormat form) {
  LogSettings settings;
  settings.format = form;
  return settings;
}

// The relay has one thread, which must not block on a standard error that is a pipe nobody reads.
TEST(LogPipe, NotBeingReadBlocksNoWriter) {
  ErrorPipe pipe;
  std::atomic<bool> done = false;
  std::thread writer([&] {
    Log log("n0");
    for (int i = 0; i < 5000; ++i) log.report(std::string(200, 'x'));
    done = true;
  });
  const bool returned = standin::happens([&] { return done.load(); });
  pipe.restore();
  writer.join();
  EXPECT_TRUE(returned);
}

TEST(LogPipe, ReportsTheNumberOfDroppedLinesInAWholeLine) {
  ErrorPipe pipe;
  Log log("n0", with_format(LogFormat::json));
  for (int i = 0; i < 1000; ++i) log.report(std::string(200, 'x'));
  const std::size_t written = lines_of(pipe.read_available()).size();
  log.report("after");
  const std::vector<std::string> lines = lines_of(pipe.read_available());
  ASSERT_EQ(lines.size(), 1u);
  EXPECT_EQ(message_in_json(lines[0]), "after (" + std::to_string(1000 - written) + " lines dropped)");
}

// A pipe takes 4,096 bytes in one atomic write; a longer line is truncated, and remains valid in its form.
class LongLines : public testing::TestWithParam<char> {};

TEST_P(LongLines, AreTruncatedAndRemainValid) {
  ErrorPipe pipe;
  constexpr std::size_t kPipePiece = 4096;  // bytes
  const std::string text(20000, GetParam());
  Log(std::string("n0"), with_format(LogFormat::json)).report(text);
  Log(std::string("n0"), with_format(LogFormat::logfmt)).report(text);
  Log(std::string("n0")).report(text);
  const std::vector<std::string> lines = lines_of(pipe.read_available());
  ASSERT_EQ(lines.size(), 3u);
  for (const std::string& line : lines) EXPECT_LT(line.size(), kPipePiece);
  EXPECT_GT(message_in_json(lines[0]).size(), 100u);
  EXPECT_EQ(lines[1].back(), '"');
  EXPECT_TRUE(lines[2].starts_with("n0: "));
}
INSTANTIATE_TEST_SUITE_P(Of, LongLines, testing::Values('x', '"', '\\', '\x01', '\xc3'));

}  // namespace
}  // namespace fennellane
