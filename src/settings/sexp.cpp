#include "sexp.hpp"

#include <sfsexp/sexp.h>
#include <sfsexp/sexp_ops.h>

#include <algorithm>
#include <charconv>
#include <memory>
#include <vector>

namespace fennellane {
namespace {

struct FreeContinuation {
  void operator()(pcont_t* c) const { destroy_continuation(c); }
};
struct FreeSexp {
  void operator()(sexp_t* s) const { destroy_sexp(s); }
};
using Tree = std::unique_ptr<sexp_t, FreeSexp>;

[[noreturn]] void fail(std::size_t line, const std::string& path, const std::string& message) {
  throw SexpError(std::to_string(line) + ": " + (path.empty() ? "" : path + ": ") + message);
}

// The line numbers at which lists and atoms begin, in order. The library does not keep line numbers, but its
// tree has the same elements in the same order.
std::vector<std::size_t> element_lines(std::string_view text) {
  std::vector<std::size_t> lines;
  std::size_t line = 1;
  const auto is_space = [](char c) { return c == ' ' || c == '\t' || c == '\n' || c == '\r'; };
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (c == '\n') ++line;
    if (is_space(c) || c == ')') continue;
    if (c == ';') {
      while (i + 1 < text.size() && text[i + 1] != '\n') ++i;
      continue;
    }
    lines.push_back(line);
    if (c == '"') {
      for (++i; i < text.size() && text[i] != '"'; ++i) {
        if (text[i] == '\\') ++i;
        if (i < text.size() && text[i] == '\n') ++line;
      }
    } else if (c != '(') {
      while (i + 1 < text.size() && !is_space(text[i + 1]) && text[i + 1] != '(' && text[i + 1] != ')' &&
             text[i + 1] != ';') {
        ++i;
      }
    }
  }
  return lines;
}

class SexpReader {
 public:
  explicit SexpReader(std::string_view text) : lines_(element_lines(text)) {}

  // Reads `first` and its siblings as the members of an object.
  Json::Value object(const sexp_t* first, const Json::Value& schema, const std::string& path) {
    Json::Value out(Json::objectValue);
    const Json::Value& known = schema["properties"];
    for (const sexp_t* s = first; s != nullptr; s = s->next) {
      const std::size_t line = next_line();
      if (s->ty != SEXP_LIST || s->list == nullptr || s->list->ty != SEXP_VALUE) {
        fail(line, path, "expected a list that begins with a name");
      }
      next_line();
      const std::string name = s->list->val;
      if (!known.isMember(name)) fail(line, path, "unknown name '" + name + "'; " + known_names(known));
      member(out, name, s->list->next, known[name], (path.empty() ? "" : path + ".") + name, line);
    }
    return out;
  }

  std::map<std::string, std::size_t> lines;

 private:
  std::size_t next_line() { return next_index_ < lines_.size() ? lines_[next_index_++] : 0; }

  static std::string known_names(const Json::Value& known) {
    std::string text = "known here:";
    for (const std::string& name : known.getMemberNames()) text += " " + name;
    return text;
  }

  void member(Json::Value& in, const std::string& name, const sexp_t* values, const Json::Value& schema,
              std::string path, std::size_t line) {
    const std::string type = schema["type"].asString();
    const bool object_items = type == "array" && schema["items"]["type"] == "object";
    if (in.isMember(name) && !object_items) fail(line, path, "is there twice");
    Json::Value& value = in[name];
    lines.emplace(path, line);
    if (object_items) {
      if (value.isNull()) value = Json::Value(Json::arrayValue);
      path += "[" + std::to_string(value.size()) + "]";
      lines.emplace(path, line);
      value.append(object(values, schema["items"], path));
    } else if (type == "object") {
      value = object(values, schema, path);
    } else if (type == "array") {
      value = Json::Value(Json::arrayValue);
      for (; values != nullptr; values = values->next) value.append(atom(values, schema["items"], path));
    } else {
      if (values == nullptr || values->next != nullptr) fail(line, path, "expected one value");
      value = atom(values, schema, path);
    }
  }

  Json::Value atom(const sexp_t* s, const Json::Value& schema, const std::string& path) {
    const std::size_t line = next_line();
    const std::string type = schema["type"].asString();
    if (s->ty != SEXP_VALUE) fail(line, path, "expected a " + type + ", not a list");
    const std::string text = s->val == nullptr ? "" : s->val;
    if (type == "string") return text;
    const bool quoted = s->aty != SEXP_BASIC;
    if (type == "boolean" && !quoted && (text == "true" || text == "false")) return text == "true";
    const char* const end = text.data() + text.size();
    if (type == "integer" && !quoted) {
      std::int64_t number = 0;
      const auto [stop, error] = std::from_chars(text.data(), end, number);
      if (error == std::errc() && stop == end) return Json::Value(static_cast<Json::Int64>(number));
    }
    if (type == "number" && !quoted) {
      double number = 0;
      const auto [stop, error] = std::from_chars(text.data(), end, number, std::chars_format::fixed);
      if (error == std::errc() && stop == end) return number;
    }
    fail(line, path, "expected a" + std::string(type == "integer" ? "n " : " ") + type + ", not " + text);
  }

  std::vector<std::size_t> lines_;
  std::size_t next_index_ = 0;
};

}  // namespace

std::size_t SexpDocument::line_of(std::string path) const {
  while (true) {
    const auto it = lines.find(path);
    if (it != lines.end()) return it->second;
    const std::size_t cut = path.find_last_of(".[");
    if (cut == std::string::npos) return 1;
    path.resize(cut);
  }
}

SexpDocument read_sexp(std::string_view text, const Json::Value& schema) {
  if (text.find('\0') != std::string_view::npos) fail(1, "", "is no text");
  // Encloses the text in one list to get a single tree, without a line break in front to keep line numbers.
  std::string enclosed = "(" + std::string(text) + "\n)";
  const std::unique_ptr<pcont_t, FreeContinuation> state(init_continuation(nullptr));
  if (!state) throw std::bad_alloc();
  cparse_sexp(enclosed.data(), enclosed.size(), state.get());
  const Tree tree(state->last_sexp);
  const std::size_t last_line = static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n')) + 1;
  if (!tree) fail(last_line, "", "a parenthesis or a quote is not closed");
  state->last_sexp = nullptr;
  // An extra closing parenthesis would end the tree early and hide everything after it.
  if (state->lastPos != nullptr) {
    for (const char* p = state->lastPos; p < enclosed.data() + enclosed.size(); ++p) {
      if (*p != ' ' && *p != '\n' && *p != '\t' && *p != '\r') {
        const auto before =
            std::string_view(enclosed).substr(0, static_cast<std::size_t>(p - enclosed.data()));
        fail(static_cast<std::size_t>(std::count(before.begin(), before.end(), '\n')) + 1, "",
             "a closing parenthesis too many before this line's end");
      }
    }
  }
  SexpReader reader(text);
  SexpDocument document;
  document.value = reader.object(tree->list, schema, "");
  document.lines = std::move(reader.lines);
  return document;
}

}  // namespace fennellane
