// HTTP/1.1 messages, for servers and clients: an incremental reader (on http-parser), writers, URL escapes.
// Bytes in, messages out; no I/O.
#ifndef MOUNTFLOW_HTTP_MESSAGE_HPP_
#define MOUNTFLOW_HTTP_MESSAGE_HPP_

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace mountflow::http {

// Longest request target and header fields of one message together.
inline constexpr std::size_t kMaxHeadBytes = 32 << 10;

// Most messages that a reader holds before the first is taken from messages().
inline constexpr std::size_t kMaxPipelined = 64;

// A request or a reply.
struct Message {
  // Requests:
  std::string method;
  std::string path;                          // decoded, without the query
  std::map<std::string, std::string> query;  // decoded
  // Replies:
  int status = 0;
  // Both. Header names are lower case; repeated ones are joined by ", ".
  std::map<std::string, std::string> headers;
  std::string body;
  bool keep_alive = true;

  // The value of a header; empty where it is absent.
  std::string Header(const std::string& name) const;
  // The value of a query parameter.
  std::string Query(const std::string& name, const std::string& fallback = "") const;
};

// Header fields to write: names and values, in order.
using HeaderFields = std::vector<std::pair<std::string, std::string>>;

// Reads the messages of one side of one connection. How the bytes are split between calls of Feed() makes no
// difference. Not thread-safe.
class Reader {
 public:
  enum class Side { kRequests, kReplies };

  // `max_body` bounds the body of each message, in bytes.
  Reader(Side side, std::size_t max_body);
  ~Reader();
  Reader(Reader&&) noexcept;

  // Returns false when the bytes are not valid HTTP or go beyond a bound: error() then says what was
  // expected, and status() is the fitting reply (400, 413, 429, 431). Final: nothing more is read. Messages
  // that were complete before the fault stay in messages().
  bool Feed(std::string_view bytes);

  // Passes the bodies of replies with this status to `part` as they arrive, without a bound and without
  // keeping them; the message that ends such a reply has an empty body. Null: bodies are kept as usual.
  void Stream(int status, std::function<void(std::string_view)> part);

  // To be called when the peer has closed the connection: completes a reply whose body runs to the end.
  void Finish();

  // The messages read so far; the caller takes them from the front.
  std::deque<Message>& messages();
  const std::string& error() const;
  int status() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// A reply with its Content-Length; with `Connection: close` unless `keep_alive`.
std::string WriteReply(int status, const HeaderFields& headers, std::string_view body, bool keep_alive);

// A request with its Content-Length. `target` is escaped already.
std::string WriteRequest(const std::string& method, const std::string& target, const HeaderFields& headers,
                         std::string_view body);

// The reason phrase of a status, "Not Found"; "Unknown" where it has none.
const char* Phrase(int status);

// Replaces each %XX by its byte. Empty: an escape is malformed.
std::optional<std::string> DecodeUrl(std::string_view text);

// Escapes all but letters, digits and -._~/
std::string EncodeUrl(std::string_view text);

}  // namespace mountflow::http

#endif  // MOUNTFLOW_HTTP_MESSAGE_HPP_
