#include <gtest/gtest.h>

#include <cstring>
#include <sstream>
#include <string>
#include <vector>

#include "settings/settings.hpp"
#include "simulator_adapter/codec.hpp"
#include "simulator_adapter/server.hpp"

namespace mountflow::simulator_adapter {
namespace {

// Writes little-endian bytes, the way the wire page lays a record out.
class Bytes {
 public:
  Bytes& U8(unsigned v) { return Put(static_cast<std::uint8_t>(v)); }
  Bytes& U16(unsigned v) { return Put(static_cast<std::uint16_t>(v)); }
  Bytes& U32(std::uint32_t v) { return Put(v); }
  Bytes& U64(std::uint64_t v) { return Put(v); }
  Bytes& F32(float v) { return Put(v); }
  Bytes& Raw(const std::string& s) {
    for (const char c : s) data_.push_back(static_cast<std::uint8_t>(c));
    return *this;
  }
  std::span<const std::uint8_t> Body() const { return data_; }
  std::string Frame() const {
    const auto length = static_cast<std::uint32_t>(data_.size());
    std::string frame(4, '\0');
    std::memcpy(frame.data(), &length, 4);
    for (const std::uint8_t byte : data_) frame.push_back(static_cast<char>(byte));
    return frame;
  }

 private:
  template <typename T>
  Bytes& Put(T v) {
    const auto* p = reinterpret_cast<const std::uint8_t*>(&v);
    for (std::size_t i = 0; i < sizeof v; ++i) data_.push_back(p[i]);
    return *this;
  }
  std::vector<std::uint8_t> data_;
};

struct Seen {
  Instance instance;
  WireEvent event;
};

std::vector<Seen> Decode(Decoder* decoder, const Bytes& bytes, Micros* now) {
  std::vector<Seen> seen;
  decoder->Decode(bytes.Body(), now, [&](Instance i, WireEvent& e) { seen.push_back({i, e}); });
  return seen;
}

template <typename T>
T OnlyEvent(const Bytes& records) {
  Decoder decoder;
  Micros now = 0;
  Bytes all;
  all.U64(9).U8(140).U16(3).Raw(
      std::string(reinterpret_cast<const char*>(records.Body().data()), records.Body().size()));
  const auto seen = Decode(&decoder, all, &now);
  EXPECT_EQ(seen.size(), 1u);
  EXPECT_EQ(seen.at(0).instance, 3);
  return std::get<T>(std::get<Event>(seen.at(0).event.body));
}

Bytes& PutEntry(Bytes& b, std::uint32_t machine, unsigned state) {
  return b.U16(4).U32(machine).U8(1).U64(777).F32(1.0f).U16(2).U8(state).F32(3.5f).F32(-2.0f);
}

TEST(Decode, EmptyBatch) {
  Decoder decoder;
  Micros now = 0;
  EXPECT_TRUE(Decode(&decoder, Bytes().U64(123456789), &now).empty());
  EXPECT_EQ(now, 123456789u);
}

TEST(Decode, ProvisionAndKill) {
  Decoder decoder;
  Micros now = 0;
  Bytes b;
  b.U64(1).U8(140).U16(5).U8(10).U64(42).U32(4).Raw("a=1\n").U8(100);
  const auto seen = Decode(&decoder, b, &now);
  ASSERT_EQ(seen.size(), 2u);
  const auto& start = std::get<StartInstance>(seen[0].event.body);
  EXPECT_EQ(start.seed, 42u);
  EXPECT_EQ(start.settings, "a=1\n");
  EXPECT_TRUE(std::holds_alternative<StopInstance>(seen[1].event.body));
}

TEST(Decode, LedgerAndFleetInEventOrder) {
  Decoder decoder;
  Micros now = 0;
  Bytes b;
  b.U64(1).U8(140).U16(5);
  b.U8(130).U16(15).U32(2);
  PutEntry(b, 10, 1);
  PutEntry(b, 11, 2);
  b.U8(20).U8(1).U32(9).U16(15);
  b.U8(130).U16(15).U32(1);  // the number is used anew
  PutEntry(b, 12, 0);
  b.U8(20).U8(0).U32(10).U16(15);
  b.U8(20).U8(3).U32(0).U16(999);  // a failed call: its list number means nothing
  const auto seen = Decode(&decoder, b, &now);
  ASSERT_EQ(seen.size(), 3u);
  const auto view = [&](std::size_t i) {
    return std::get<NodeListUpdate>(std::get<Event>(seen[i].event.body));
  };
  EXPECT_EQ(view(0).kind, NodeListKind::kSnapshot);
  ASSERT_EQ(view(0).nodes.size(), 2u);
  const NodeEntry e = view(0).nodes[0];
  EXPECT_EQ(e.node, 10u);
  EXPECT_EQ(e.rack, 4u);
  EXPECT_EQ(e.kind, 1u);
  EXPECT_EQ(e.started_at, 777u);
  EXPECT_EQ(e.zone, 2u);
  EXPECT_EQ(e.state, NodeState::kReady);
  EXPECT_DOUBLE_EQ(e.free_cores, 3.5);
  EXPECT_DOUBLE_EQ(e.free_memory, -2.0);
  EXPECT_EQ(view(0).nodes[1].state, NodeState::kDraining);
  EXPECT_EQ(view(1).kind, NodeListKind::kDelta);
  ASSERT_EQ(view(1).nodes.size(), 1u);
  EXPECT_EQ(view(1).nodes[0].state, NodeState::kGone);
  EXPECT_EQ(view(2).kind, NodeListKind::kUnavailable);
  EXPECT_TRUE(view(2).nodes.empty());
}

TEST(Decode, Pending) {
  Bytes b;
  b.U8(30).U32(7).U32(12000).U16(1).U64(5000).U16(2).F32(1.5f).U64(99).F32(2.5f).U64(88).U8(1);
  const Task t = OnlyEvent<TaskSubmitted>(b).task;
  EXPECT_EQ(t.request, 7u);
  EXPECT_EQ(t.task_class, 1u);
  EXPECT_EQ(t.deadline, 5000u);
  EXPECT_EQ(t.tenant, 2u);
  EXPECT_DOUBLE_EQ(t.cores, 1.5);
  EXPECT_EQ(t.key, 99u);
  EXPECT_DOUBLE_EQ(t.memory, 2.5);
  EXPECT_EQ(t.service, 88u);
}

TEST(Decode, Existing) {
  Bytes b;
  b.U8(110).U32(7).U64(5000).U64(99).U16(2).F32(1.5f).U16(1).U64(88).U8(0).U32(55).U32(1).F32(2.5f);
  const auto running = OnlyEvent<TaskRecovered>(b);
  EXPECT_EQ(running.task.request, 7u);
  EXPECT_EQ(running.task.deadline, 5000u);
  EXPECT_EQ(running.task.key, 99u);
  EXPECT_EQ(running.task.tenant, 2u);
  EXPECT_DOUBLE_EQ(running.task.cores, 1.5);
  EXPECT_EQ(running.task.task_class, 1u);
  EXPECT_EQ(running.task.service, 88u);
  EXPECT_EQ(running.node, 55u);
  EXPECT_DOUBLE_EQ(running.task.memory, 2.5);
}

TEST(Decode, TakenNoteLapsedDue) {
  const auto placed = OnlyEvent<TaskStarted>(Bytes().U8(40).U32(7).U16(2).U32(300).U32(55));
  EXPECT_EQ(placed.request, 7u);
  EXPECT_EQ(placed.attempt, 2u);
  EXPECT_EQ(placed.elapsed, 300u);
  EXPECT_EQ(placed.node, 55u);
  const auto note = OnlyEvent<TaskProgress>(Bytes().U8(120).U32(7).U16(2).U32(55).U8(4).F32(0.5f));
  EXPECT_EQ(note.kind, ProgressKind::kServed);
  EXPECT_EQ(note.node, 55u);
  EXPECT_DOUBLE_EQ(note.value, 0.5);
  EXPECT_EQ(OnlyEvent<TaskCancelled>(Bytes().U8(60).U32(7)).request, 7u);
  EXPECT_EQ(OnlyEvent<TimerFired>(Bytes().U8(70).U64(1u << 20)).token, 1u << 20);
}

TEST(Decode, AnswerOutcomes) {
  const std::vector<std::pair<unsigned, AttemptResult>> all = {
      {200, AttemptResult::kCompleted}, {502, AttemptResult::kError},       {429, AttemptResult::kRejected},
      {408, AttemptResult::kTimedOut},  {521, AttemptResult::kUnreachable}, {520, AttemptResult::kLost},
      {444, AttemptResult::kCancelled}, {409, AttemptResult::kNotSent}};
  for (const auto& [status, ending] : all) {
    Bytes b;
    b.U8(50).U32(7).U32(300).U16(1).U8(1).U16(status).U32(5).U32(55).U8(0);
    const auto outcome = OnlyEvent<AttemptEnded>(b);
    EXPECT_EQ(outcome.result, ending);
    EXPECT_EQ(outcome.reason, RejectionReason::kEvicted);
    EXPECT_EQ(outcome.attempt, 1u);
    EXPECT_EQ(outcome.node, 55u);
    EXPECT_EQ(outcome.elapsed, 300u);
    EXPECT_TRUE(outcome.request_closed);
  }
}

TEST(Decode, ReportsKeepTheirOrder) {
  Decoder decoder;
  Micros now = 0;
  Bytes b;
  b.U64(1).U8(140).U16(0);
  b.U8(50).U32(7).U32(300).U16(1).U8(0).U16(200).U32(0).U32(55).U8(2).F32(1.0f).F32(2.0f);
  b.U8(80).U32(55).U16(200).U32(10).U8(1).F32(3.0f);
  b.U8(80).U32(55).U16(408).U32(10).U8(0);
  const auto seen = Decode(&decoder, b, &now);
  ASSERT_EQ(seen.size(), 3u);
  EXPECT_EQ(seen[0].event.report, (RawReport{1.0f, 2.0f}));
  EXPECT_EQ(seen[1].event.report, RawReport{3.0f});
  EXPECT_TRUE(std::get<HealthCheckResult>(std::get<Event>(seen[1].event.body)).answered);
  EXPECT_FALSE(std::get<HealthCheckResult>(std::get<Event>(seen[2].event.body)).answered);
}

TEST(Decode, PeersAreSkipped) {
  Decoder decoder;
  Micros now = 0;
  Bytes b;
  b.U64(1).U8(140).U16(0).U8(90).U16(1).U16(2).Raw("hi").U8(60).U32(4);
  EXPECT_EQ(Decode(&decoder, b, &now).size(), 1u);
}

std::string ErrorOf(const Bytes& b) {
  Decoder decoder;
  Micros now = 0;
  try {
    Decode(&decoder, b, &now);
  } catch (const WireError& e) {
    return e.what();
  }
  return "";
}

TEST(Malformed, NamesOffsetAndExpectation) {
  EXPECT_NE(ErrorOf(Bytes().U8(1)).find("offset 4: expected the clock"), std::string::npos);
  EXPECT_NE(ErrorOf(Bytes().U64(1).U8(99)).find("offset 13"), std::string::npos);
  EXPECT_NE(ErrorOf(Bytes().U64(1).U8(140).U16(0).U8(99)).find("known record code"), std::string::npos);
  EXPECT_NE(ErrorOf(Bytes().U64(1).U8(60).U32(1)).find("an On record"), std::string::npos);
  EXPECT_NE(ErrorOf(Bytes().U64(1).U8(130).U16(0).U32(0xffffffffu)).find("list entries"), std::string::npos);
  EXPECT_NE(ErrorOf(Bytes().U64(1).U8(130).U16(16).U32(0)).find("0 to 15"), std::string::npos);
  EXPECT_NE(ErrorOf(Bytes().U64(1).U8(140).U16(0).U8(10).U64(1).U32(0xfffffff0u)).find("the settings"),
            std::string::npos);
  EXPECT_NE(ErrorOf(Bytes().U64(1).U8(140).U16(0).U8(80).U32(1).U16(777)).find("known outcome"),
            std::string::npos);
}

TEST(Malformed, EveryCutOfEveryRecordIsCaught) {
  const std::vector<std::pair<unsigned, std::size_t>> records = {{10, 12}, {20, 7},   {30, 45}, {40, 14},
                                                                 {50, 22}, {60, 4},   {70, 8},  {80, 11},
                                                                 {90, 4},  {110, 49}, {120, 15}};
  for (const auto& [code, size] : records) {
    for (std::size_t cut = 0; cut < size; ++cut) {
      Bytes b;
      b.U64(1).U8(140).U16(0).U8(code).Raw(std::string(cut, '\0'));
      EXPECT_NE(ErrorOf(b), "") << "code " << code << " cut at " << cut;
    }
  }
}

TEST(Encode, EveryAction) {
  Encoder encoder;
  encoder.Act(3, StartAttempt{7, 0, 55, 1000});
  encoder.Act(3, CancelAttempt{7, 2});
  encoder.Act(3, RejectTask{8, 250});
  encoder.Act(3, FailTask{9});
  encoder.Act(3, MigrateTask{10});
  encoder.Act(4, SetTimer{2000, 1});
  encoder.Act(4, StartHealthCheck{55});
  encoder.Act(4, WatchNodes{});
  encoder.Act(4, ListNodes{});
  encoder.Act(4, LogLine{"hi"});
  encoder.Panic(4, "no");
  Bytes records;
  records.U8(110).U16(3).U8(20).U32(7).U64(1000).U32(55).U8(90).U32(7).U16(2).U8(140).U32(8).U32(250);
  records.U8(120).U32(9).U8(80).U32(10).U8(110).U16(4).U8(50).U64(2000).U64(1).U8(100).U32(55);
  records.U8(40).U8(1).U8(30).U8(60).U16(2).Raw("hi").U8(10).U16(2).Raw("no");
  Bytes expected;
  expected.U32(13).Raw(
      std::string(reinterpret_cast<const char*>(records.Body().data()), records.Body().size()));
  EXPECT_EQ(encoder.Frame(), expected.Frame());
}

// ---- Settings ----

TEST(SettingsText, ReadsWhatTheModuleUses) {
  const auto read = settings::ParseSettings(
      "profiles.count=2\nprofiles.0.effect=keyed\nprofiles.0.key_scope=zone\nprofiles.0.window_us=5\n"
      "profiles.1.effect=safe\ndomain.spread_by=silent,cell\ndomain.together_max=2,3\n"
      "domain.kind_cores=35,59\ndomain.mem_of_kind=52.0,116.0\ngroup_size=3\nself_index=2\ndiscovery=ask\n"
      "domain.ack=accepted\nbounds.max_attempts=4\nsome.later.key=x y\nstats.names=x0,x1,pending\n");
  const Settings& s = read.settings;
  ASSERT_EQ(s.classes.size(), 2u);
  EXPECT_EQ(s.classes[0].idempotency, Idempotency::kWithKey);
  EXPECT_EQ(s.classes[0].deduplication_scope, DeduplicationScope::kZone);
  EXPECT_EQ(s.classes[0].deduplication_window, 5u);
  EXPECT_EQ(s.classes[1].idempotency, Idempotency::kIdempotent);
  EXPECT_EQ(s.classes[0].topology_spread, TopologySpread::kNone);
  EXPECT_EQ(s.classes[1].topology_spread, TopologySpread::kRack);
  EXPECT_EQ(s.classes[1].max_per_domain, 3);
  ASSERT_EQ(s.node_kinds.size(), 2u);
  EXPECT_DOUBLE_EQ(s.node_kinds[1].cores, 59.0);
  EXPECT_DOUBLE_EQ(s.node_kinds[0].memory, 52.0);
  EXPECT_EQ(s.group_size, 3);
  EXPECT_EQ(s.self_index, 2);
  EXPECT_TRUE(s.list_on_request);
  EXPECT_FALSE(s.started_means_running);
  EXPECT_EQ(s.max_attempts, 4u);
  EXPECT_EQ(read.report_names, (std::vector<std::string>{"x0", "x1", "pending"}));
}

TEST(SettingsText, NamesWhatItCannotRead) {
  const auto error = [](const char* text) -> std::string {
    try {
      settings::ParseSettings(text);
    } catch (const settings::SettingsError& e) {
      return e.what();
    }
    return "";
  };
  EXPECT_NE(error("group_size=many\n").find("group_size"), std::string::npos);
  EXPECT_NE(error("discovery=maybe\n").find("discovery"), std::string::npos);
  EXPECT_NE(error("domain.kind_cores=1,x\n").find("domain.kind_cores"), std::string::npos);
  EXPECT_NE(error("safety.cold_us=-1\n").find("safety.cold_us"), std::string::npos);
  EXPECT_NE(error("profiles.count=99999999\n").find("profiles.count"), std::string::npos);
  EXPECT_NE(error("no equals sign\n").find("line 1"), std::string::npos);
}

TEST(SettingsText, AbsentKeysKeepTheDefaults) {
  const Settings s = settings::ParseSettings("").settings;
  EXPECT_TRUE(s.classes.empty());
  EXPECT_EQ(s.max_attempts, Settings{}.max_attempts);
}

// ---- The whole adapter ----

std::string Serve(const std::string& input, int* status, std::string* errors) {
  std::istringstream in(input);
  std::ostringstream out, err;
  *status = simulator_adapter::Serve(in, out, err);
  *errors = err.str();
  return out.str();
}

TEST(Server, EndOfInputIsFine) {
  int status = -1;
  std::string errors;
  EXPECT_EQ(Serve("", &status, &errors), "");
  EXPECT_EQ(status, 0);
}

TEST(Server, AnswersATask) {
  Bytes b;
  const std::string settings =
      "profiles.count=1\nprofiles.0.effect=safe\ndomain.kind_cores=40\ndomain.mem_of_kind=90\n"
      "bounds.max_attempts=2\ndomain.lists_free=true\n";
  b.U64(1000000).U8(140).U16(0).U8(10).U64(1).U32(static_cast<std::uint32_t>(settings.size())).Raw(settings);
  b.U8(130).U16(0).U32(1);
  b.U16(0).U32(55).U8(0).U64(0).F32(1.0f).U16(0).U8(1).F32(10.0f).F32(10.0f);
  b.U8(20).U8(2).U32(1).U16(0);
  b.U8(30).U32(7).U32(0).U16(0).U64(9000000).U16(0).F32(1.0f).U64(9).F32(1.0f).U64(8).U8(0);
  int status = -1;
  std::string errors;
  const std::string reply = Serve(b.Frame(), &status, &errors);
  EXPECT_EQ(status, 0);
  Bytes offer;
  offer.U8(20).U32(7).U64(9000000).U32(55);
  const std::string wanted(reinterpret_cast<const char*>(offer.Body().data()), offer.Body().size());
  EXPECT_NE(reply.find(wanted), std::string::npos);
}

TEST(Server, BadSettingsAreToldOnTheWire) {
  Bytes b;
  b.U64(1).U8(140).U16(0).U8(10).U64(1).U32(13).Raw("group_size=x\n");
  int status = -1;
  std::string errors;
  const std::string reply = Serve(b.Frame(), &status, &errors);
  EXPECT_EQ(status, 0);
  EXPECT_NE(reply.find("group_size"), std::string::npos);
}

TEST(Server, MalformedInputEndsItWithoutAReply) {
  const std::string empty = Bytes().U64(1).Frame();
  for (const std::string& input : {std::string("\x03"), empty.substr(0, 7), Bytes().U32(1).Frame(),
                                   Bytes().U64(1).U8(99).Frame(), std::string("\xff\xff\xff\xff")}) {
    int status = -1;
    std::string errors;
    EXPECT_EQ(Serve(input, &status, &errors), "");
    EXPECT_NE(status, 0);
    EXPECT_NE(errors.find("offset"), std::string::npos);
    EXPECT_NE(errors.find("expected"), std::string::npos);
  }
}

}  // namespace
}  // namespace mountflow::simulator_adapter
