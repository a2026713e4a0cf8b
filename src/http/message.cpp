#include "http/message.hpp"

#include <http_parser.h>

#include <algorithm>
#include <cctype>
#include <cstdint>
#include <limits>

namespace mountflow::http {
namespace {

constexpr int kStatusBadRequest = 400;
constexpr int kStatusBodyTooLarge = 413;
constexpr int kStatusTooManyRequests = 429;
constexpr int kStatusHeadTooLarge = 431;

// Return values of the parser's callbacks.
constexpr int kContinue = 0;
constexpr int kStop = 1;
// The callback at the end of the headers must not return 1 to stop, because 1 means there that no body
// follows.
constexpr int kStopAfterHeaders = -1;

// The parser's content_length for a message without a length.
constexpr auto kNoContentLength = std::numeric_limits<std::uint64_t>::max();

constexpr std::size_t kEscapeBytes = 3;  // %XX
constexpr int kBitsPerHexDigit = 4;

// Returns the value of a hexadecimal digit; -1 if it is none.
int HexDigitValue(char digit) {
  if (digit >= '0' && digit <= '9') return digit - '0';
  if (digit >= 'a' && digit <= 'f') return digit - 'a' + 10;
  if (digit >= 'A' && digit <= 'F') return digit - 'A' + 10;
  return -1;
}

// Reads "name=value&..." into `query`. Ignores parameters without a name. Returns false if an escape is
// malformed.
bool ReadQuery(std::string_view text, std::map<std::string, std::string>* query) {
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('&'), text.size());
    const std::string_view parameter = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    const std::size_t equals = std::min(parameter.find('='), parameter.size());
    const std::optional<std::string> name = DecodeUrl(parameter.substr(0, equals));
    const std::optional<std::string> value =
        DecodeUrl(parameter.substr(std::min(equals + 1, parameter.size())));
    if (!name || !value) return false;
    if (!name->empty()) (*query)[*name] = *value;
  }
  return true;
}

void AppendHeaders(const HeaderFields& headers, std::size_t body_size, std::string* text) {
  for (const auto& [name, value] : headers) text->append(name).append(": ").append(value).append("\r\n");
  *text += "Content-Length: " + std::to_string(body_size) + "\r\n\r\n";
}

}  // namespace

std::string Message::Header(const std::string& name) const {
  const auto it = headers.find(name);
  return it == headers.end() ? "" : it->second;
}

std::string Message::Query(const std::string& name, const std::string& fallback) const {
  const auto it = query.find(name);
  return it == query.end() ? fallback : it->second;
}

std::optional<std::string> DecodeUrl(std::string_view text) {
  std::string decoded;
  while (!text.empty()) {
    if (text[0] != '%') {
      decoded.push_back(text[0]);
      text.remove_prefix(1);
      continue;
    }
    if (text.size() < kEscapeBytes) return std::nullopt;
    const int high = HexDigitValue(text[1]);
    const int low = HexDigitValue(text[2]);
    if (high < 0 || low < 0) return std::nullopt;
    decoded.push_back(static_cast<char>(high << kBitsPerHexDigit | low));
    text.remove_prefix(kEscapeBytes);
  }
  return decoded;
}

std::string EncodeUrl(std::string_view text) {
  constexpr std::string_view kHexDigits = "0123456789ABCDEF";
  constexpr std::string_view kUnescaped = "-._~/";
  std::string encoded;
  for (const char character : text) {
    const auto byte = static_cast<unsigned char>(character);
    if (std::isalnum(byte) != 0 || kUnescaped.find(character) != std::string_view::npos) {
      encoded.push_back(character);
    } else {
      encoded += {'%', kHexDigits[byte >> kBitsPerHexDigit], kHexDigits[byte & 0xf]};
    }
  }
  return encoded;
}

// Builds messages from the parser's callbacks.
class Reader::Impl {
 public:
  Impl(Side side, std::size_t max_body) : side_(side), max_body_(max_body) {
    http_parser_init(&parser_, side == Side::kRequests ? HTTP_REQUEST : HTTP_RESPONSE);
    parser_.data = this;
    http_parser_settings_init(&settings_);
    settings_.on_message_begin = [](http_parser* parser) {
      return Of(parser).BeginMessage() ? kContinue : kStop;
    };
    settings_.on_url = [](http_parser* parser, const char* at, std::size_t size) {
      return Of(parser).AddUrl({at, size}) ? kContinue : kStop;
    };
    settings_.on_header_field = [](http_parser* parser, const char* at, std::size_t size) {
      return Of(parser).AddHeaderName({at, size}) ? kContinue : kStop;
    };
    settings_.on_header_value = [](http_parser* parser, const char* at, std::size_t size) {
      return Of(parser).AddHeaderValue({at, size}) ? kContinue : kStop;
    };
    settings_.on_headers_complete = [](http_parser* parser) {
      return Of(parser).EndHeaders() ? kContinue : kStopAfterHeaders;
    };
    settings_.on_body = [](http_parser* parser, const char* at, std::size_t size) {
      return Of(parser).AddBody({at, size}) ? kContinue : kStop;
    };
    settings_.on_message_complete = [](http_parser* parser) {
      Of(parser).EndMessage();
      return kContinue;
    };
  }

  bool Feed(std::string_view bytes) {
    if (!error_.empty()) return false;
    const std::size_t read = http_parser_execute(&parser_, &settings_, bytes.data(), bytes.size());
    const http_errno parse_error = HTTP_PARSER_ERRNO(&parser_);
    const bool upgrade = parser_.upgrade != 0;
    if (read == bytes.size() && parse_error == HPE_OK && !upgrade) return true;
    if (error_.empty()) error_ = upgrade ? "no protocol upgrade" : http_errno_description(parse_error);
    return false;
  }

  void Stream(int status, std::function<void(std::string_view)> part) {
    stream_status_ = status;
    stream_part_ = std::move(part);
  }

  void Finish() { http_parser_execute(&parser_, &settings_, nullptr, 0); }

  std::deque<Message>& messages() { return messages_; }
  const std::string& error() const { return error_; }
  int status() const { return status_; }

 private:
  static Impl& Of(http_parser* parser) { return *static_cast<Impl*>(parser->data); }

  // The functions below return false if parsing must stop.

  bool Fail(int status, std::string expected) {
    status_ = status;
    error_ = std::move(expected);
    return false;
  }

  bool FailBodyTooLarge() {
    return Fail(kStatusBodyTooLarge, "a body of at most " + std::to_string(max_body_) + " bytes");
  }

  bool BeginMessage() {
    current_ = Message{};
    url_.clear();
    header_name_.clear();
    header_value_.clear();
    in_header_value_ = false;
    head_size_ = 0;
    if (messages_.size() < kMaxPipelined) return true;
    return Fail(kStatusTooManyRequests,
                "at most " + std::to_string(kMaxPipelined) + " requests before the first is answered");
  }

  bool CountHead(std::size_t size) {
    head_size_ += size;
    if (head_size_ <= kMaxHeadBytes) return true;
    return Fail(kStatusHeadTooLarge, "a head of at most " + std::to_string(kMaxHeadBytes) + " bytes");
  }

  bool AddUrl(std::string_view part) {
    url_.append(part);
    return CountHead(part.size());
  }

  bool AddHeaderName(std::string_view part) {
    if (in_header_value_) EndHeader();
    in_header_value_ = false;
    header_name_.append(part);
    return CountHead(part.size());
  }

  bool AddHeaderValue(std::string_view part) {
    in_header_value_ = true;
    header_value_.append(part);
    return CountHead(part.size());
  }

  void EndHeader() {
    if (header_name_.empty()) return;
    for (char& character : header_name_) {
      character = static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
    }
    std::string& value = current_.headers[header_name_];
    if (!value.empty()) value += ", ";
    value += header_value_;
    header_name_.clear();
    header_value_.clear();
  }

  bool ReadUrl() {
    const std::string_view url = url_;
    const std::size_t path_end = std::min(url.find('?'), url.size());
    std::optional<std::string> path = DecodeUrl(url.substr(0, path_end));
    if (!path) return Fail(kStatusBadRequest, "a path with valid escapes");
    current_.path = std::move(*path);
    if (path_end == url.size() || ReadQuery(url.substr(path_end + 1), &current_.query)) return true;
    return Fail(kStatusBadRequest, "a query with valid escapes");
  }

  bool EndHeaders() {
    EndHeader();
    if (side_ == Side::kRequests && !ReadUrl()) return false;
    // Security: recipients may disagree about the length of a body that has two framings, which allows
    // request smuggling.
    if (current_.headers.count("transfer-encoding") > 0 && current_.headers.count("content-length") > 0) {
      return Fail(kStatusBadRequest, "one of Transfer-Encoding and Content-Length, not both");
    }
    const bool has_length = parser_.content_length != kNoContentLength;
    if (has_length && parser_.content_length > max_body_) return FailBodyTooLarge();
    return true;
  }

  bool AddBody(std::string_view part) {
    if (stream_part_ && static_cast<int>(parser_.status_code) == stream_status_) {
      stream_part_(part);
      return true;
    }
    if (current_.body.size() + part.size() > max_body_) return FailBodyTooLarge();
    current_.body.append(part);
    return true;
  }

  void EndMessage() {
    if (side_ == Side::kRequests) {
      current_.method = http_method_str(static_cast<http_method>(parser_.method));
    } else {
      current_.status = static_cast<int>(parser_.status_code);
    }
    current_.keep_alive = http_should_keep_alive(&parser_) != 0;
    messages_.push_back(std::move(current_));
    current_ = Message{};
  }

  const Side side_;
  const std::size_t max_body_;
  http_parser parser_;
  http_parser_settings settings_;

  // The message being read.
  Message current_;
  std::string url_;
  std::string header_name_, header_value_;
  bool in_header_value_ = false;
  std::size_t head_size_ = 0;

  std::deque<Message> messages_;
  std::string error_;
  int status_ = kStatusBadRequest;
  int stream_status_ = 0;
  std::function<void(std::string_view)> stream_part_;
};

Reader::Reader(Side side, std::size_t max_body) : impl_(std::make_unique<Impl>(side, max_body)) {}
Reader::~Reader() = default;
Reader::Reader(Reader&&) noexcept = default;

bool Reader::Feed(std::string_view bytes) { return impl_->Feed(bytes); }

void Reader::Stream(int status, std::function<void(std::string_view)> part) {
  impl_->Stream(status, std::move(part));
}

void Reader::Finish() { impl_->Finish(); }
std::deque<Message>& Reader::messages() { return impl_->messages(); }
const std::string& Reader::error() const { return impl_->error(); }
int Reader::status() const { return impl_->status(); }

const char* Phrase(int status) {
  switch (status) {
#define MOUNTFLOW_STATUS_CASE(number, name, phrase) \
  case number:                                      \
    return #phrase;
    HTTP_STATUS_MAP(MOUNTFLOW_STATUS_CASE)
#undef MOUNTFLOW_STATUS_CASE
    default:
      return "Unknown";
  }
}

std::string WriteReply(int status, const HeaderFields& headers, std::string_view body, bool keep_alive) {
  std::string reply = "HTTP/1.1 " + std::to_string(status) + " " + Phrase(status) + "\r\n";
  if (!keep_alive) reply += "Connection: close\r\n";
  AppendHeaders(headers, body.size(), &reply);
  reply += body;
  return reply;
}

std::string WriteRequest(const std::string& method, const std::string& target, const HeaderFields& headers,
                         std::string_view body) {
  std::string request = method + " " + target + " HTTP/1.1\r\n";
  AppendHeaders(headers, body.size(), &request);
  request += body;
  return request;
}

}  // namespace mountflow::http
