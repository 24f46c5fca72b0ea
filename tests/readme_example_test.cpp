// Builds and runs the README's example. The text between the markers is the README's text word for word,
// which the second test checks; .ci/run also builds the example against the installed library.
#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

#include "starlinghook/delivery.hpp"

namespace example {
// README example begins
std::vector<starlinghook::Action> first_delivery() {
  using namespace starlinghook;
  using std::chrono::seconds;
  Settings settings;
  settings.classes = {ClassSettings{.effect = Effect::safe, .aim = seconds(2), .deadline = seconds(20)}};
  settings.slots = 4;
  settings.max_held = 100;
  settings.max_attempts = 10;
  settings.resolution = std::chrono::milliseconds(5);

  Forwarder forwarder(settings);
  std::vector<Action> actions;
  Time now = seconds(1);
  forwarder.start(now, actions);
  forwarder.handle(now, ListChanged{.full = true, .entries = {{.endpoint = 1, .destination = 7, .rate = 25}}},
                   actions);
  forwarder.handle(now, MessageArrived{.id = 42, .destination = 7, .time_left = seconds(20)}, actions);
  std::erase_if(actions, [](const Action& a) { return !std::holds_alternative<Send>(a); });
  return actions;  // one Send of message 42 to endpoint 1
}
// README example ends
}  // namespace example

namespace {

TEST(ReadmeExample, SendsItsMessageToTheListedEndpoint) {
  const auto actions = example::first_delivery();
  ASSERT_EQ(actions.size(), 1u);
  const auto& send = std::get<starlinghook::Send>(actions[0]);
  EXPECT_EQ(send.id, 42u);
  EXPECT_EQ(send.endpoint, 1u);
}

std::string read_file(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

TEST(ReadmeExample, MatchesTheReadme) {
  const std::string root = SOURCE_ROOT;
  const std::string source = read_file(root + "/tests/readme_example_test.cpp");
  // In two parts each, so that these lines are not mistaken for the markers.
  const std::string begins =
                        "// README example "
                        "begins\n",
                    ends =
                        "// README example "
                        "ends\n";
  const std::size_t from = source.find(begins) + begins.size();
  const std::string example = source.substr(from, source.find(ends) - from);
  ASSERT_GT(example.size(), 100u);
  EXPECT_NE(read_file(root + "/README.md").find("```cpp\n" + example + "```"), std::string::npos);
}

}  // namespace
