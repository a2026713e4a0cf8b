// Errors in the attributes of a client's request.
#ifndef MOUNTFLOW_PBS_SERVER_ATTRIBUTE_ERROR_HPP_
#define MOUNTFLOW_PBS_SERVER_ATTRIBUTE_ERROR_HPP_

#include <cstdint>
#include <string>

#include "pbs_protocol/protocol.hpp"

namespace mountflow::pbs_server {

// The reason for which an attribute, or the queue of a submission, is rejected.
struct AttributeError {
  enum class Code : std::uint8_t {
    kInvalidValue,       // `value` is not of the form that `expected` describes
    kNoQueueNamed,       // the request names no queue, and there is no default queue
    kUnknownQueue,       // the deployment has no queue named `value`
    kFixedAtSubmission,  // the attribute cannot be altered after submission
    kStatusOnly,         // the attribute appears in status replies only and cannot be set
    kUnknownResource,    // `resource` is not a known resource of Resource_List
    kUnknownAttribute,
  };
  Code code = Code::kInvalidValue;
  std::string name;      // attribute name
  std::string resource;  // empty if the attribute has no resource
  std::string value;
  std::string expected;  // description of a valid value, for kInvalidValue
};
// Returns the text of the reply. For kInvalidValue it states the attribute, the expected form and the value.
[[nodiscard]] std::string Describe(const AttributeError& error);
// Returns the code of the reply.
[[nodiscard]] pbs_protocol::Code ReplyCodeOf(AttributeError::Code code);

}  // namespace mountflow::pbs_server

#endif  // MOUNTFLOW_PBS_SERVER_ATTRIBUTE_ERROR_HPP_
