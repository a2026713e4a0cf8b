// HTTP/1.1 messages for servers and clients: an incremental reader (based on http-parser), writers, and URL
// encoding. Works on bytes in memory and performs no I/O.
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

// Maximum size in bytes of the request target and the header fields of one message together.
inline constexpr std::size_t kMaxHeadBytes = 32 << 10;

// Maximum number of messages that a reader holds before the caller takes them from messages().
inline constexpr std::size_t kMaxPipelined = 64;

// A request or a reply.
struct Message {
  // Set for requests only.
  std::string method;
  std::string path;                          // decoded, without the query
  std::map<std::string, std::string> query;  // decoded
  // Set for replies only.
  int status = 0;
  // Set for requests and replies. Header names are in lower case; the values of repeated headers are joined
  // by ", ".
  std::map<std::string, std::string> headers;
  std::string body;
  bool keep_alive = true;

  // Returns the value of a header; empty if it is absent.
  std::string Header(const std::string& name) const;
  // Returns the value of a query parameter; `fallback` if it is absent.
  std::string Query(const std::string& name, const std::string& fallback = "") const;
};

// Header fields to write: names and values, in order.
using HeaderFields = std::vector<std::pair<std::string, std::string>>;

// Reads the messages of one direction of one connection. The result does not depend on how the bytes are
// split between calls of Feed(). Not thread-safe.
class Reader {
 public:
  enum class Side { kRequests, kReplies };

  // `max_body` is the maximum size of the body of a message, in bytes.
  Reader(Side side, std::size_t max_body);
  ~Reader();
  Reader(Reader&&) noexcept;

  // Parses more bytes. Returns false if they are not valid HTTP or exceed a limit: error() then describes
  // what was expected, and status() is the status to reply with (400, 413, 429 or 431). The error is final:
  // later calls parse nothing. Messages that were complete before the error remain in messages().
  bool Feed(std::string_view bytes);

  // Passes the bodies of replies with this status to `part` as they arrive, without a size limit and without
  // storing them; the message that ends such a reply has an empty body. With a null `part`, bodies are stored
  // as usual.
  void Stream(int status, std::function<void(std::string_view)> part);

  // Must be called when the peer has closed the connection: completes a reply whose body extends to the end
  // of the connection.
  void Finish();

  // Returns the messages read so far; the caller removes them from the front.
  std::deque<Message>& messages();
  const std::string& error() const;
  int status() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// Returns a reply with its Content-Length, and with `Connection: close` unless `keep_alive` is true.
std::string WriteReply(int status, const HeaderFields& headers, std::string_view body, bool keep_alive);

// Returns a request with its Content-Length. `target` must already be percent-encoded.
std::string WriteRequest(const std::string& method, const std::string& target, const HeaderFields& headers,
                         std::string_view body);

// Returns the reason phrase of a status, such as "Not Found"; "Unknown" if it has none.
const char* Phrase(int status);

// Replaces each %XX by its byte. Returns nullopt if an escape is malformed.
std::optional<std::string> DecodeUrl(std::string_view text);

// Percent-encodes all characters except letters, digits and -._~/
std::string EncodeUrl(std::string_view text);

}  // namespace mountflow::http

#endif  // MOUNTFLOW_HTTP_MESSAGE_HPP_
