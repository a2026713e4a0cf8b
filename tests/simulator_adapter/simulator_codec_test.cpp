// Tests the codec of the simulator's protocol: decoding events, encoding actions, and the errors for
// malformed input.
#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "simulator_adapter/decoder.hpp"
#include "simulator_adapter/encoder.hpp"
#include "tests/support/little_endian_bytes.hpp"

namespace mountflow::simulator_adapter {
namespace {

using Bytes = testing::LittleEndianBytes;

struct DecodedEvent {
  InstanceId instance;
  WireEvent event;
};

std::vector<DecodedEvent> Decode(Decoder* decoder, const Bytes& bytes, Micros* now) {
  std::vector<DecodedEvent> decoded_events;
  const auto decoded = decoder->Decode(bytes.Body(), now, [&](InstanceId instance, WireEvent& event) {
    decoded_events.push_back({instance, event});
  });
  EXPECT_TRUE(decoded) << Describe(decoded.error());
  return decoded_events;
}

template <typename T>
T OnlyEvent(const Bytes& records) {
  Decoder decoder;
  Micros now = 0;
  Bytes batch;
  batch.U64(9).U8(140).U16(3).Raw(records.Text());
  const auto decoded_events = Decode(&decoder, batch, &now);
  EXPECT_EQ(decoded_events.size(), 1u);
  EXPECT_EQ(decoded_events.at(0).instance, 3);
  return std::get<T>(std::get<Event>(decoded_events.at(0).event.body));
}

Bytes& PutEntry(Bytes& bytes, std::uint32_t node, unsigned state) {
  return bytes.U16(4).U32(node).U8(1).U64(777).F32(1.0f).U16(2).U8(state).F32(3.5f).F32(-2.0f);
}

TEST(SimulatorDecoder, ReadsClockOfEmptyBatch) {
  Decoder decoder;
  Micros now = 0;
  EXPECT_TRUE(Decode(&decoder, Bytes().U64(123456789), &now).empty());
  EXPECT_EQ(now, 123456789u);
}

TEST(SimulatorDecoder, ReadsStartAndStopOfInstance) {
  Decoder decoder;
  Micros now = 0;
  Bytes bytes;
  bytes.U64(1).U8(140).U16(5).U8(10).U64(42).U32(4).Raw("a=1\n").U8(100);
  const auto decoded_events = Decode(&decoder, bytes, &now);
  ASSERT_EQ(decoded_events.size(), 2u);
  const auto& start = std::get<StartInstance>(decoded_events[0].event.body);
  EXPECT_EQ(start.seed, 42u);
  EXPECT_EQ(start.settings, "a=1\n");
  EXPECT_TRUE(std::holds_alternative<StopInstance>(decoded_events[1].event.body));
}

TEST(SimulatorDecoder, ReadsNodeListsInOrderOfEvents) {
  Decoder decoder;
  Micros now = 0;
  Bytes bytes;
  bytes.U64(1).U8(140).U16(5);
  bytes.U8(130).U16(15).U32(2);
  PutEntry(bytes, 10, 1);
  PutEntry(bytes, 11, 2);
  bytes.U8(20).U8(1).U32(9).U16(15);
  bytes.U8(130).U16(15).U32(1);  // the list number is reused
  PutEntry(bytes, 12, 0);
  bytes.U8(20).U8(0).U32(10).U16(15);
  bytes.U8(20).U8(3).U32(0).U16(999);  // a failed call, whose list number has no meaning
  const auto decoded_events = Decode(&decoder, bytes, &now);
  ASSERT_EQ(decoded_events.size(), 3u);
  const auto update = [&](std::size_t i) {
    return std::get<NodeListUpdate>(std::get<Event>(decoded_events[i].event.body));
  };
  EXPECT_EQ(update(0).kind, NodeListKind::kSnapshot);
  ASSERT_EQ(update(0).nodes.size(), 2u);
  const NodeEntry entry = update(0).nodes[0];
  EXPECT_EQ(entry.node, 10u);
  EXPECT_EQ(entry.rack, 4u);
  EXPECT_EQ(entry.kind, 1u);
  EXPECT_EQ(entry.started_at, 777u);
  EXPECT_EQ(entry.zone, 2u);
  EXPECT_EQ(entry.state, NodeState::kReady);
  EXPECT_DOUBLE_EQ(entry.free_cores, 3.5);
  EXPECT_DOUBLE_EQ(entry.free_memory, -2.0);
  EXPECT_EQ(update(0).nodes[1].state, NodeState::kDraining);
  EXPECT_EQ(update(1).kind, NodeListKind::kDelta);
  ASSERT_EQ(update(1).nodes.size(), 1u);
  EXPECT_EQ(update(1).nodes[0].state, NodeState::kGone);
  EXPECT_EQ(update(2).kind, NodeListKind::kUnavailable);
  EXPECT_TRUE(update(2).nodes.empty());
}

TEST(SimulatorDecoder, KeepsNodeListsForLaterBatches) {
  Decoder decoder;
  Micros now = 0;
  Bytes list;
  list.U64(1).U8(130).U16(3).U32(1);
  PutEntry(list, 10, 1);
  EXPECT_TRUE(Decode(&decoder, list, &now).empty());
  const auto decoded_events =
      Decode(&decoder, Bytes().U64(2).U8(140).U16(5).U8(20).U8(1).U32(9).U16(3), &now);
  ASSERT_EQ(decoded_events.size(), 1u);
  EXPECT_EQ(std::get<NodeListUpdate>(std::get<Event>(decoded_events[0].event.body)).nodes.size(), 1u);
}

TEST(SimulatorDecoder, ReadsSubmittedTask) {
  Bytes bytes;
  bytes.U8(30).U32(7).U32(12000).U16(1).U64(5000).U16(2).F32(1.5f).U64(99).F32(2.5f).U64(88).U8(1);
  const Task task = OnlyEvent<TaskSubmitted>(bytes).task;
  EXPECT_EQ(task.request, 7u);
  EXPECT_EQ(task.task_class, 1u);
  EXPECT_EQ(task.deadline, 5000u);
  EXPECT_EQ(task.tenant, 2u);
  EXPECT_DOUBLE_EQ(task.cores, 1.5);
  EXPECT_EQ(task.key, 99u);
  EXPECT_DOUBLE_EQ(task.memory, 2.5);
  EXPECT_EQ(task.service, 88u);
}

TEST(SimulatorDecoder, ReadsRecoveredTask) {
  Bytes bytes;
  bytes.U8(110).U32(7).U64(5000).U64(99).U16(2).F32(1.5f).U16(1).U64(88).U8(0).U32(55).U32(1).F32(2.5f);
  const auto recovered = OnlyEvent<TaskRecovered>(bytes);
  EXPECT_EQ(recovered.task.request, 7u);
  EXPECT_EQ(recovered.task.deadline, 5000u);
  EXPECT_EQ(recovered.task.key, 99u);
  EXPECT_EQ(recovered.task.tenant, 2u);
  EXPECT_DOUBLE_EQ(recovered.task.cores, 1.5);
  EXPECT_EQ(recovered.task.task_class, 1u);
  EXPECT_EQ(recovered.task.service, 88u);
  EXPECT_EQ(recovered.node, 55u);
  EXPECT_DOUBLE_EQ(recovered.task.memory, 2.5);
}

TEST(SimulatorDecoder, ReadsStartProgressCancelAndTimer) {
  const auto started = OnlyEvent<TaskStarted>(Bytes().U8(40).U32(7).U16(2).U32(300).U32(55));
  EXPECT_EQ(started.request, 7u);
  EXPECT_EQ(started.attempt, 2u);
  EXPECT_EQ(started.elapsed, 300u);
  EXPECT_EQ(started.node, 55u);
  const auto progress = OnlyEvent<TaskProgress>(Bytes().U8(120).U32(7).U16(2).U32(55).U8(4).F32(0.5f));
  EXPECT_EQ(progress.kind, ProgressKind::kServed);
  EXPECT_EQ(progress.node, 55u);
  EXPECT_DOUBLE_EQ(progress.value, 0.5);
  EXPECT_EQ(OnlyEvent<TaskCancelled>(Bytes().U8(60).U32(7)).request, 7u);
  EXPECT_EQ(OnlyEvent<TimerFired>(Bytes().U8(70).U64(1u << 20)).token, 1u << 20);
}

TEST(SimulatorDecoder, ReadsEachAttemptResult) {
  const std::vector<std::pair<unsigned, AttemptResult>> all = {
      {200, AttemptResult::kCompleted}, {502, AttemptResult::kError},       {429, AttemptResult::kRejected},
      {408, AttemptResult::kTimedOut},  {521, AttemptResult::kUnreachable}, {520, AttemptResult::kLost},
      {444, AttemptResult::kCancelled}, {409, AttemptResult::kNotSent}};
  for (const auto& [status, result] : all) {
    Bytes bytes;
    bytes.U8(50).U32(7).U32(300).U16(1).U8(1).U16(status).U32(5).U32(55).U8(0);
    const auto ended = OnlyEvent<AttemptEnded>(bytes);
    EXPECT_EQ(ended.result, result);
    EXPECT_EQ(ended.reason, RejectionReason::kEvicted);
    EXPECT_EQ(ended.attempt, 1u);
    EXPECT_EQ(ended.node, 55u);
    EXPECT_EQ(ended.elapsed, 300u);
    EXPECT_TRUE(ended.request_closed);
  }
}

TEST(SimulatorDecoder, KeepsOrderOfValuesInLoadReports) {
  Decoder decoder;
  Micros now = 0;
  Bytes bytes;
  bytes.U64(1).U8(140).U16(0);
  bytes.U8(50).U32(7).U32(300).U16(1).U8(0).U16(200).U32(0).U32(55).U8(2).F32(1.0f).F32(2.0f);
  bytes.U8(80).U32(55).U16(200).U32(10).U8(1).F32(3.0f);
  bytes.U8(80).U32(55).U16(408).U32(10).U8(0);
  const auto decoded_events = Decode(&decoder, bytes, &now);
  ASSERT_EQ(decoded_events.size(), 3u);
  EXPECT_EQ(decoded_events[0].event.report, (RawReport{1.0f, 2.0f}));
  EXPECT_EQ(decoded_events[1].event.report, RawReport{3.0f});
  EXPECT_TRUE(std::get<HealthCheckResult>(std::get<Event>(decoded_events[1].event.body)).answered);
  EXPECT_FALSE(std::get<HealthCheckResult>(std::get<Event>(decoded_events[2].event.body)).answered);
}

TEST(SimulatorDecoder, SkipsMessagesOfPeers) {
  Decoder decoder;
  Micros now = 0;
  Bytes bytes;
  bytes.U64(1).U8(140).U16(0).U8(90).U16(1).U16(2).Raw("hi").U8(60).U32(4);
  EXPECT_EQ(Decode(&decoder, bytes, &now).size(), 1u);
}

TEST(SimulatorDecoder, SkipsUnknownKindsOfProgress) {
  Decoder decoder;
  Micros now = 0;
  for (const unsigned kind : {0u, 6u}) {
    Bytes bytes;
    bytes.U64(1).U8(140).U16(0).U8(120).U32(7).U16(2).U32(55).U8(kind).F32(0.5f).U8(60).U32(4);
    EXPECT_EQ(Decode(&decoder, bytes, &now).size(), 1u) << kind;
  }
}

// ---- Malformed input ----

WireError ErrorOf(const Bytes& bytes) {
  Decoder decoder;
  Micros now = 0;
  const auto decoded = decoder.Decode(bytes.Body(), &now, [](InstanceId, WireEvent&) {});
  return decoded ? WireError{} : decoded.error();
}

std::string ErrorTextOf(const Bytes& bytes) {
  const WireError error = ErrorOf(bytes);
  return error.expected.empty() ? "" : Describe(error);
}

TEST(SimulatorDecoder, NamesOffsetAndExpectationOfMalformedRecord) {
  EXPECT_NE(ErrorTextOf(Bytes().U8(1)).find("offset 4: expected the clock"), std::string::npos);
  EXPECT_NE(ErrorTextOf(Bytes().U64(1).U8(99)).find("offset 13"), std::string::npos);
  EXPECT_NE(ErrorTextOf(Bytes().U64(1).U8(140).U16(0).U8(99)).find("known record code"), std::string::npos);
  EXPECT_NE(ErrorTextOf(Bytes().U64(1).U8(60).U32(1)).find("an On record"), std::string::npos);
  EXPECT_NE(ErrorTextOf(Bytes().U64(1).U8(130).U16(0).U32(0xffffffffu)).find("list entries"),
            std::string::npos);
  EXPECT_NE(ErrorTextOf(Bytes().U64(1).U8(130).U16(16).U32(0)).find("0 to 15"), std::string::npos);
  EXPECT_NE(ErrorTextOf(Bytes().U64(1).U8(140).U16(0).U8(10).U64(1).U32(0xfffffff0u)).find("the settings"),
            std::string::npos);
  EXPECT_NE(ErrorTextOf(Bytes().U64(1).U8(140).U16(0).U8(80).U32(1).U16(777)).find("known outcome"),
            std::string::npos);
}

TEST(SimulatorDecoder, HasTypedErrors) {
  const WireError truncated = ErrorOf(Bytes().U64(1).U8(140).U8(5));
  EXPECT_EQ(truncated.code, WireErrorCode::kTruncated);
  EXPECT_EQ(truncated.offset, 13u);
  EXPECT_EQ(truncated.expected, "an instance (2 bytes)");
  EXPECT_EQ(truncated.got, "1 bytes");
  const WireError unknown = ErrorOf(Bytes().U64(1).U8(140).U16(0).U8(99));
  EXPECT_EQ(unknown.code, WireErrorCode::kUnknownValue);
  EXPECT_EQ(unknown.offset, 16u);
  EXPECT_EQ(unknown.got, "99");
  EXPECT_EQ(ErrorOf(Bytes().U64(1).U8(60).U32(1)).code, WireErrorCode::kNoInstance);
  EXPECT_EQ(ErrorOf(Bytes().U64(1).U8(140).U16(0).U8(20).U8(4).U32(1).U16(0)).code,
            WireErrorCode::kUnknownValue);
  Bytes entry;
  PutEntry(entry.U64(1).U8(130).U16(0).U32(1), 10, 3);
  EXPECT_NE(ErrorTextOf(entry).find("expected a state of 0 to 2"), std::string::npos);
}

TEST(SimulatorDecoder, PassesOnEventsBeforeErrorAndNoneAfter) {
  Decoder decoder;
  Micros now = 0;
  int events = 0;
  const Bytes bytes = Bytes().U64(1).U8(140).U16(0).U8(60).U32(4).U8(99).U8(60).U32(5);
  const auto decoded = decoder.Decode(bytes.Body(), &now, [&](InstanceId, WireEvent&) { ++events; });
  EXPECT_FALSE(decoded);
  EXPECT_EQ(events, 1);
}

TEST(SimulatorDecoder, ReportsErrorForEveryTruncationOfEveryRecord) {
  const std::vector<std::pair<unsigned, std::size_t>> records = {{10, 12}, {20, 7},   {30, 45}, {40, 14},
                                                                 {50, 22}, {60, 4},   {70, 8},  {80, 11},
                                                                 {90, 4},  {110, 49}, {120, 15}};
  for (const auto& [code, size] : records) {
    for (std::size_t cut = 0; cut < size; ++cut) {
      Bytes bytes;
      bytes.U64(1).U8(140).U16(0).U8(code).Raw(std::string(cut, '\0'));
      EXPECT_NE(ErrorTextOf(bytes), "") << "code " << code << " cut at " << cut;
    }
  }
}

// ---- Actions ----

TEST(SimulatorEncoder, WritesEveryAction) {
  Encoder encoder;
  encoder.AddAction(3, StartAttempt{7, 0, 55, 1000});
  encoder.AddAction(3, CancelAttempt{7, 2});
  encoder.AddAction(3, RejectTask{8, 250});
  encoder.AddAction(3, FailTask{9});
  encoder.AddAction(3, MigrateTask{10});
  encoder.AddAction(4, SetTimer{2000, 1});
  encoder.AddAction(4, StartHealthCheck{55});
  encoder.AddAction(4, WatchNodes{});
  encoder.AddAction(4, ListNodes{});
  encoder.AddAction(4, LogLine{"hi"});
  encoder.AddPanic(4, "no");
  Bytes records;
  records.U8(110).U16(3).U8(20).U32(7).U64(1000).U32(55).U8(90).U32(7).U16(2).U8(140).U32(8).U32(250);
  records.U8(120).U32(9).U8(80).U32(10).U8(110).U16(4).U8(50).U64(2000).U64(1).U8(100).U32(55);
  records.U8(40).U8(1).U8(30).U8(60).U16(2).Raw("hi").U8(10).U16(2).Raw("no");
  Bytes expected;
  expected.U32(13).Raw(records.Text());
  EXPECT_EQ(encoder.Frame(), expected.Frame());
}

TEST(SimulatorEncoder, BoundsRetryAfterAndTexts) {
  Encoder encoder;
  encoder.AddAction(3, RejectTask{8, ~Micros{0}});
  encoder.AddPanic(3, std::string(70'000, 'x'));
  Bytes expected;
  expected.U32(3)
      .U8(110)
      .U16(3)
      .U8(140)
      .U32(8)
      .U32(0xffffffffu)
      .U8(10)
      .U16(65535)
      .Raw(std::string(65535, 'x'));
  EXPECT_EQ(encoder.Frame(), expected.Frame());
}

}  // namespace
}  // namespace mountflow::simulator_adapter
