// Requests and replies of the PBS batch protocol (Portable Batch System,
// Internal Design Specification), as values and as bytes.
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

// Bounds of one request or reply; whatever exceeds them is malformed.
inline constexpr std::size_t kMaxName = 256;          // bytes of a name, id, user or destination
inline constexpr std::size_t kMaxValue = 64 << 10;    // bytes of an attribute's value or a text
inline constexpr std::size_t kMaxAttributes = 256;    // in one list
inline constexpr std::size_t kMaxPiece = 1 << 20;     // bytes of one piece of a script
inline constexpr std::size_t kMaxObjects = 1 << 20;   // in a status or select reply
inline constexpr std::size_t kMaxRequest = 4 << 20;   // bytes of a whole request
inline constexpr std::size_t kMaxReply = 512u << 20;  // bytes of a whole reply

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

enum class Op : unsigned { kSet, kUnset, kIncr, kDecr, kEq, kNe, kGe, kGt, kLe, kLt };

struct Attribute {
  std::string name;
  std::string resource;  // empty: none
  std::string value;
  Op op = Op::kSet;
  bool operator==(const Attribute&) const = default;
};
using Attributes = std::vector<Attribute>;

// The first attribute of that name and resource, or null.
const Attribute* Find(const Attributes& list, std::string_view name, std::string_view resource = {});
std::string_view ValueOf(const Attributes& list, std::string_view name, std::string_view resource = {});

enum class ObjectType : unsigned { kServer = 0, kQueue = 1, kJob = 2 };

struct Request {
  RequestType type = RequestType::kConnect;
  std::string user;
  std::string id;           // job id or object name; for a status: empty means all
  std::string destination;  // QueueJob, MoveJob
  Attributes attributes;
  unsigned command = 0;                  // manage form: 1 delete, 2 set
  unsigned object = 2;                   // ObjectType
  std::uint64_t sequence = 0, kind = 0;  // of a piece of a script
  std::string script;                    // its bytes
  std::string signal;
  std::int64_t status = 0;  // exit status, JobObit
  std::string extension;
  bool operator==(const Request&) const = default;
};

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
  kNoRoom = 15046  // resources temporarily not available: a node rejects an attempt
};

// A short text for the user; empty for kNone.
[[nodiscard]] const char* Describe(Code code);

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

struct StatusObject {
  ObjectType type = ObjectType::kJob;
  std::string name;
  Attributes attributes;
  bool operator==(const StatusObject&) const = default;
};

struct Reply {
  Code code = Code::kNone;
  std::int64_t auxiliary = 0;
  Choice choice = Choice::kNull;
  std::string text;  // id, text or destination, by choice
  std::vector<std::string> ids;
  std::vector<StatusObject> objects;
  bool operator==(const Reply&) const = default;
};

// Append one message to `out`.
void Encode(const Request& request, std::string* out);
void Encode(const Reply& reply, std::string* out);

enum class DecodeErrorCode : std::uint8_t {
  kMalformed,           // `expected` was expected at byte `offset`
  kTooLarge,            // it states more than `max_bytes`
  kUnknownRequestType,  // well-formed up to its type, `request_type`
};

struct DecodeError {
  DecodeErrorCode code = DecodeErrorCode::kMalformed;
  std::string expected;
  std::size_t offset = 0;
  std::size_t max_bytes = 0;
  std::uint64_t request_type = 0;
};

// What was expected, to be put behind the word "expected".
[[nodiscard]] std::string Describe(const DecodeError& error);

struct DecodeResult {
  DisState state = DisState::kMore;
  std::size_t used = 0;   // kOk: bytes of this message
  std::size_t needs = 1;  // kMore: least length worth trying again
  DecodeError error;      // kBad
};

// Read one message from the front of `bytes`. The message is set for kOk alone.
[[nodiscard]] DecodeResult Decode(std::string_view bytes, Request* request);
[[nodiscard]] DecodeResult Decode(std::string_view bytes, Reply* reply);

}  // namespace mountflow::pbs_protocol

#endif  // MOUNTFLOW_PBS_PROTOCOL_PROTOCOL_HPP_
