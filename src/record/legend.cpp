#include "legend.hpp"

#include <sstream>

namespace fennellane::record {

// A line for each: "class <aim in us> <deadline in us> <worth> <name>", "tenant <name>", "relay <name>".
std::string legend_text(const Legend& legend) {
  std::ostringstream text;
  text << "relay " << legend.relay << '\n';
  for (const ClassLegend& c : legend.classes) {
    text << "class " << c.aim.count() << ' ' << c.deadline.count() << ' ' << c.worth << ' ' << c.name << '\n';
  }
  for (const std::string& tenant : legend.tenants) text << "tenant " << tenant << '\n';
  return text.str();
}

Legend read_legend(std::string_view text) {
  Legend legend;
  std::istringstream lines{std::string(text)};
  for (std::string line; std::getline(lines, line);) {
    std::istringstream words(line);
    std::string word;
    words >> word;
    if (word == "class") {
      Time::rep aim = 0, deadline = 0;
      ClassLegend c;
      words >> aim >> deadline >> c.worth;
      c.aim = Time(aim);
      c.deadline = Time(deadline);
      std::getline(words >> std::ws, c.name);
      legend.classes.push_back(std::move(c));
    } else if (word == "tenant" || word == "relay") {
      std::string name;
      std::getline(words >> std::ws, name);
      if (word == "relay") legend.relay = name;
      if (word == "tenant") legend.tenants.push_back(name);
    }
  }
  return legend;
}

}  // namespace fennellane::record
