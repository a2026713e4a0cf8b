// Encoding and decoding of replies.
#include <cstdint>
#include <string>
#include <utility>

#include "pbs_protocol/message_parts.hpp"
#include "pbs_protocol/protocol.hpp"

namespace mountflow::pbs_protocol {
namespace {

constexpr std::int64_t kMaxCode = 1'000'000;
constexpr auto kFirstChoice = static_cast<std::uint64_t>(Choice::kNull);
constexpr auto kLastChoice = static_cast<std::uint64_t>(Choice::kLocate);
constexpr auto kLastObjectType = static_cast<std::uint64_t>(ObjectType::kJob);

void WriteObjects(const std::vector<StatusObject>& objects, DisWriter* writer) {
  writer->Unsigned(objects.size());
  for (const StatusObject& object : objects) {
    writer->Unsigned(static_cast<unsigned>(object.type));
    writer->Text(object.name);
    WriteAttributes(object.attributes, writer);
  }
}

void ReadObjects(DisReader* reader, std::vector<StatusObject>* objects) {
  const std::uint64_t count = reader->Unsigned();
  if (reader->ok() && count > kMaxObjects) reader->Fail("a bounded count of objects");
  for (std::uint64_t i = 0; i < count && reader->ok(); ++i) {
    StatusObject object;
    const std::uint64_t type = reader->Unsigned();
    if (reader->ok() && type > kLastObjectType) reader->Fail("an object type of 0 to 2");
    object.type = static_cast<ObjectType>(type);
    object.name = reader->Text(kMaxNameBytes);
    ReadAttributes(reader, &object.attributes);
    if (reader->ok()) objects->push_back(std::move(object));
  }
}

void ReadIds(DisReader* reader, std::vector<std::string>* ids) {
  const std::uint64_t count = reader->Unsigned();
  if (reader->ok() && count > kMaxObjects) reader->Fail("a bounded count of ids");
  for (std::uint64_t i = 0; i < count && reader->ok(); ++i) ids->emplace_back(reader->Text(kMaxNameBytes));
}

void ReadBody(DisReader* reader, Reply* reply) {
  switch (reply->choice) {
    case Choice::kNull:
      break;
    case Choice::kQueued:
    case Choice::kReady:
    case Choice::kCommitted:
    case Choice::kText:
    case Choice::kLocate:
      reply->text = reader->Text(kMaxValueBytes);
      break;
    case Choice::kSelected:
      ReadIds(reader, &reply->ids);
      break;
    case Choice::kStatus:
      ReadObjects(reader, &reply->objects);
      break;
  }
}

}  // namespace

void Encode(const Reply& reply, std::string* out) {
  DisWriter writer(out);
  WriteHeader(&writer);
  writer.Signed(static_cast<int>(reply.code));
  writer.Signed(reply.auxiliary);
  writer.Unsigned(static_cast<unsigned>(reply.choice));
  switch (reply.choice) {
    case Choice::kNull:
      break;
    case Choice::kQueued:
    case Choice::kReady:
    case Choice::kCommitted:
    case Choice::kText:
    case Choice::kLocate:
      writer.Text(reply.text);
      break;
    case Choice::kSelected:
      writer.Unsigned(reply.ids.size());
      for (const std::string& id : reply.ids) writer.Text(id);
      break;
    case Choice::kStatus:
      WriteObjects(reply.objects, &writer);
      break;
  }
}

DecodeResult Decode(std::string_view bytes, Reply* reply) {
  DisReader reader(bytes);
  ReadHeader(&reader);
  Reply decoded;
  const std::int64_t code = reader.Signed();
  if (reader.ok() && (code < 0 || code > kMaxCode)) reader.Fail("a reply code");
  decoded.code = static_cast<Code>(code);
  decoded.auxiliary = reader.Signed();
  const std::uint64_t choice = reader.Unsigned();
  if (reader.ok() && (choice < kFirstChoice || choice > kLastChoice)) reader.Fail("a choice of 1 to 8");
  if (!reader.ok()) return MakeDecodeResult(reader, kMaxReplyBytes);
  decoded.choice = static_cast<Choice>(choice);
  ReadBody(&reader, &decoded);
  DecodeResult result = MakeDecodeResult(reader, kMaxReplyBytes);
  if (result.state == DisState::kOk) *reply = std::move(decoded);
  return result;
}

}  // namespace mountflow::pbs_protocol
