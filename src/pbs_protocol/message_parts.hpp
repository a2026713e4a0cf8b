// Parts that requests and replies have in common, as bytes. Internal to the package.
#ifndef MOUNTFLOW_PBS_PROTOCOL_MESSAGE_PARTS_HPP_
#define MOUNTFLOW_PBS_PROTOCOL_MESSAGE_PARTS_HPP_

#include <cstddef>

#include "pbs_protocol/dis.hpp"
#include "pbs_protocol/protocol.hpp"

namespace mountflow::pbs_protocol {

// The protocol type and version that begin each message.
void WriteHeader(DisWriter* writer);
void ReadHeader(DisReader* reader);

void WriteAttributes(const Attributes& list, DisWriter* writer);
// Appends to `list`.
void ReadAttributes(DisReader* reader, Attributes* list);

// The result of a message of at most `max_bytes` that `reader` has read up to its end or to its first error.
[[nodiscard]] DecodeResult Finish(const DisReader& reader, std::size_t max_bytes);

}  // namespace mountflow::pbs_protocol

#endif  // MOUNTFLOW_PBS_PROTOCOL_MESSAGE_PARTS_HPP_
