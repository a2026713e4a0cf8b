#include "pbs/protocol.hpp"

namespace mountflow::pbs {
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

void Encode(const Request& r, std::string* out) {
  DisWriter to(out);
  to.Unsigned(kProtocolType);
  to.Unsigned(kVersion);
  to.Unsigned(static_cast<unsigned>(r.type));
  to.Text(r.user);
  switch (r.type) {
    case RequestType::kConnect:
    case RequestType::kDisconnect:
      break;
    case RequestType::kQueueJob:
      to.Text(r.id);
      to.Text(r.destination);
      PutAttributes(r.attributes, &to);
      break;
    case RequestType::kJobScript:
      to.Unsigned(r.sequence);
      to.Unsigned(r.kind);
      to.Unsigned(r.script.size());
      to.Text(r.id);
      to.Text(r.script);
      break;
    case RequestType::kReadyToCommit:
    case RequestType::kCommit:
    case RequestType::kRerunJob:
      to.Text(r.id);
      break;
    case RequestType::kDeleteJob:
    case RequestType::kHoldJob:
    case RequestType::kModifyJob:
    case RequestType::kReleaseJob:
      to.Unsigned(r.command);
      to.Unsigned(r.object);
      to.Text(r.id);
      PutAttributes(r.attributes, &to);
      break;
    case RequestType::kMoveJob:
      to.Text(r.id);
      to.Text(r.destination);
      break;
    case RequestType::kSelectJobs:
      PutAttributes(r.attributes, &to);
      break;
    case RequestType::kSignalJob:
      to.Text(r.id);
      to.Text(r.signal);
      break;
    case RequestType::kStatusJob:
    case RequestType::kStatusQueue:
    case RequestType::kStatusServer:
      to.Text(r.id);
      PutAttributes(r.attributes, &to);
      break;
    case RequestType::kJobObit:
      to.Text(r.id);
      to.Signed(r.status);
      PutAttributes(r.attributes, &to);
      break;
  }
  if (r.extension.empty()) {
    to.Unsigned(0);
  } else {
    to.Unsigned(1);
    to.Text(r.extension);
  }
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
  switch (r.type) {
    case RequestType::kConnect:
    case RequestType::kDisconnect:
      break;
    case RequestType::kQueueJob:
      r.id = from.Text(kMostName);
      r.destination = from.Text(kMostName);
      TakeAttributes(&from, &r.attributes);
      break;
    case RequestType::kJobScript: {
      r.sequence = from.Unsigned();
      r.kind = from.Unsigned();
      const std::uint64_t size = from.Unsigned();
      r.id = from.Text(kMostName);
      r.script = from.Text(kMostPiece);
      if (from.ok() && size != r.script.size()) from.Fail("a piece of its stated size");
      break;
    }
    case RequestType::kReadyToCommit:
    case RequestType::kCommit:
    case RequestType::kRerunJob:
      r.id = from.Text(kMostName);
      break;
    case RequestType::kDeleteJob:
    case RequestType::kHoldJob:
    case RequestType::kModifyJob:
    case RequestType::kReleaseJob: {
      const std::uint64_t command = from.Unsigned();
      const std::uint64_t object = from.Unsigned();
      if (from.ok() && (command > 100 || object > 100)) from.Fail("a command and an object type");
      r.command = static_cast<unsigned>(command);
      r.object = static_cast<unsigned>(object);
      r.id = from.Text(kMostName);
      TakeAttributes(&from, &r.attributes);
      break;
    }
    case RequestType::kMoveJob:
      r.id = from.Text(kMostName);
      r.destination = from.Text(kMostName);
      break;
    case RequestType::kSelectJobs:
      TakeAttributes(&from, &r.attributes);
      break;
    case RequestType::kSignalJob:
      r.id = from.Text(kMostName);
      r.signal = from.Text(kMostName);
      break;
    case RequestType::kStatusJob:
    case RequestType::kStatusQueue:
    case RequestType::kStatusServer:
      r.id = from.Text(kMostName);
      TakeAttributes(&from, &r.attributes);
      break;
    case RequestType::kJobObit:
      r.id = from.Text(kMostName);
      r.status = from.Signed();
      TakeAttributes(&from, &r.attributes);
      break;
    default: {
      // Its length is not known, so nothing behind it can be read: answered, then closed.
      Parsed result;
      result.state = DisState::kBad;
      result.unknown = true;
      result.expected = "a known request type, got " + std::to_string(type);
      return result;
    }
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

}  // namespace mountflow::pbs
