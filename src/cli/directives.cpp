#include "cli/directives.hpp"

namespace mountflow::cli {
namespace {

bool IsBlank(char character) { return character == ' ' || character == '\t' || character == '\r'; }

std::string_view Trim(std::string_view line) {
  while (!line.empty() && IsBlank(line.front())) line.remove_prefix(1);
  while (!line.empty() && IsBlank(line.back())) line.remove_suffix(1);
  return line;
}

// Splits one line into words as the shell does.
class WordSplitter {
 public:
  explicit WordSplitter(std::vector<std::string>* words) : words_(words) {}

  // Appends the words of `line`. Returns false if a quote is not closed.
  bool Split(std::string_view line) {
    for (std::size_t i = 0; i < line.size(); ++i) {
      const char character = line[i];
      const bool escapes = character == '\\' && quote_ != '\'' && i + 1 < line.size();
      if (escapes) {
        Append(line[++i]);
      } else if (quote_ != 0) {
        AppendQuoted(character);
      } else if (character == '\'' || character == '"') {
        quote_ = character;
        in_word_ = true;
      } else if (IsBlank(character)) {
        EndWord();
      } else if (character == '#' && !in_word_) {
        break;  // the remainder of the line is a comment
      } else {
        Append(character);
      }
    }
    EndWord();
    return quote_ == 0;
  }

 private:
  void Append(char character) {
    word_.push_back(character);
    in_word_ = true;
  }

  void AppendQuoted(char character) {
    if (character == quote_) {
      quote_ = 0;
    } else {
      word_.push_back(character);
    }
  }

  void EndWord() {
    if (in_word_) words_->push_back(word_);
    word_.clear();
    in_word_ = false;
  }

  std::vector<std::string>* words_;
  std::string word_;
  bool in_word_ = false;  // true also for an empty word in quotes
  char quote_ = 0;        // the quote character that is open; 0 if none
};

}  // namespace

std::string Describe(const DirectiveError& error) {
  std::string where = "script line " + std::to_string(error.line) + ": expected ";
  switch (error.code) {
    case DirectiveErrorCode::kLineTooLong:
      return where + "a directive of at most " + std::to_string(kMaxDirectiveLineBytes) + " bytes";
    case DirectiveErrorCode::kTooManyDirectives:
      return where + "at most " + std::to_string(kMaxDirectives) + " directives";
    case DirectiveErrorCode::kUnclosedQuote:
      return where + "a closing quote";
  }
  return where;
}

tl::expected<std::vector<std::string>, DirectiveError> ReadDirectives(std::string_view script,
                                                                      std::string_view prefix) {
  std::vector<std::string> arguments;
  if (prefix.empty()) return arguments;
  std::size_t directives = 0;
  for (std::size_t number = 1; !script.empty(); ++number) {
    const std::size_t end = script.find('\n');
    const std::string_view line = Trim(script.substr(0, end));
    script = end == std::string_view::npos ? std::string_view{} : script.substr(end + 1);
    if (line.empty()) continue;
    if (line.substr(0, prefix.size()) != prefix) {
      if (line.front() != '#') break;
      continue;
    }
    if (line.size() > kMaxDirectiveLineBytes) {
      return tl::make_unexpected(DirectiveError{DirectiveErrorCode::kLineTooLong, number});
    }
    if (++directives > kMaxDirectives) {
      return tl::make_unexpected(DirectiveError{DirectiveErrorCode::kTooManyDirectives, number});
    }
    if (!WordSplitter(&arguments).Split(line.substr(prefix.size()))) {
      return tl::make_unexpected(DirectiveError{DirectiveErrorCode::kUnclosedQuote, number});
    }
  }
  return arguments;
}

}  // namespace mountflow::cli
