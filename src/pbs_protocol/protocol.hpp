// Requests and replies of the PBS batch protocol, and their encoding.
//
// The protocol is defined by the Internal Design Specification of the Portable Batch System (PBS).
#ifndef MOUNTFLOW_PBS_PROTOCOL_PROTOCOL_HPP_
#define MOUNTFLOW_PBS_PROTOCOL_PROTOCOL_HPP_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pbs_protocol/dis.hpp"

namespace mountflow::pbs_protocol {

// Limits of one request or reply. A message that exceeds any of them is malformed.
inline constexpr std::size_t kMaxNameBytes = 256;             // a name, id, user or destination
inline constexpr std::size_t kMaxValueBytes = 64 << 10;       // an attribute value or a reply text
inline constexpr std::size_t kMaxAttributes = 256;            // in one list
inline constexpr std::size_t kMaxScriptChunkBytes = 1 << 20;  // one chunk of a script
inline constexpr std::size_t kMaxObjects = 1 << 20;           // objects or ids in a status or select reply
inline constexpr std::size_t kMaxRequestBytes = 4 << 20;      // a whole request
inline constexpr std::size_t kMaxReplyBytes = 512u << 20;     // a whole reply

enum class RequestType : unsigned {
  kConnect = 0,
  kQueueJob = 1,
  kJobScript = 3,
  kReadyToCommit = 4,
  kCommit = 5,
  kDeleteJob = 6,
  kHoldJob = 7,
  kModifyJob = 11,
  kMoveJob = 12,
  kReleaseJob = 13,
  kRerunJob = 14,
  kSelectJobs = 16,
  kSignalJob = 18,
  kStatusJob = 19,
  kStatusQueue = 20,
  kStatusServer = 21,
  kJobObit = 22,
  kDisconnect = 59
};

// Operators of attributes. Selections use the comparisons from kEq on.
enum class Op : unsigned { kSet, kUnset, kIncr, kDecr, kEq, kNe, kGe, kGt, kLe, kLt };

// One attribute of a request or reply, as text. Some attributes, such as Resource_List, have one value for
// each resource.
struct Attribute {
  std::string name;
  std::string resource;  // empty if the attribute has no resource
  std::string value;
  Op op = Op::kSet;
  bool operator==(const Attribute&) const = default;
};
using Attributes = std::vector<Attribute>;

// Returns the first attribute with that name and resource, or null. It points into `list`.
const Attribute* Find(const Attributes& list, std::string_view name, std::string_view resource = {});
// Returns the value of the attribute that Find returns, or an empty text. It points into `list`.
std::string_view ValueOf(const Attributes& list, std::string_view name, std::string_view resource = {});

enum class ObjectType : unsigned { kServer = 0, kQueue = 1, kJob = 2 };

// A batch request of any type. Each type uses only some of the fields; the others are not encoded.
struct Request {
  RequestType type = RequestType::kConnect;
  std::string user;
  std::string id;           // job id or object name; an empty one in a status request selects all objects
  std::string destination;  // QueueJob, MoveJob
  Attributes attributes;
  unsigned command = 0;                  // requests in the Manage form: 1 deletes, 2 sets
  unsigned object = 2;                   // requests in the Manage form: an ObjectType
  std::uint64_t sequence = 0, kind = 0;  // JobScript: number of the chunk, and its kind
  std::string script;                    // JobScript: bytes of the chunk
  std::string signal;                    // SignalJob: name or number of the signal
  std::int64_t status = 0;               // JobObit: exit status
  std::string extension;
  bool operator==(const Request&) const = default;
};

// Reply codes. The numbers are those of the PBS protocol.
enum class Code : int {
  kNone = 0,
  kUnknownJob = 15001,
  kNoAttribute = 15002,
  kReadOnly = 15003,
  kInvalid = 15004,
  kUnknownRequest = 15005,
  kTooMany = 15006,
  kPermission = 15007,
  kExists = 15009,
  kSystem = 15010,
  kBadValue = 15014,
  kNotRunning = 15015,
  kBadState = 15016,
  kUnknownQueue = 15018,
  kProtocol = 15031,
  kNoRoom = 15046  // resources temporarily unavailable: a node rejects an attempt
};

// Returns a short description for users; empty for kNone.
[[nodiscard]] const char* Describe(Code code);

// The type of a reply's body.
enum class Choice : unsigned {
  kNull = 1,
  kQueued = 2,
  kReady = 3,
  kCommitted = 4,
  kSelected = 5,
  kStatus = 6,
  kText = 7,
  kLocate = 8
};

// A job, queue or server in a status reply.
struct StatusObject {
  ObjectType type = ObjectType::kJob;
  std::string name;
  Attributes attributes;
  bool operator==(const StatusObject&) const = default;
};

// A batch reply. `choice` selects which of the last three fields is encoded.
struct Reply {
  Code code = Code::kNone;
  std::int64_t auxiliary = 0;
  Choice choice = Choice::kNull;
  std::string text;  // job id, message text or location, depending on `choice`
  std::vector<std::string> ids;
  std::vector<StatusObject> objects;
  bool operator==(const Reply&) const = default;
};

// Append one encoded message to `out`.
void Encode(const Request& request, std::string* out);
void Encode(const Reply& reply, std::string* out);

enum class DecodeErrorCode : std::uint8_t {
  kMalformed,           // the input at byte `offset` is not what `expected` describes
  kTooLarge,            // the message is longer than `max_bytes`
  kUnknownRequestType,  // the request type `request_type` is unknown
};

// Each code sets only the fields that its comment names.
struct DecodeError {
  DecodeErrorCode code = DecodeErrorCode::kMalformed;
  std::string expected;
  std::size_t offset = 0;
  std::size_t max_bytes = 0;
  std::uint64_t request_type = 0;
};

// Returns a description of the expected input, phrased to follow the word "expected".
[[nodiscard]] std::string Describe(const DecodeError& error);

struct DecodeResult {
  DisState state = DisState::kMore;
  std::size_t used = 0;   // kOk: length of the message in bytes
  std::size_t needs = 1;  // kMore: least input length, in bytes, with which decoding can get further
  DecodeError error;      // kBad: the reason
};

// Decode one message at the front of `bytes`. `request` or `reply` is set only if the state is kOk.
[[nodiscard]] DecodeResult Decode(std::string_view bytes, Request* request);
[[nodiscard]] DecodeResult Decode(std::string_view bytes, Reply* reply);

}  // namespace mountflow::pbs_protocol

#endif  // MOUNTFLOW_PBS_PROTOCOL_PROTOCOL_HPP_
