#include "pbs_protocol/message_parts.hpp"

#include <cstdint>
#include <utility>

namespace mountflow::pbs_protocol {
namespace {

constexpr std::uint64_t kProtocolType = 2;
constexpr std::uint64_t kWrittenVersion = 1;
constexpr std::uint64_t kCompatibleVersion = 2;  // accepted from peers, never written

// Returns the size that the encoded attribute states: the length of each of its strings plus one byte each.
std::size_t StatedSize(const Attribute& attribute, bool has_resource) {
  const std::size_t size = attribute.name.size() + 1 + attribute.value.size() + 1;
  return has_resource ? size + attribute.resource.size() + 1 : size;
}

void WriteAttribute(const Attribute& attribute, DisWriter* writer) {
  const bool has_resource = !attribute.resource.empty();
  writer->Unsigned(StatedSize(attribute, has_resource));
  writer->Text(attribute.name);
  writer->Unsigned(has_resource ? 1 : 0);
  if (has_resource) writer->Text(attribute.resource);
  writer->Text(attribute.value);
  writer->Unsigned(static_cast<unsigned>(attribute.op));
}

// The result is valid only if `reader->ok()` afterwards.
Attribute ReadAttribute(DisReader* reader) {
  Attribute attribute;
  const std::uint64_t stated_size = reader->Unsigned();
  attribute.name = reader->Text(kMaxNameBytes);
  const std::uint64_t has_resource = reader->Unsigned();
  if (reader->ok() && has_resource > 1) reader->Fail("0 or 1 before a resource");
  if (has_resource == 1) attribute.resource = reader->Text(kMaxNameBytes);
  attribute.value = reader->Text(kMaxValueBytes);
  const std::uint64_t operation = reader->Unsigned();
  if (!reader->ok()) return attribute;
  if (operation > static_cast<unsigned>(Op::kLt)) {
    reader->Fail("an operator of 0 to 9");
  } else if (stated_size != StatedSize(attribute, has_resource == 1)) {
    reader->Fail("an attribute of its stated size");
  }
  attribute.op = static_cast<Op>(operation);
  return attribute;
}

}  // namespace

void WriteHeader(DisWriter* writer) {
  writer->Unsigned(kProtocolType);
  writer->Unsigned(kWrittenVersion);
}

void ReadHeader(DisReader* reader) {
  const std::uint64_t type = reader->Unsigned();
  if (reader->ok() && type != kProtocolType) reader->Fail("protocol type 2");
  const std::uint64_t version = reader->Unsigned();
  if (!reader->ok()) return;
  if (version != kWrittenVersion && version != kCompatibleVersion) reader->Fail("protocol version 1 or 2");
}

void WriteAttributes(const Attributes& list, DisWriter* writer) {
  writer->Unsigned(list.size());
  for (const Attribute& attribute : list) WriteAttribute(attribute, writer);
}

void ReadAttributes(DisReader* reader, Attributes* list) {
  const std::uint64_t count = reader->Unsigned();
  if (!reader->ok()) return;
  if (count > kMaxAttributes) {
    reader->Fail("an attribute list of at most 256");
    return;
  }
  for (std::uint64_t i = 0; i < count; ++i) {
    Attribute attribute = ReadAttribute(reader);
    if (!reader->ok()) return;
    list->push_back(std::move(attribute));
  }
}

DecodeResult MakeDecodeResult(const DisReader& reader, std::size_t max_bytes) {
  DecodeResult result;
  result.state = reader.state();
  result.used = reader.at();
  result.needs = reader.needs();
  if (result.state == DisState::kMore && result.needs > max_bytes) {
    result.state = DisState::kBad;
    result.error.code = DecodeErrorCode::kTooLarge;
    result.error.max_bytes = max_bytes;
  } else if (result.state == DisState::kBad) {
    result.error.code = DecodeErrorCode::kMalformed;
    result.error.expected = reader.expected();
    result.error.offset = reader.at();
  }
  return result;
}

}  // namespace mountflow::pbs_protocol
