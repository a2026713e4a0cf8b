#include "http/message.hpp"

#include <http_parser.h>

#include <cctype>

namespace mountflow::http {

std::string Message::Header(const std::string& name) const {
  const auto it = headers.find(name);
  return it == headers.end() ? "" : it->second;
}

std::string Message::Query(const std::string& name, const std::string& otherwise) const {
  const auto it = query.find(name);
  return it == query.end() ? otherwise : it->second;
}

bool DecodeUrl(std::string_view text, std::string* decoded) {
  const auto digit = [](char c) {
    return c >= '0' && c <= '9'   ? c - '0'
           : c >= 'a' && c <= 'f' ? c - 'a' + 10
           : c >= 'A' && c <= 'F' ? c - 'A' + 10
                                  : -1;
  };
  decoded->clear();
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      decoded->push_back(text[i]);
      continue;
    }
    if (i + 2 >= text.size() || digit(text[i + 1]) < 0 || digit(text[i + 2]) < 0) return false;
    decoded->push_back(static_cast<char>(digit(text[i + 1]) * 16 + digit(text[i + 2])));
    i += 2;
  }
  return true;
}

std::string EncodeUrl(std::string_view text) {
  static const char kHex[] = "0123456789ABCDEF";
  std::string encoded;
  for (char c : text) {
    if (std::isalnum(static_cast<unsigned char>(c)) != 0 ||
        std::string_view("-._~/").find(c) != std::string_view::npos) {
      encoded.push_back(c);
    } else {
      const auto byte = static_cast<unsigned char>(c);
      encoded += {'%', kHex[byte >> 4], kHex[byte & 15]};
    }
  }
  return encoded;
}

struct Reader::Impl {
  http_parser parser;
  http_parser_settings settings;
  std::size_t most_body = 0;
  std::size_t head = 0;
  std::deque<Message> done;
  Message current;
  std::string url, field, value;
  bool in_value = false;
  std::string error;
  int status = 400;
  int stream_status = 0;
  std::function<void(std::string_view)> part;

  bool Count(std::size_t bytes) {
    head += bytes;
    if (head <= kMostHead) return true;
    error = "a head of at most " + std::to_string(kMostHead) + " bytes";
    status = 431;
    return false;
  }
  void EndHeader() {
    if (field.empty()) return;
    for (char& c : field) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    std::string& slot = current.headers[field];
    slot = slot.empty() ? value : slot + ", " + value;
    field.clear();
    value.clear();
  }
  bool EndUrl() {
    const std::size_t mark = url.find('?');
    if (!DecodeUrl(std::string_view(url).substr(0, mark), &current.path)) {
      error = "a path with valid escapes";
      return false;
    }
    if (mark == std::string::npos) return true;
    std::string_view rest = std::string_view(url).substr(mark + 1);
    while (!rest.empty()) {
      const std::size_t end = rest.find('&');
      const std::string_view one = rest.substr(0, end);
      rest = end == std::string_view::npos ? std::string_view{} : rest.substr(end + 1);
      const std::size_t equals = one.find('=');
      std::string name, text;
      if (!DecodeUrl(one.substr(0, equals), &name) ||
          (equals != std::string_view::npos && !DecodeUrl(one.substr(equals + 1), &text))) {
        error = "a query with valid escapes";
        return false;
      }
      if (!name.empty()) current.query[name] = text;
    }
    return true;
  }
};

namespace {

Reader::Side SideOf(http_parser* p) {
  return p->type == HTTP_REQUEST ? Reader::Side::kRequests : Reader::Side::kReplies;
}

}  // namespace

Reader::Reader(Side side, std::size_t most_body) : impl_(std::make_unique<Impl>()) {
  Impl& i = *impl_;
  i.most_body = most_body;
  http_parser_init(&i.parser, side == Side::kRequests ? HTTP_REQUEST : HTTP_RESPONSE);
  i.parser.data = &i;
  http_parser_settings_init(&i.settings);
  i.settings.on_message_begin = [](http_parser* p) {
    auto& self = *static_cast<Impl*>(p->data);
    self.current = Message{};
    self.url.clear();
    self.field.clear();
    self.value.clear();
    self.in_value = false;
    self.head = 0;
    if (self.done.size() < kMostPipelined) return 0;
    self.error = "at most " + std::to_string(kMostPipelined) + " requests before the first is answered";
    self.status = 429;
    return 1;
  };
  i.settings.on_url = [](http_parser* p, const char* at, std::size_t n) {
    auto& self = *static_cast<Impl*>(p->data);
    self.url.append(at, n);
    return self.Count(n) ? 0 : 1;
  };
  i.settings.on_header_field = [](http_parser* p, const char* at, std::size_t n) {
    auto& self = *static_cast<Impl*>(p->data);
    if (self.in_value) self.EndHeader();
    self.in_value = false;
    self.field.append(at, n);
    return self.Count(n) ? 0 : 1;
  };
  i.settings.on_header_value = [](http_parser* p, const char* at, std::size_t n) {
    auto& self = *static_cast<Impl*>(p->data);
    self.in_value = true;
    self.value.append(at, n);
    return self.Count(n) ? 0 : 1;
  };
  i.settings.on_headers_complete = [](http_parser* p) {
    auto& self = *static_cast<Impl*>(p->data);
    self.EndHeader();
    if (SideOf(p) == Side::kRequests && !self.EndUrl()) return -1;
    // Danger: two framings of one body are read differently by different parties (request smuggling).
    if (self.current.headers.count("transfer-encoding") > 0 &&
        self.current.headers.count("content-length") > 0) {
      self.error = "one of Transfer-Encoding and Content-Length, not both";
      return -1;
    }
    if (p->content_length != ~0ull && p->content_length > self.most_body) {
      self.error = "a body of at most " + std::to_string(self.most_body) + " bytes";
      self.status = 413;
      return -1;
    }
    return 0;
  };
  i.settings.on_body = [](http_parser* p, const char* at, std::size_t n) {
    auto& self = *static_cast<Impl*>(p->data);
    if (self.part && static_cast<int>(p->status_code) == self.stream_status) {
      self.part(std::string_view(at, n));
      return 0;
    }
    if (self.current.body.size() + n > self.most_body) {
      self.error = "a body of at most " + std::to_string(self.most_body) + " bytes";
      self.status = 413;
      return 1;
    }
    self.current.body.append(at, n);
    return 0;
  };
  i.settings.on_message_complete = [](http_parser* p) {
    auto& self = *static_cast<Impl*>(p->data);
    if (SideOf(p) == Side::kRequests) {
      self.current.method = http_method_str(static_cast<http_method>(p->method));
    } else {
      self.current.status = static_cast<int>(p->status_code);
    }
    self.current.keep_alive = http_should_keep_alive(p) != 0;
    self.done.push_back(std::move(self.current));
    self.current = Message{};
    return 0;
  };
}

Reader::~Reader() = default;
Reader::Reader(Reader&&) noexcept = default;

bool Reader::Feed(std::string_view bytes) {
  if (!impl_->error.empty()) return false;
  const std::size_t used = http_parser_execute(&impl_->parser, &impl_->settings, bytes.data(), bytes.size());
  if (used == bytes.size() && HTTP_PARSER_ERRNO(&impl_->parser) == HPE_OK && impl_->parser.upgrade == 0)
    return true;
  if (impl_->error.empty()) {
    impl_->error = impl_->parser.upgrade != 0 ? "no protocol upgrade"
                                              : http_errno_description(HTTP_PARSER_ERRNO(&impl_->parser));
  }
  return false;
}

void Reader::Stream(int status, std::function<void(std::string_view)> part) {
  impl_->stream_status = status;
  impl_->part = std::move(part);
}

void Reader::Finish() { http_parser_execute(&impl_->parser, &impl_->settings, nullptr, 0); }
std::deque<Message>& Reader::messages() { return impl_->done; }
const std::string& Reader::error() const { return impl_->error; }
int Reader::status() const { return impl_->status; }

const char* Phrase(int status) {
  switch (status) {
#define XX(num, name, string) \
  case num:                   \
    return #string;
    HTTP_STATUS_MAP(XX)
#undef XX
    default:
      return "Unknown";
  }
}

namespace {

void PutHead(const std::vector<std::pair<std::string, std::string>>& headers, std::size_t body,
             std::string* out) {
  for (const auto& [name, value] : headers) *out += name + ": " + value + "\r\n";
  *out += "Content-Length: " + std::to_string(body) + "\r\n\r\n";
}

}  // namespace

std::string WriteReply(int status, const std::vector<std::pair<std::string, std::string>>& headers,
                       std::string_view body, bool keep_alive) {
  std::string out = "HTTP/1.1 " + std::to_string(status) + " " + Phrase(status) + "\r\n";
  if (!keep_alive) out += "Connection: close\r\n";
  PutHead(headers, body.size(), &out);
  out += body;
  return out;
}

std::string WriteRequest(const std::string& method, const std::string& target,
                         const std::vector<std::pair<std::string, std::string>>& headers,
                         std::string_view body) {
  std::string out = method + " " + target + " HTTP/1.1\r\n";
  PutHead(headers, body.size(), &out);
  out += body;
  return out;
}

}  // namespace mountflow::http
