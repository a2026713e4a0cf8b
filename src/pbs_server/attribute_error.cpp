#include "pbs_server/attribute_error.hpp"

#include <cstddef>

namespace mountflow::pbs_server {
namespace {

constexpr std::size_t kMaxQuotedBytes = 80;  // limit for text from a client's request

std::string Quote(const std::string& text) { return "'" + text.substr(0, kMaxQuotedBytes) + "'"; }

}  // namespace

std::string Describe(const AttributeError& error) {
  using Code = AttributeError::Code;
  switch (error.code) {
    case Code::kInvalidValue:
      break;
    case Code::kNoQueueNamed:
      return "no queue named, and there is no default queue";
    case Code::kUnknownQueue:
      return "unknown queue " + Quote(error.value);
    case Code::kFixedAtSubmission:
      return error.name + ": stands from the submission on";
    case Code::kStatusOnly:
      return error.name + ": is shown, not set";
    case Code::kUnknownResource:
      return error.name + "." + error.resource.substr(0, kMaxQuotedBytes) +
             ": expected one of ncpus, mem, walltime";
    case Code::kUnknownAttribute:
      return "unknown attribute " + Quote(error.name);
  }
  const std::string resource = error.resource.empty() ? "" : "." + error.resource;
  return error.name + resource + ": expected " + error.expected + ", got " + Quote(error.value);
}

pbs_protocol::Code ReplyCodeOf(AttributeError::Code code) {
  switch (code) {
    case AttributeError::Code::kInvalidValue:
      break;
    case AttributeError::Code::kNoQueueNamed:
    case AttributeError::Code::kUnknownQueue:
      return pbs_protocol::Code::kUnknownQueue;
    case AttributeError::Code::kFixedAtSubmission:
    case AttributeError::Code::kStatusOnly:
      return pbs_protocol::Code::kReadOnly;
    case AttributeError::Code::kUnknownResource:
    case AttributeError::Code::kUnknownAttribute:
      return pbs_protocol::Code::kNoAttribute;
  }
  return pbs_protocol::Code::kBadValue;
}

}  // namespace mountflow::pbs_server
