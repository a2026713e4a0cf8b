#include "discovery/decode_error.hpp"

namespace mountflow::discovery {

std::string Describe(const DecodeError& error) {
  using Code = DecodeError::Code;
  switch (error.code) {
    case Code::kEntryTooLong:
      return "an entry of at most " + std::to_string(error.limit) + " bytes";
    case Code::kNotAnObject:
      return "a JSON object";
    case Code::kInvalidString:
      return error.field + ": a string of at most " + std::to_string(error.limit) + " bytes";
    case Code::kInvalidNumber:
      return error.field + ": a number";
    case Code::kInvalidStart:
      return "started: microseconds since the epoch";
    case Code::kInvalidState:
      return "state: one of ready, draining, gone";
    case Code::kNotAKeyList:
      return "a JSON list of keys";
    case Code::kNoKey:
      return "entries with a Key";
    case Code::kInvalidBase64Value:
      return "a Value in base64";
    case Code::kNotAnInstanceList:
      return "an array of service instances";
    case Code::kMissingServiceId:
      return "instances with a Service and its ID";
    case Code::kInvalidRange:
      return "a range reply with a revision";
    case Code::kInvalidPairList:
      return "kvs as a list";
    case Code::kInvalidBase64Pair:
      return "keys and values in base64";
    case Code::kInvalidWatchMessage:
      return error.detail ? "a watch message, got error: " + *error.detail : "a watch message";
    case Code::kInvalidEventList:
      return "events as a list";
    case Code::kInvalidBase64Event:
      return "events with a kv in base64";
    case Code::kUnsupportedVersion:
      return "a view of version 1";
    case Code::kLengthMismatch:
      return "a whole view of its stated length";
    case Code::kChecksumMismatch:
      return "a view of its stated checksum";
    case Code::kInvalidNodeList:
      return "a list of nodes";
  }
  return "";
}

}  // namespace mountflow::discovery
