#include "pbs_protocol/protocol.hpp"

namespace mountflow::pbs_protocol {

const Attribute* Find(const Attributes& list, std::string_view name, std::string_view resource) {
  for (const Attribute& attribute : list) {
    if (attribute.name == name && attribute.resource == resource) return &attribute;
  }
  return nullptr;
}

std::string_view ValueOf(const Attributes& list, std::string_view name, std::string_view resource) {
  const Attribute* found = Find(list, name, resource);
  if (found == nullptr) return {};
  return found->value;
}

const char* Describe(Code code) {
  switch (code) {
    case Code::kNone:
      return "";
    case Code::kUnknownJob:
      return "Unknown Job Id";
    case Code::kNoAttribute:
      return "Undefined Attribute";
    case Code::kReadOnly:
      return "Cannot set attribute, read only or insufficient permission";
    case Code::kInvalid:
      return "Invalid request";
    case Code::kUnknownRequest:
      return "Unknown request";
    case Code::kTooMany:
      return "Too many submit retries";
    case Code::kPermission:
      return "Unauthorized Request";
    case Code::kExists:
      return "Job already exists";
    case Code::kSystem:
      return "System error occurred";
    case Code::kBadValue:
      return "Illegal attribute or resource value";
    case Code::kNotRunning:
      return "Request invalid for state of job: not running";
    case Code::kBadState:
      return "Request invalid for state of job";
    case Code::kUnknownQueue:
      return "Unknown queue";
    case Code::kProtocol:
      return "Protocol error";
    case Code::kNoRoom:
      return "Resources temporarily unavailable";
  }
  return "Unknown error";
}

std::string Describe(const DecodeError& error) {
  switch (error.code) {
    case DecodeErrorCode::kMalformed:
      return error.expected + " at byte " + std::to_string(error.offset);
    case DecodeErrorCode::kTooLarge:
      return "a message of at most " + std::to_string(error.max_bytes) + " bytes";
    case DecodeErrorCode::kUnknownRequestType:
      return "a known request type, got " + std::to_string(error.request_type);
  }
  return error.expected;
}

}  // namespace mountflow::pbs_protocol
