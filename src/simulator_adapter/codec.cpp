#include "simulator_adapter/codec.hpp"

#include <algorithm>
#include <bit>
#include <cstring>
#include <type_traits>
#include <utility>

namespace mountflow::simulator_adapter {
namespace {

static_assert(std::endian::native == std::endian::little, "the wire is little-endian");

// Record codes of events and of actions: two spaces of their own.
enum EventCode : std::uint8_t {
  kProvision = 10,
  kFleet = 20,
  kPending = 30,
  kTaken = 40,
  kAnswer = 50,
  kLapsed = 60,
  kDue = 70,
  kCheckResult = 80,
  kNoteFrom = 90,
  kKill = 100,
  kExisting = 110,
  kNote = 120,
  kLedger = 130,
  kOn = 140,
};
enum ActionCode : std::uint8_t {
  kPanic = 10,
  kClaimRoom = 20,
  kListAll = 30,
  kKeepInformed = 40,
  kSleep = 50,
  kJournalLine = 60,
  kPlaceAgain = 80,
  kStopAttempt = 90,
  kInspect = 100,
  kOnBehalf = 110,
  kGiveUp = 120,
  kTurnAway = 140,
};
constexpr std::size_t kEntryBytes = 30;

}  // namespace

void Decoder::Reader::Fail(const std::string& expected) const {
  throw WireError("offset " + std::to_string(At()) + ": expected " + expected);
}

template <typename T>
T Decoder::Reader::Get(const char* what) {
  T value;
  const auto from = Bytes(sizeof value, what);
  std::memcpy(&value, from.data(), sizeof value);
  return value;
}

template std::uint64_t Decoder::Reader::Get<std::uint64_t>(const char*);

std::span<const std::uint8_t> Decoder::Reader::Bytes(std::size_t count, const char* what) {
  if (count > Left()) {
    Fail(std::string(what) + " (" + std::to_string(count) + " bytes), but " + std::to_string(Left()) +
         " are left");
  }
  const auto result = bytes_.subspan(at_, count);
  at_ += count;
  return result;
}

bool Decoder::Next(Reader* reader, WireEvent* event) {
  const auto u8 = [&](const char* what) { return reader->Get<std::uint8_t>(what); };
  const auto u16 = [&](const char* what) { return reader->Get<std::uint16_t>(what); };
  const auto u32 = [&](const char* what) { return reader->Get<std::uint32_t>(what); };
  const auto u64 = [&](const char* what) { return reader->Get<std::uint64_t>(what); };
  const auto f32 = [&](const char* what) { return static_cast<double>(reader->Get<float>(what)); };
  const auto report = [&] {
    const std::size_t count = u8("the length of a load report");
    const auto bytes = reader->Bytes(count * sizeof(float), "a load report");
    event->report.resize(count);
    if (count > 0) std::memcpy(event->report.data(), bytes.data(), bytes.size());
  };
  const auto ending = [&]() -> AttemptResult {
    switch (const std::uint16_t status = u16("an outcome")) {
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
        reader->Fail("a known outcome before this offset, got " + std::to_string(status));
    }
  };

  const std::uint8_t code = u8("a record code");
  if (code == kOn) {
    instance_ = u16("an instance");
    named_ = true;
    return false;
  }
  if (code == kLedger) {
    const std::uint16_t page = u16("a list number");
    if (page >= kPages) reader->Fail("a list number of 0 to 15 before this offset");
    const std::size_t count = u32("the length of a list");
    if (count > reader->Left() / kEntryBytes) reader->Fail(std::to_string(count) + " list entries");
    std::vector<NodeEntry> entries(count);
    for (NodeEntry& entry : entries) {
      entry.rack = u16("a cell");
      entry.node = u32("a machine");
      entry.kind = u8("a kind");
      entry.started_at = u64("a start time");
      f32("a capacity");
      entry.zone = u16("a zone");
      const std::uint8_t state = u8("a state");
      if (state > 2) reader->Fail("a state of 0 to 2 before this offset");
      entry.state = state == 1 ? NodeState::kReady : state == 2 ? NodeState::kDraining : NodeState::kGone;
      entry.free_cores = f32("free cores");
      entry.free_memory = f32("free memory");
    }
    pages_[page] = std::move(entries);
    return false;
  }
  if (!named_) reader->Fail("an On record before this event (code " + std::to_string(code) + ")");
  switch (code) {
    case kProvision: {
      StartInstance start;
      start.seed = u64("a seed");
      const std::size_t count = u32("the length of the settings");
      const auto bytes = reader->Bytes(count, "the settings");
      start.settings.assign(bytes.begin(), bytes.end());
      event->body = std::move(start);
      return true;
    }
    case kKill:
      event->body = StopInstance{};
      return true;
    case kFleet: {
      NodeListUpdate view;
      const std::uint8_t mode = u8("a list mode");
      if (mode > 3) reader->Fail("a list mode of 0 to 3 before this offset");
      view.kind = static_cast<NodeListKind>(mode);
      u32("a list version");
      const std::uint16_t page = u16("a list number");
      if (view.kind != NodeListKind::kUnavailable) {
        if (page >= kPages) reader->Fail("a list number of 0 to 15 before this offset");
        view.nodes = pages_[page];
      }
      event->body = Event(std::move(view));
      return true;
    }
    case kPending: {
      Task task;
      task.request = u32("a request");
      u32("a run time");
      task.task_class = u16("a class");
      task.deadline = u64("a deadline");
      task.tenant = u16("a tenant");
      task.cores = f32("cores");
      task.key = u64("a task");
      task.memory = f32("memory");
      task.service = u64("a service");
      u8("state bits");
      event->body = Event(TaskSubmitted{task});
      return true;
    }
    case kExisting: {
      TaskRecovered running;
      Task& task = running.task;
      task.request = u32("a request");
      task.deadline = u64("a deadline");
      task.key = u64("a task");
      task.tenant = u16("a tenant");
      task.cores = f32("cores");
      task.task_class = u16("a class");
      task.service = u64("a service");
      u8("state bits");
      running.node = u32("a machine");
      u32("a run time");
      task.memory = f32("memory");
      event->body = Event(running);
      return true;
    }
    case kTaken: {
      TaskStarted placed;
      placed.request = u32("a request");
      placed.attempt = u16("an attempt");
      placed.elapsed = u32("a time");
      placed.node = u32("a machine");
      event->body = Event(placed);
      return true;
    }
    case kNote: {
      TaskProgress note;
      note.request = u32("a request");
      note.attempt = u16("an attempt");
      note.node = u32("a machine");
      const std::uint8_t kind = u8("a kind of note");
      note.value = f32("a value");
      if (kind < 1 || kind > 5) return false;  // a later kind of news: skipped
      note.kind = static_cast<ProgressKind>(kind);
      event->body = Event(note);
      return true;
    }
    case kAnswer: {
      AttemptEnded outcome;
      outcome.request = u32("a request");
      outcome.elapsed = u32("a time");
      outcome.attempt = u16("an attempt");
      outcome.request_closed = u8("a flag") != 0;
      outcome.result = ending();
      const std::uint32_t cause = u32("a cause");
      outcome.reason = cause <= 7 ? static_cast<RejectionReason>(cause) : RejectionReason::kUnspecified;
      outcome.node = u32("a machine");
      report();
      event->body = Event(std::move(outcome));
      return true;
    }
    case kLapsed:
      event->body = Event(TaskCancelled{u32("a request")});
      return true;
    case kDue:
      event->body = Event(TimerFired{u64("a token")});
      return true;
    case kCheckResult: {
      HealthCheckResult result;
      result.node = u32("a machine");
      result.answered = ending() == AttemptResult::kCompleted;
      result.elapsed = u32("a time");
      report();
      event->body = Event(std::move(result));
      return true;
    }
    case kNoteFrom: {  // peers tell nothing that the decisions use
      u16("a peer");
      reader->Bytes(u16("the length of a message"), "a message");
      return false;
    }
    default:
      reader->Fail("a known record code before this offset, got " + std::to_string(code));
  }
}

template <typename T>
void Encoder::Put(T value) {
  char bytes[sizeof value];
  std::memcpy(bytes, &value, sizeof value);
  records_.append(bytes, sizeof value);
}

void Encoder::Text(std::string_view text) {
  text = text.substr(0, 65535);
  Put(static_cast<std::uint16_t>(text.size()));
  records_.append(text);
}

void Encoder::Open(Instance instance, std::uint8_t code) {
  if (!named_ || instance_ != instance) {
    Put(static_cast<std::uint8_t>(kOnBehalf));
    Put(instance);
    ++count_;
    instance_ = instance;
    named_ = true;
  }
  Put(code);
  ++count_;
}

void Encoder::Panic(Instance instance, std::string_view message) {
  Open(instance, kPanic);
  Text(message);
}

void Encoder::Act(Instance instance, const Action& action) {
  const auto write = [&](const auto& a) {
    using A = std::decay_t<decltype(a)>;
    if constexpr (std::is_same_v<A, StartAttempt>) {
      Open(instance, kClaimRoom);
      Put(a.request);
      Put(static_cast<std::uint64_t>(a.deadline));
      Put(a.node);
    } else if constexpr (std::is_same_v<A, CancelAttempt>) {
      Open(instance, kStopAttempt);
      Put(a.request);
      Put(static_cast<std::uint16_t>(a.attempt));
    } else if constexpr (std::is_same_v<A, RejectTask>) {
      Open(instance, kTurnAway);
      Put(a.request);
      Put(static_cast<std::uint32_t>(std::min<Micros>(a.retry_after, UINT32_MAX)));
    } else if constexpr (std::is_same_v<A, FailTask>) {
      Open(instance, kGiveUp);
      Put(a.request);
    } else if constexpr (std::is_same_v<A, MigrateTask>) {
      Open(instance, kPlaceAgain);
      Put(a.request);
    } else if constexpr (std::is_same_v<A, SetTimer>) {
      Open(instance, kSleep);
      Put(static_cast<std::uint64_t>(a.at));
      Put(a.token);
    } else if constexpr (std::is_same_v<A, StartHealthCheck>) {
      Open(instance, kInspect);
      Put(a.node);
    } else if constexpr (std::is_same_v<A, WatchNodes>) {
      Open(instance, kKeepInformed);
      Put(static_cast<std::uint8_t>(1));
    } else if constexpr (std::is_same_v<A, ListNodes>) {
      Open(instance, kListAll);
    } else {
      static_assert(std::is_same_v<A, LogLine>);
      Open(instance, kJournalLine);
      Text(a.text);
    }
  };
  std::visit(write, action);
}

std::string Encoder::Frame() const {
  std::string frame(8, '\0');
  const std::uint32_t length = static_cast<std::uint32_t>(records_.size() + 4);
  std::memcpy(frame.data(), &length, 4);
  std::memcpy(frame.data() + 4, &count_, 4);
  return frame + records_;
}

}  // namespace mountflow::simulator_adapter
