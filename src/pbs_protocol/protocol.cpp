#include "pbs_protocol/protocol.hpp"

namespace mountflow::pbs_protocol {
namespace {

constexpr std::uint64_t kProtocolType = 2, kVersion = 1, kVersionAlso = 2;

void PutAttributes(const Attributes& list, DisWriter* to) {
  to->Unsigned(list.size());
  for (const Attribute& a : list) {
    std::size_t size = a.name.size() + 1 + a.value.size() + 1;
    if (!a.resource.empty()) size += a.resource.size() + 1;
    to->Unsigned(size);
    to->Text(a.name);
    if (a.resource.empty()) {
      to->Unsigned(0);
    } else {
      to->Unsigned(1);
      to->Text(a.resource);
    }
    to->Text(a.value);
    to->Unsigned(static_cast<unsigned>(a.op));
  }
}

void TakeAttributes(DisReader* from, Attributes* list) {
  const std::uint64_t count = from->Unsigned();
  if (!from->ok()) return;
  if (count > kMostAttributes) return from->Fail("an attribute list of at most 256");
  for (std::uint64_t i = 0; i < count && from->ok(); ++i) {
    const std::uint64_t size = from->Unsigned();
    Attribute a;
    a.name = from->Text(kMostName);
    const std::uint64_t has_resource = from->Unsigned();
    if (from->ok() && has_resource > 1) return from->Fail("0 or 1 before a resource");
    if (has_resource == 1) a.resource = from->Text(kMostName);
    a.value = from->Text(kMostValue);
    const std::uint64_t op = from->Unsigned();
    if (!from->ok()) return;
    if (op > static_cast<unsigned>(Op::kLt)) return from->Fail("an operator of 0 to 9");
    const std::size_t real =
        a.name.size() + 1 + a.value.size() + 1 + (has_resource == 1 ? a.resource.size() + 1 : 0);
    if (size != real) return from->Fail("an attribute of its stated size");
    a.op = static_cast<Op>(op);
    list->push_back(std::move(a));
  }
}

bool TakeHead(DisReader* from) {
  if (from->Unsigned() != kProtocolType && from->ok()) from->Fail("protocol type 2");
  const std::uint64_t version = from->Unsigned();
  if (from->ok() && version != kVersion && version != kVersionAlso) from->Fail("protocol version 1 or 2");
  return from->ok();
}

Parsed Finish(const DisReader& from, std::size_t most) {
  Parsed result;
  result.state = from.state();
  result.used = from.at();
  result.needs = from.needs();
  if (result.state == DisState::kMore && result.needs > most) {
    result.state = DisState::kBad;
    result.expected = "a message of at most " + std::to_string(most) + " bytes";
  } else if (result.state == DisState::kBad) {
    result.expected = std::string(from.what()) + " at byte " + std::to_string(from.at());
  }
  return result;
}

}  // namespace

const Attribute* Find(const Attributes& list, std::string_view name, std::string_view resource) {
  for (const Attribute& a : list) {
    if (a.name == name && a.resource == resource) return &a;
  }
  return nullptr;
}

std::string_view ValueOf(const Attributes& list, std::string_view name, std::string_view resource) {
  const Attribute* found = Find(list, name, resource);
  return found != nullptr ? std::string_view(found->value) : std::string_view{};
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

namespace {

// Writes the parts of a request's body.
struct BodyWriter {
  DisWriter* to;
  void Text(const std::string& text, std::size_t) { to->Text(text); }
  template <typename Number>
  void Count(const Number& number, std::uint64_t = 0) {
    to->Unsigned(number);
  }
  void Signed(const std::int64_t& number) { to->Signed(number); }
  void List(const Attributes& list) { PutAttributes(list, to); }
  void Size(const std::string& of) { to->Unsigned(of.size()); }
  void SameSize(const std::string&) {}
};

// Reads them.
struct BodyReader {
  DisReader* from;
  std::uint64_t size = 0;
  void Text(std::string& text, std::size_t most) { text = from->Text(most); }
  template <typename Number>
  void Count(Number& number, std::uint64_t most = ~std::uint64_t{0}) {
    const std::uint64_t read = from->Unsigned();
    if (from->ok() && read > most) from->Fail("a number within its bound");
    number = static_cast<Number>(read);
  }
  void Signed(std::int64_t& number) { number = from->Signed(); }
  void List(Attributes& list) { TakeAttributes(from, &list); }
  void Size(const std::string&) { size = from->Unsigned(); }
  void SameSize(const std::string& of) {
    if (from->ok() && size != of.size()) from->Fail("a piece of its stated size");
  }
};

// The body of each request, once for both directions. False: a type that we do not know.
template <typename Codec, typename R>
bool Body(Codec codec, R& r) {
  switch (r.type) {
    case RequestType::kConnect:
    case RequestType::kDisconnect:
      return true;
    case RequestType::kQueueJob:
      codec.Text(r.id, kMostName);
      codec.Text(r.destination, kMostName);
      codec.List(r.attributes);
      return true;
    case RequestType::kJobScript:
      codec.Count(r.sequence);
      codec.Count(r.kind);
      codec.Size(r.script);
      codec.Text(r.id, kMostName);
      codec.Text(r.script, kMostPiece);
      codec.SameSize(r.script);
      return true;
    case RequestType::kReadyToCommit:
    case RequestType::kCommit:
    case RequestType::kRerunJob:
      codec.Text(r.id, kMostName);
      return true;
    case RequestType::kDeleteJob:
    case RequestType::kHoldJob:
    case RequestType::kModifyJob:
    case RequestType::kReleaseJob:
      codec.Count(r.command, 100);
      codec.Count(r.object, 100);
      codec.Text(r.id, kMostName);
      codec.List(r.attributes);
      return true;
    case RequestType::kMoveJob:
      codec.Text(r.id, kMostName);
      codec.Text(r.destination, kMostName);
      return true;
    case RequestType::kSelectJobs:
      codec.List(r.attributes);
      return true;
    case RequestType::kSignalJob:
      codec.Text(r.id, kMostName);
      codec.Text(r.signal, kMostName);
      return true;
    case RequestType::kStatusJob:
    case RequestType::kStatusQueue:
    case RequestType::kStatusServer:
      codec.Text(r.id, kMostName);
      codec.List(r.attributes);
      return true;
    case RequestType::kJobObit:
      codec.Text(r.id, kMostName);
      codec.Signed(r.status);
      codec.List(r.attributes);
      return true;
  }
  return false;
}

}  // namespace

void Encode(const Request& r, std::string* out) {
  DisWriter to(out);
  to.Unsigned(kProtocolType);
  to.Unsigned(kVersion);
  to.Unsigned(static_cast<unsigned>(r.type));
  to.Text(r.user);
  Body(BodyWriter{&to}, r);
  to.Unsigned(r.extension.empty() ? 0 : 1);
  if (!r.extension.empty()) to.Text(r.extension);
}

Parsed Decode(std::string_view bytes, Request* request) {
  DisReader from(bytes);
  Request r;
  if (!TakeHead(&from)) return Finish(from, kMostRequest);
  const std::uint64_t type = from.Unsigned();
  if (from.ok() && type > 1000) from.Fail("a request type");
  r.type = static_cast<RequestType>(type);
  r.user = from.Text(kMostName);
  if (!from.ok()) return Finish(from, kMostRequest);
  if (!Body(BodyReader{&from}, r)) {
    // Its length is not known, so nothing behind it can be read: answered, then closed.
    Parsed result;
    result.state = DisState::kBad;
    result.unknown = true;
    result.expected = "a known request type, got " + std::to_string(type);
    return result;
  }
  const std::uint64_t extended = from.Unsigned();
  if (from.ok() && extended > 1) from.Fail("0 or 1 before the extension");
  if (extended == 1) r.extension = from.Text(kMostValue);
  Parsed result = Finish(from, kMostRequest);
  if (result.state == DisState::kOk) *request = std::move(r);
  return result;
}

void Encode(const Reply& r, std::string* out) {
  DisWriter to(out);
  to.Unsigned(kProtocolType);
  to.Unsigned(kVersion);
  to.Signed(static_cast<int>(r.code));
  to.Signed(r.auxiliary);
  to.Unsigned(static_cast<unsigned>(r.choice));
  switch (r.choice) {
    case Choice::kNull:
      break;
    case Choice::kQueued:
    case Choice::kReady:
    case Choice::kCommitted:
    case Choice::kText:
    case Choice::kLocate:
      to.Text(r.text);
      break;
    case Choice::kSelected:
      to.Unsigned(r.ids.size());
      for (const std::string& id : r.ids) to.Text(id);
      break;
    case Choice::kStatus:
      to.Unsigned(r.objects.size());
      for (const StatusObject& o : r.objects) {
        to.Unsigned(static_cast<unsigned>(o.type));
        to.Text(o.name);
        PutAttributes(o.attributes, &to);
      }
      break;
  }
}

Parsed Decode(std::string_view bytes, Reply* reply) {
  DisReader from(bytes);
  Reply r;
  if (!TakeHead(&from)) return Finish(from, kMostReply);
  const std::int64_t code = from.Signed();
  if (from.ok() && (code < 0 || code > 1'000'000)) from.Fail("a reply code");
  r.code = static_cast<Code>(code);
  r.auxiliary = from.Signed();
  const std::uint64_t choice = from.Unsigned();
  if (from.ok() && (choice < 1 || choice > 8)) from.Fail("a choice of 1 to 8");
  if (!from.ok()) return Finish(from, kMostReply);
  r.choice = static_cast<Choice>(choice);
  switch (r.choice) {
    case Choice::kNull:
      break;
    case Choice::kQueued:
    case Choice::kReady:
    case Choice::kCommitted:
    case Choice::kText:
    case Choice::kLocate:
      r.text = from.Text(kMostValue);
      break;
    case Choice::kSelected: {
      const std::uint64_t count = from.Unsigned();
      if (from.ok() && count > kMostObjects) from.Fail("a bounded count of ids");
      for (std::uint64_t i = 0; i < count && from.ok(); ++i) r.ids.emplace_back(from.Text(kMostName));
      break;
    }
    case Choice::kStatus: {
      const std::uint64_t count = from.Unsigned();
      if (from.ok() && count > kMostObjects) from.Fail("a bounded count of objects");
      for (std::uint64_t i = 0; i < count && from.ok(); ++i) {
        StatusObject o;
        const std::uint64_t type = from.Unsigned();
        if (from.ok() && type > 2) from.Fail("an object type of 0 to 2");
        o.type = static_cast<ObjectType>(type);
        o.name = from.Text(kMostName);
        TakeAttributes(&from, &o.attributes);
        if (from.ok()) r.objects.push_back(std::move(o));
      }
      break;
    }
  }
  Parsed result = Finish(from, kMostReply);
  if (result.state == DisState::kOk) *reply = std::move(r);
  return result;
}

}  // namespace mountflow::pbs_protocol
