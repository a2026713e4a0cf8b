// Encoding and decoding of requests.
#include <cstdint>
#include <limits>
#include <string>
#include <utility>

#include "pbs_protocol/message_parts.hpp"
#include "pbs_protocol/protocol.hpp"

namespace mountflow::pbs_protocol {
namespace {

constexpr std::uint64_t kMaxRequestType = 1000;  // a larger number is malformed input, not an unknown request
constexpr std::uint64_t kMaxManageNumber = 100;  // largest command or object type in a Manage request

// Encodes the fields of a request body. Has the same functions as BodyReader, so that ProcessBody can use
// either.
struct BodyWriter {
  DisWriter* writer;

  void Text(const std::string& text, std::size_t /*max_bytes*/) { writer->Text(text); }
  template <typename Number>
  void Count(const Number& number, std::uint64_t /*max*/ = 0) {
    writer->Unsigned(number);
  }
  void Signed(const std::int64_t& number) { writer->Signed(number); }
  void List(const Attributes& list) { WriteAttributes(list, writer); }
  void Size(const std::string& text) { writer->Unsigned(text.size()); }
  void CheckSize(const std::string& /*text*/) {}
};

// Decodes the fields of a request body.
struct BodyReader {
  DisReader* reader;
  std::uint64_t stated_size = 0;

  void Text(std::string& text, std::size_t max_bytes) { text = reader->Text(max_bytes); }
  template <typename Number>
  void Count(Number& number, std::uint64_t max = std::numeric_limits<std::uint64_t>::max()) {
    const std::uint64_t value = reader->Unsigned();
    if (reader->ok() && value > max) reader->Fail("a number within its bound");
    number = static_cast<Number>(value);
  }
  void Signed(std::int64_t& number) { number = reader->Signed(); }
  void List(Attributes& list) { ReadAttributes(reader, &list); }
  void Size(const std::string& /*text*/) { stated_size = reader->Unsigned(); }
  void CheckSize(const std::string& text) {
    if (reader->ok() && stated_size != text.size()) reader->Fail("a piece of its stated size");
  }
};

// Encodes or decodes the body of a request, depending on `codec`. Returns false if the request type is
// unknown.
template <typename Codec, typename AnyRequest>
bool ProcessBody(Codec codec, AnyRequest& request) {
  switch (request.type) {
    case RequestType::kConnect:
    case RequestType::kDisconnect:
      return true;
    case RequestType::kQueueJob:
      codec.Text(request.id, kMaxNameBytes);
      codec.Text(request.destination, kMaxNameBytes);
      codec.List(request.attributes);
      return true;
    case RequestType::kJobScript:
      codec.Count(request.sequence);
      codec.Count(request.kind);
      codec.Size(request.script);
      codec.Text(request.id, kMaxNameBytes);
      codec.Text(request.script, kMaxScriptChunkBytes);
      codec.CheckSize(request.script);
      return true;
    case RequestType::kReadyToCommit:
    case RequestType::kCommit:
    case RequestType::kRerunJob:
      codec.Text(request.id, kMaxNameBytes);
      return true;
    case RequestType::kDeleteJob:
    case RequestType::kHoldJob:
    case RequestType::kModifyJob:
    case RequestType::kReleaseJob:
      codec.Count(request.command, kMaxManageNumber);
      codec.Count(request.object, kMaxManageNumber);
      codec.Text(request.id, kMaxNameBytes);
      codec.List(request.attributes);
      return true;
    case RequestType::kMoveJob:
      codec.Text(request.id, kMaxNameBytes);
      codec.Text(request.destination, kMaxNameBytes);
      return true;
    case RequestType::kSelectJobs:
      codec.List(request.attributes);
      return true;
    case RequestType::kSignalJob:
      codec.Text(request.id, kMaxNameBytes);
      codec.Text(request.signal, kMaxNameBytes);
      return true;
    case RequestType::kStatusJob:
    case RequestType::kStatusQueue:
    case RequestType::kStatusServer:
      codec.Text(request.id, kMaxNameBytes);
      codec.List(request.attributes);
      return true;
    case RequestType::kJobObit:
      codec.Text(request.id, kMaxNameBytes);
      codec.Signed(request.status);
      codec.List(request.attributes);
      return true;
  }
  return false;
}

DecodeResult UnknownRequestType(std::uint64_t type) {
  DecodeResult result;
  result.state = DisState::kBad;
  result.error.code = DecodeErrorCode::kUnknownRequestType;
  result.error.request_type = type;
  return result;
}

}  // namespace

void Encode(const Request& request, std::string* out) {
  DisWriter writer(out);
  WriteHeader(&writer);
  writer.Unsigned(static_cast<unsigned>(request.type));
  writer.Text(request.user);
  ProcessBody(BodyWriter{&writer}, request);
  writer.Unsigned(request.extension.empty() ? 0 : 1);
  if (!request.extension.empty()) writer.Text(request.extension);
}

DecodeResult Decode(std::string_view bytes, Request* request) {
  DisReader reader(bytes);
  ReadHeader(&reader);
  const std::uint64_t type = reader.Unsigned();
  if (reader.ok() && type > kMaxRequestType) reader.Fail("a request type");
  Request decoded;
  decoded.type = static_cast<RequestType>(type);
  decoded.user = reader.Text(kMaxNameBytes);
  if (!reader.ok()) return MakeDecodeResult(reader, kMaxRequestBytes);
  // The length of a request of unknown type is unknown, so the input after it cannot be decoded.
  if (!ProcessBody(BodyReader{&reader}, decoded)) return UnknownRequestType(type);
  const std::uint64_t has_extension = reader.Unsigned();
  if (reader.ok() && has_extension > 1) reader.Fail("0 or 1 before the extension");
  if (has_extension == 1) decoded.extension = reader.Text(kMaxValueBytes);
  DecodeResult result = MakeDecodeResult(reader, kMaxRequestBytes);
  if (result.state == DisState::kOk) *request = std::move(decoded);
  return result;
}

}  // namespace mountflow::pbs_protocol
