// HTTP/1.1 messages: parsing (http-parser) and writing, sans-I/O, for both
// sides. Bounds: a head of kMostHead bytes, a body as the reader is told.
#ifndef MOUNTFLOW_HTTP_MESSAGE_HPP_
#define MOUNTFLOW_HTTP_MESSAGE_HPP_

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace mountflow::http {

inline constexpr std::size_t kMostHead = 32 << 10;
inline constexpr std::size_t kMostPipelined = 64;  // requests parsed and not yet answered

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

  std::string Header(const std::string& name) const;
  std::string Query(const std::string& name, const std::string& otherwise = "") const;
};

// Reads messages of one side of a connection.
class Reader {
 public:
  enum class Side { kRequests, kReplies };
  Reader(Side side, std::size_t most_body);
  ~Reader();
  Reader(Reader&&) noexcept;

  // False when the bytes are no valid HTTP or go beyond a bound; `error` says which, `status` is the fitting
  // reply (400, 413, 431). Nothing more is read then.
  bool Feed(std::string_view bytes);
  // Bodies of replies with this status go to `part` as they arrive, unbounded in all but never kept; the
  // message that ends them has an empty body. Null: as usual.
  void Stream(int status, std::function<void(std::string_view)> part);
  // The other end closed: completes a reply whose body runs to the end.
  void Finish();
  std::deque<Message>& messages();
  const std::string& error() const;
  int status() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

std::string WriteReply(int status, const std::vector<std::pair<std::string, std::string>>& headers,
                       std::string_view body, bool keep_alive);
std::string WriteRequest(const std::string& method, const std::string& target,
                         const std::vector<std::pair<std::string, std::string>>& headers,
                         std::string_view body);
const char* Phrase(int status);
bool DecodeUrl(std::string_view text, std::string* decoded);
std::string EncodeUrl(std::string_view text);  // all but letters, digits and -._~/

}  // namespace mountflow::http

#endif  // MOUNTFLOW_HTTP_MESSAGE_HPP_
