#include "platform/message_mapping.hpp"

#include <gtest/gtest.h>

#include "platform/platform_config.hpp"
#include "tests/support/platform_fixture.hpp"

namespace mountflow::testing {
namespace {

constexpr Micros kNow = 5 * kSec;

settings::WireSettings Settings() { return ReadPlatformConfig(kPlatformConfig, nullptr, nullptr).wire; }

ClientMessage GoodRequest() {
  ClientMessage message;
  message.fields = {{"class", "service"},
                    {"tenant", "zen"},
                    {"key", "00000000000000ff"},
                    {"idem", "00000000000000010000000000000002"},
                    {"extras", "cores:1.5;memory:2;service:00000000b4d65521"},
                    {"left", "2000"}};
  return message;
}

TEST(MessageMapping, ReadsALaunchRequest) {
  const auto request = ReadLaunchRequest(GoodRequest(), Settings(), kNow);
  ASSERT_TRUE(request.has_value()) << Describe(request.error());
  EXPECT_EQ(request->task.task_class, 0u);
  EXPECT_EQ(request->task.tenant, 1u);
  EXPECT_EQ(request->task.key, 0xffu);
  EXPECT_EQ(request->task.service, 0xb4d65521u);
  EXPECT_EQ(request->task.cores, 1.5);
  EXPECT_EQ(request->task.memory, 2.0);
  EXPECT_EQ(request->task.deadline, kNow + 2 * kSec);
  EXPECT_EQ(request->running_at, "");
}

TEST(MessageMapping, NeedsNoTimeLeftForATaskThatRunsAlready) {
  ClientMessage message = GoodRequest();
  message.fields["extras"] += ";at:m-1";
  message.fields["left"] = "-7";
  const auto request = ReadLaunchRequest(message, Settings(), kNow);
  ASSERT_TRUE(request.has_value()) << Describe(request.error());
  EXPECT_EQ(request->running_at, "m-1");
  EXPECT_EQ(request->task.deadline, kNow);
}

TEST(MessageMapping, NeedsADeduplicationKeyOnlyForClassesThatAreIdempotentWithOne) {
  ClientMessage message = GoodRequest();
  message.fields["class"] = "batch";
  message.fields.erase("idem");
  EXPECT_TRUE(ReadLaunchRequest(message, Settings(), kNow).has_value());
  message.fields["idem"] = "7";
  EXPECT_FALSE(ReadLaunchRequest(message, Settings(), kNow).has_value());
}

TEST(MessageMapping, NamesTheNodeOfARequestThatFailsLater) {
  ClientMessage message = GoodRequest();
  message.fields["extras"] = "at:m-1;cores:1";
  const auto request = ReadLaunchRequest(message, Settings(), kNow);
  ASSERT_FALSE(request.has_value());
  EXPECT_EQ(request.error().code, LaunchRequestError::Code::kBadExtras);
  EXPECT_EQ(request.error().running_at, "m-1");
}

struct UnusableField {
  const char* name;
  const char* field;
  std::string text;
  std::string error;
};

void PrintTo(const UnusableField& input, std::ostream* out) { *out << input.name; }

class UnusableLaunchRequestTest : public ::testing::TestWithParam<UnusableField> {};

TEST_P(UnusableLaunchRequestTest, NamesTheFieldAndWhatWasExpected) {
  ClientMessage message = GoodRequest();
  message.fields[GetParam().field] = GetParam().text;
  const auto request = ReadLaunchRequest(message, Settings(), kNow);
  ASSERT_FALSE(request.has_value());
  EXPECT_EQ(Describe(request.error()), GetParam().error);
}

std::vector<UnusableField> UnusableFields() {
  const std::string extras = "extras: expected cores, memory and the like, as name:value;..., got ";
  const std::string left = "left: expected milliseconds, at most 600000, got ";
  return {
      {"UnknownClass", "class", "x", "class: expected one of the settings, got 'x'"},
      {"UnknownTenant", "tenant", "a\nb", "tenant: expected one of the settings, got 'a?b'"},
      {"ShortKey", "key", "ff", "key: expected 16 hex digits, got 'ff'"},
      {"NoDeduplicationKey", "idem", "", "idem: expected 32 hex digits, got ''"},
      {"DeduplicationKeyInCapitals", "idem", std::string(32, 'A'),
       "idem: expected 32 hex digits, got 'AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA'"},
      {"NoExtras", "extras", "", extras + "''"},
      {"ExtraWithoutValue", "extras", "cores", extras + "'cores'"},
      {"NoMemory", "extras", "cores:1", extras + "'cores:1'"},
      {"TooManyCores", "extras", "cores:1000001;memory:1", extras + "'cores:1000001;memory:1'"},
      {"NegativeMemory", "extras", "cores:1;memory:-1", extras + "'cores:1;memory:-1'"},
      {"EmptyNode", "extras", "cores:1;memory:1;at:", extras + "'cores:1;memory:1;at:'"},
      {"ShortService", "extras", "cores:1;memory:1;service:7", extras + "'cores:1;memory:1;service:7'"},
      {"NoTimeLeft", "left", "", left + "''"},
      {"TimeLeftWithExponent", "left", "1e3", left + "'1e3'"},
      {"TimeLeftTooLong", "left", "600001", left + "'600001'"},
  };
}

INSTANTIATE_TEST_SUITE_P(MessageMapping, UnusableLaunchRequestTest, ::testing::ValuesIn(UnusableFields()),
                         [](const auto& info) { return std::string(info.param.name); });

TEST(MessageMapping, ReadsALoadReportAndIgnoresUnknownParts) {
  NodeMessage message;
  message.params[kReport] = "x0:1;x1:-2;pending:3e0;other:7;cpu_share:much;x1";
  const LoadReport report = ReadReport(message);
  EXPECT_EQ(report.free_cores, 1.0);
  EXPECT_EQ(report.free_memory, -2.0);
  EXPECT_EQ(report.queued, 3.0);
  EXPECT_FALSE(report.utilisation.has_value());
}

TEST(MessageMapping, ReadsReportedNumbersThatAreFiniteAndWhole) {
  double value = 0.0;
  EXPECT_TRUE(ReadReportedNumber("-1.5e2", &value));
  EXPECT_EQ(value, -150.0);
  for (const std::string& text : {std::string(), std::string("1x"), std::string("inf"), std::string("nan"),
                                  std::string("1e999"), std::string(41, '1')}) {
    EXPECT_FALSE(ReadReportedNumber(text, &value)) << text;
  }
}

TEST(MessageMapping, FindsNamesByIndex) {
  const std::vector<std::string> names = {"left", "right"};
  EXPECT_EQ(IndexOf(names, "right"), 1u);
  EXPECT_EQ(IndexOf(names, "up"), std::nullopt);
}

TEST(MessageMapping, ReadsRejectionReasons) {
  const std::pair<const char*, RejectionReason> expected[] = {
      {"no_cores", RejectionReason::kNoCores},     {"no_memory", RejectionReason::kNoMemory},
      {"queue_full", RejectionReason::kQueueFull}, {"not_here", RejectionReason::kNotAccepting},
      {"evicted", RejectionReason::kEvicted},      {"pushed_out", RejectionReason::kPreempted},
      {"sent_away", RejectionReason::kDrained},    {"", RejectionReason::kUnspecified},
      {"other", RejectionReason::kUnspecified}};
  for (const auto& [text, reason] : expected) EXPECT_EQ(ReadRejectionReason(text), reason) << text;
}

TEST(MessageMapping, ReadsKindsOfNotes) {
  const std::pair<const char*, std::optional<ProgressKind>> expected[] = {
      {"runs", ProgressKind::kRunning},
      {"cores", ProgressKind::kCoresUsed},
      {"memory", ProgressKind::kMemoryUsed},
      {"served", ProgressKind::kServed},
      {"pressure", ProgressKind::kPressure},
      {"", std::nullopt},
      {"other", std::nullopt}};
  for (const auto& [text, kind] : expected) EXPECT_EQ(ReadProgressKind(text), kind) << text;
}

TEST(MessageMapping, MapsCausesThatDoNotShowWhetherTheTaskRanToLost) {
  struct Expected {
    int cause;
    AttemptResult before_start;
    AttemptResult after_start;
  };
  const Expected expected[] = {{16, AttemptResult::kLost, AttemptResult::kCompleted},
                               {31, AttemptResult::kLost, AttemptResult::kCancelled},
                               {34, AttemptResult::kRejected, AttemptResult::kLost},
                               {47, AttemptResult::kError, AttemptResult::kLost},
                               {102, AttemptResult::kNotSent, AttemptResult::kLost},
                               {41, AttemptResult::kLost, AttemptResult::kLost},
                               {0, AttemptResult::kLost, AttemptResult::kLost}};
  for (const Expected& row : expected) {
    EXPECT_EQ(ResultOfCause(row.cause, false), row.before_start) << row.cause;
    EXPECT_EQ(ResultOfCause(row.cause, true), row.after_start) << row.cause;
  }
}

}  // namespace
}  // namespace mountflow::testing
