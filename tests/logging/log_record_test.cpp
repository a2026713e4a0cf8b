// Tests of the key=value form of log records.
#include "logging/log_record.hpp"

#include <gtest/gtest.h>

namespace mountflow::testing {
namespace {

using logging::FormatKeyValue;
using logging::LogEvent;

std::string Line(const std::string& reason) {
  return FormatKeyValue({LogEvent::kClientConnectionClosed, {{logging::kReasonField, reason}}});
}

TEST(LogRecord, EventWithoutFieldsHasOnlyItsName) {
  EXPECT_EQ(FormatKeyValue({LogEvent::kShutdownFinished}), "event=shutdown_finished");
}

TEST(LogRecord, FieldsFollowInTheirOrder) {
  EXPECT_EQ(FormatKeyValue({LogEvent::kNodeListPollFailed,
                            {{logging::kAddressField, "10.0.0.1:80"},
                             {logging::kLastEventField, 42},
                             {logging::kReasonField, "closed by its other end"}}}),
            "event=node_list_poll_failed address=10.0.0.1:80 last_event=42 "
            "reason=\"closed by its other end\"");
}

TEST(LogRecord, PlainWordsAreNotQuoted) {
  EXPECT_EQ(Line("timeout"), "event=client_connection_closed reason=timeout");
  EXPECT_EQ(Line("caf\xc3\xa9"), "event=client_connection_closed reason=caf\xc3\xa9");
}

TEST(LogRecord, TextsThatWouldBeReadAsMoreFieldsAreQuoted) {
  EXPECT_EQ(Line("a b"), "event=client_connection_closed reason=\"a b\"");
  EXPECT_EQ(Line("a=b"), "event=client_connection_closed reason=\"a=b\"");
  EXPECT_EQ(Line(""), "event=client_connection_closed reason=\"\"");
}

TEST(LogRecord, QuotesAndBackslashesAreEscaped) {
  EXPECT_EQ(Line("say \"no\""), R"(event=client_connection_closed reason="say \"no\"")");
  EXPECT_EQ(Line("\\"), R"(event=client_connection_closed reason="\\")");
}

TEST(LogRecord, ControlCharactersDoNotBreakTheLine) {
  EXPECT_EQ(Line("a\nb\r\t"), R"(event=client_connection_closed reason="a\nb\r\t")");
  EXPECT_EQ(Line(std::string("\0\x1b\x7f", 3)), R"(event=client_connection_closed reason="\x00\x1b\x7f")");
}

TEST(LogRecord, SmallestAndLargestNumberAreWritten) {
  EXPECT_EQ(FormatKeyValue({LogEvent::kNodeListPollFailed, {{logging::kLastEventField, INT64_MIN}}}),
            "event=node_list_poll_failed last_event=-9223372036854775808");
  EXPECT_EQ(FormatKeyValue({LogEvent::kNodeListPollFailed, {{logging::kLastEventField, UINT64_MAX}}}),
            "event=node_list_poll_failed last_event=18446744073709551615");
}

}  // namespace
}  // namespace mountflow::testing
