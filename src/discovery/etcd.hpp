// Requests and replies of etcd's version 3 interface through its JSON gateway (/v3/...). The gateway writes
// 64-bit numbers as strings and byte strings as base64.
#ifndef MOUNTFLOW_DISCOVERY_ETCD_HPP_
#define MOUNTFLOW_DISCOVERY_ETCD_HPP_

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "discovery/entry.hpp"
#include "discovery/state.hpp"

namespace mountflow::discovery {

// Returns the exclusive end of the range of all keys with this prefix.
std::string RangeEnd(std::string prefix);

// The reply to a range request.
struct EtcdRange {
  std::uint64_t revision = 0;  // revision of the store when it replied
  std::uint64_t cluster = 0;   // ID of the cluster; a store restored from a backup has a new one
  std::vector<KeyValue> pairs;
  bool more = false;  // further keys exist beyond the limit of the request
};
// Returns the body of a range request for at most `limit` keys with this prefix, starting at key `from`.
// `revision` 0 requests the newest revision.
std::string WriteRange(const std::string& from, const std::string& prefix, std::uint64_t revision,
                       unsigned limit);
[[nodiscard]] tl::expected<EtcdRange, DecodeError> DecodeRange(std::string_view body);

// Returns the body of a watch request for all keys with this prefix.
std::string WriteWatch(const std::string& prefix, std::uint64_t start_revision);

// One message of a watch.
struct EtcdWatch {
  std::uint64_t header_revision = 0;  // revision of the store when it sent the message
  std::uint64_t cluster = 0;
  bool created = false;
  bool canceled = false;
  bool fragment = false;               // more fragments of the same revision follow
  std::uint64_t compact_revision = 0;  // if canceled and not 0: revisions below it have been compacted
  std::string reason;                  // if canceled
  std::vector<KeyChange> events;
};
// Decodes one message of the stream. An error object in place of a message yields a DecodeError with its
// text.
[[nodiscard]] tl::expected<EtcdWatch, DecodeError> DecodeWatch(std::string_view message);

// An error object in a reply.
struct EtcdError {
  int code = 0;  // gRPC status code
  std::string text;
  // Reports whether the requested revision has been compacted.
  bool IsCompacted() const;
  // Reports whether the auth token is missing or no longer valid.
  bool IsTokenInvalid() const;
};
// Reads an error object. Returns false if `body` holds none.
bool ReadError(std::string_view body, EtcdError* error);

// Returns the body of an authenticate request.
std::string WriteAuthenticate(const std::string& user, const std::string& password);
// Reads the auth token from an authenticate reply. Returns false if it has none.
bool ReadToken(std::string_view body, std::string* token);

// Returns the body of a lease grant request. With `id` 0, etcd chooses the ID. `ttl_s` is in seconds.
std::string WriteLeaseGrant(std::uint64_t id, std::uint64_t ttl_s);
// Returns the body of a keep-alive request for a lease.
std::string WriteKeepAlive(std::uint64_t id);
// Reads the ID of a lease and its remaining seconds from a grant or keep-alive reply. 0 seconds mean that the
// lease has expired. Returns false if the reply holds no lease.
bool ReadLease(std::string_view body, std::uint64_t* id, std::int64_t* ttl_s);
// Returns the body of a put request. `lease` 0 attaches the key to no lease.
std::string WritePut(const std::string& key, const std::string& value, std::uint64_t lease);
// Returns the body of a delete request for one key.
std::string WriteDelete(const std::string& key);

}  // namespace mountflow::discovery

#endif  // MOUNTFLOW_DISCOVERY_ETCD_HPP_
