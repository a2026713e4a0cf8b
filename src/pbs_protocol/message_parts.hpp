// Encoding of the parts that requests and replies have in common. Internal to the package.
#ifndef MOUNTFLOW_PBS_PROTOCOL_MESSAGE_PARTS_HPP_
#define MOUNTFLOW_PBS_PROTOCOL_MESSAGE_PARTS_HPP_

#include <cstddef>

#include "pbs_protocol/dis.hpp"
#include "pbs_protocol/protocol.hpp"

namespace mountflow::pbs_protocol {

// Write and read the protocol type and version at the start of each message.
void WriteHeader(DisWriter* writer);
void ReadHeader(DisReader* reader);

void WriteAttributes(const Attributes& list, DisWriter* writer);
// Reads an attribute list and appends its entries to `list`.
void ReadAttributes(DisReader* reader, Attributes* list);

// Returns the result of decoding one message. `reader` has read the message to its end or to the first error.
// A message that needs more than `max_bytes` is an error (kTooLarge).
[[nodiscard]] DecodeResult MakeDecodeResult(const DisReader& reader, std::size_t max_bytes);

}  // namespace mountflow::pbs_protocol

#endif  // MOUNTFLOW_PBS_PROTOCOL_MESSAGE_PARTS_HPP_
