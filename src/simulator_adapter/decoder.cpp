#include "simulator_adapter/decoder.hpp"

#include <cstring>
#include <utility>

#include "simulator_adapter/record_codes.hpp"

namespace mountflow::simulator_adapter {
namespace {

constexpr std::size_t kNodeEntryBytes = 30;
constexpr std::uint8_t kMaxListMode = 3;
constexpr std::uint8_t kMaxNodeState = 2;
constexpr std::uint32_t kMaxRejectionReason = 7;
constexpr std::uint8_t kMinProgressKind = 1;
constexpr std::uint8_t kMaxProgressKind = 5;

// ---- Fields ----

AttemptResult DecodeAttemptResult(RecordReader* reader) {
  const std::uint16_t status = reader->U16("an outcome");
  switch (status) {
    case 200:
      return AttemptResult::kCompleted;
    case 502:
      return AttemptResult::kError;
    case 429:
      return AttemptResult::kRejected;
    case 408:
      return AttemptResult::kTimedOut;
    case 521:
      return AttemptResult::kUnreachable;
    case 520:
      return AttemptResult::kLost;
    case 444:
      return AttemptResult::kCancelled;
    case 409:
      return AttemptResult::kNotSent;
    default:
      reader->Fail(WireErrorCode::kUnknownValue, "a known outcome before this offset",
                   std::to_string(status));
      return AttemptResult::kLost;
  }
}

RawReport DecodeReport(RecordReader* reader) {
  const std::size_t count = reader->U8("the length of a load report");
  const std::span<const std::uint8_t> bytes = reader->Bytes(count * sizeof(float), "a load report");
  RawReport report(bytes.size() / sizeof(float));
  if (!report.empty()) std::memcpy(report.data(), bytes.data(), bytes.size());
  return report;
}

NodeState DecodeNodeState(RecordReader* reader) {
  const std::uint8_t state = reader->U8("a state");
  if (state > kMaxNodeState) {
    reader->Fail(WireErrorCode::kUnknownValue, "a state of 0 to 2 before this offset", std::to_string(state));
  }
  if (state == 1) return NodeState::kReady;
  if (state == 2) return NodeState::kDraining;
  return NodeState::kGone;
}

NodeEntry DecodeNodeEntry(RecordReader* reader) {
  NodeEntry entry;
  entry.rack = reader->U16("a rack");
  entry.node = reader->U32("a node");
  entry.kind = reader->U8("a node kind");
  entry.started_at = reader->U64("a start time");
  reader->F32("a capacity");
  entry.zone = reader->U16("a zone");
  entry.state = DecodeNodeState(reader);
  entry.free_cores = reader->F32("free cores");
  entry.free_memory = reader->F32("free memory");
  return entry;
}

// ---- Records; each function reports whether the record is an event ----

using DecodeFunction = bool (*)(RecordReader* reader, WireEvent* event);

bool DecodeStartInstance(RecordReader* reader, WireEvent* event) {
  StartInstance start;
  start.seed = reader->U64("a seed");
  const std::size_t count = reader->U32("the length of the settings");
  const std::span<const std::uint8_t> text = reader->Bytes(count, "the settings");
  start.settings.assign(text.begin(), text.end());
  event->body = std::move(start);
  return true;
}

bool DecodeStopInstance(RecordReader*, WireEvent* event) {
  event->body = StopInstance{};
  return true;
}

bool DecodeTaskSubmitted(RecordReader* reader, WireEvent* event) {
  Task task;
  task.request = reader->U32("a request");
  reader->U32("a run time");
  task.task_class = reader->U16("a class");
  task.deadline = reader->U64("a deadline");
  task.tenant = reader->U16("a tenant");
  task.cores = reader->F32("cores");
  task.key = reader->U64("a task key");
  task.memory = reader->F32("memory");
  task.service = reader->U64("a service");
  reader->U8("state bits");
  event->body = Event(TaskSubmitted{task});
  return true;
}

bool DecodeTaskRecovered(RecordReader* reader, WireEvent* event) {
  TaskRecovered recovered;
  Task& task = recovered.task;
  task.request = reader->U32("a request");
  task.deadline = reader->U64("a deadline");
  task.key = reader->U64("a task key");
  task.tenant = reader->U16("a tenant");
  task.cores = reader->F32("cores");
  task.task_class = reader->U16("a class");
  task.service = reader->U64("a service");
  reader->U8("state bits");
  recovered.node = reader->U32("a node");
  reader->U32("a run time");
  task.memory = reader->F32("memory");
  event->body = Event(recovered);
  return true;
}

bool DecodeTaskStarted(RecordReader* reader, WireEvent* event) {
  TaskStarted started;
  started.request = reader->U32("a request");
  started.attempt = reader->U16("an attempt");
  started.elapsed = reader->U32("an elapsed time");
  started.node = reader->U32("a node");
  event->body = Event(started);
  return true;
}

// Skips unknown kinds of progress, which a later version of the protocol may add.
bool DecodeTaskProgress(RecordReader* reader, WireEvent* event) {
  TaskProgress progress;
  progress.request = reader->U32("a request");
  progress.attempt = reader->U16("an attempt");
  progress.node = reader->U32("a node");
  const std::uint8_t kind = reader->U8("a progress kind");
  progress.value = reader->F32("a progress value");
  if (kind < kMinProgressKind || kind > kMaxProgressKind) return false;
  progress.kind = static_cast<ProgressKind>(kind);
  event->body = Event(progress);
  return true;
}

bool DecodeAttemptEnded(RecordReader* reader, WireEvent* event) {
  AttemptEnded ended;
  ended.request = reader->U32("a request");
  ended.elapsed = reader->U32("an elapsed time");
  ended.attempt = reader->U16("an attempt");
  ended.request_closed = reader->U8("a request-closed flag") != 0;
  ended.result = DecodeAttemptResult(reader);
  const std::uint32_t reason = reader->U32("a rejection reason");
  ended.reason =
      reason <= kMaxRejectionReason ? static_cast<RejectionReason>(reason) : RejectionReason::kUnspecified;
  ended.node = reader->U32("a node");
  event->report = DecodeReport(reader);
  event->body = Event(ended);
  return true;
}

bool DecodeTaskCancelled(RecordReader* reader, WireEvent* event) {
  event->body = Event(TaskCancelled{reader->U32("a request")});
  return true;
}

bool DecodeTimerFired(RecordReader* reader, WireEvent* event) {
  event->body = Event(TimerFired{reader->U64("a timer token")});
  return true;
}

bool DecodeHealthCheckResult(RecordReader* reader, WireEvent* event) {
  HealthCheckResult result;
  result.node = reader->U32("a node");
  result.answered = DecodeAttemptResult(reader) == AttemptResult::kCompleted;
  result.elapsed = reader->U32("an elapsed time");
  event->report = DecodeReport(reader);
  event->body = Event(result);
  return true;
}

// Skips a message from a peer, because the scheduler does not use them.
bool SkipPeerMessage(RecordReader* reader, WireEvent*) {
  reader->U16("a peer");
  const std::size_t count = reader->U16("the length of a message");
  reader->Bytes(count, "a message");
  return false;
}

// The records that are decoded without the state of the Decoder. The most frequent come first, because the
// table is searched linearly.
struct RecordType {
  EventCode code;
  DecodeFunction decode;
};
constexpr RecordType kRecordTypes[] = {
    {EventCode::kTaskSubmitted, DecodeTaskSubmitted},
    {EventCode::kAttemptEnded, DecodeAttemptEnded},
    {EventCode::kTaskStarted, DecodeTaskStarted},
    {EventCode::kTimerFired, DecodeTimerFired},
    {EventCode::kTaskProgress, DecodeTaskProgress},
    {EventCode::kTaskCancelled, DecodeTaskCancelled},
    {EventCode::kHealthCheckResult, DecodeHealthCheckResult},
    {EventCode::kTaskRecovered, DecodeTaskRecovered},
    {EventCode::kPeerMessage, SkipPeerMessage},
    {EventCode::kStartInstance, DecodeStartInstance},
    {EventCode::kStopInstance, DecodeStopInstance},
};

DecodeFunction FindDecodeFunction(EventCode code) {
  for (const RecordType& type : kRecordTypes) {
    if (type.code == code) return type.decode;
  }
  return nullptr;
}

}  // namespace

bool Decoder::DecodeRecord(RecordReader* reader, WireEvent* event) {
  const std::uint8_t byte = reader->U8("a record code");
  const auto code = static_cast<EventCode>(byte);
  if (code == EventCode::kSelectInstance) {
    SelectInstance(reader);
    return false;
  }
  if (code == EventCode::kNodeList) {
    StoreNodeList(reader);
    return false;
  }
  if (!instance_selected_) {
    reader->Fail(WireErrorCode::kNoInstance, "an On record before this event",
                 "code " + std::to_string(byte));
    return false;
  }
  if (code == EventCode::kNodeListUpdate) {
    event->body = Event(DecodeNodeListUpdate(reader));
    return !reader->error();
  }
  const DecodeFunction decode = FindDecodeFunction(code);
  if (decode == nullptr) {
    reader->Fail(WireErrorCode::kUnknownValue, "a known record code before this offset",
                 std::to_string(byte));
    return false;
  }
  return decode(reader, event) && !reader->error();
}

void Decoder::SelectInstance(RecordReader* reader) {
  instance_ = reader->U16("an instance");
  instance_selected_ = true;
}

void Decoder::StoreNodeList(RecordReader* reader) {
  const std::uint16_t number = reader->U16("a list number");
  if (number >= kNodeLists) {
    reader->Fail(WireErrorCode::kUnknownValue, "a list number of 0 to 15 before this offset",
                 std::to_string(number));
  }
  const std::size_t count = reader->U32("the length of a list");
  // The stated length is checked before memory is allocated for the list, because the input may be malformed.
  if (count > reader->remaining() / kNodeEntryBytes) {
    reader->Fail(WireErrorCode::kTruncated, std::to_string(count) + " list entries",
                 std::to_string(reader->remaining()) + " bytes");
  }
  if (reader->error()) return;
  std::vector<NodeEntry> entries(count);
  for (NodeEntry& entry : entries) entry = DecodeNodeEntry(reader);
  if (!reader->error()) node_lists_[number] = std::move(entries);
}

NodeListUpdate Decoder::DecodeNodeListUpdate(RecordReader* reader) const {
  NodeListUpdate update;
  const std::uint8_t mode = reader->U8("a list mode");
  if (mode > kMaxListMode) {
    reader->Fail(WireErrorCode::kUnknownValue, "a list mode of 0 to 3 before this offset",
                 std::to_string(mode));
    return update;
  }
  update.kind = static_cast<NodeListKind>(mode);
  reader->U32("a list version");
  const std::uint16_t number = reader->U16("a list number");
  if (update.kind == NodeListKind::kUnavailable) return update;  // the list number has no meaning
  if (number >= kNodeLists) {
    reader->Fail(WireErrorCode::kUnknownValue, "a list number of 0 to 15 before this offset",
                 std::to_string(number));
    return update;
  }
  update.nodes = node_lists_[number];
  return update;
}

}  // namespace mountflow::simulator_adapter
