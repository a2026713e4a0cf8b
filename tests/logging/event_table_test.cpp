// Tests of the table of log events and of its copy in docs/on-call.md. With MOUNTFLOW_RECORD_GOLDEN=1,
// rewrites the copy.
#include "logging/event_table.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <set>

namespace mountflow::testing {
namespace {

using namespace logging;

const std::string kPage = std::string(MOUNTFLOW_TEST_DATA) + "/../../docs/on-call.md";
const std::string kBegin =
    "<!-- log events: begin; written by MOUNTFLOW_RECORD_GOLDEN=1 event_table_test -->\n";
const std::string kEnd = "<!-- log events: end -->\n";

bool IsName(std::string_view text) {
  return !text.empty() && text.front() >= 'a' && text.front() <= 'z' &&
         std::all_of(text.begin(), text.end(), [](char character) {
           return (character >= 'a' && character <= 'z') || character == '_';
         });
}

TEST(EventTable, EachEventHasItsOwnRow) {
  for (std::size_t i = 0; i < kLogEventCount; ++i) {
    const auto event = static_cast<LogEvent>(i);
    EXPECT_EQ(InfoOf(event).event, event);
    EXPECT_EQ(&InfoOf(event), &AllEvents()[i]);
  }
}

TEST(EventTable, NamesAreLowerCaseWordsAndUnique) {
  std::set<std::string_view> names;
  for (const EventInfo& info : AllEvents()) {
    EXPECT_TRUE(IsName(info.name)) << info.name;
    EXPECT_TRUE(names.insert(info.name).second) << info.name;
  }
}

TEST(EventTable, FieldsAreNamesWithoutRepetitionOrGap) {
  for (const EventInfo& info : AllEvents()) {
    std::set<std::string_view> fields;
    const auto end = std::find(info.fields.begin(), info.fields.end(), "");
    EXPECT_TRUE(std::all_of(end, info.fields.end(), [](auto field) { return field.empty(); })) << info.name;
    for (auto it = info.fields.begin(); it != end; ++it) {
      EXPECT_TRUE(IsName(*it)) << info.name << ": " << *it;
      EXPECT_NE(*it, kEventField) << info.name;
      EXPECT_TRUE(fields.insert(*it).second) << info.name << ": " << *it;
    }
  }
}

TEST(EventTable, MeaningAndActionFitACellOfATable) {
  for (const EventInfo& info : AllEvents()) {
    for (const std::string_view text : {info.meaning, info.action}) {
      EXPECT_FALSE(text.empty()) << info.name;
      EXPECT_EQ(text.find_first_of("|\n"), std::string_view::npos) << info.name;
    }
  }
}

TEST(EventTable, HasFieldAcceptsOnlyTheFieldsOfTheRow) {
  EXPECT_TRUE(HasField(LogEvent::kLost, kAttemptField));
  EXPECT_FALSE(HasField(LogEvent::kLost, kUserField));
  EXPECT_FALSE(HasField(LogEvent::kLost, ""));
  EXPECT_FALSE(HasField(LogEvent::kShutdownStarted, kReasonField));
}

TEST(EventTable, MarkdownHasOneRowPerEvent) {
  const std::string table = EventTableMarkdown();
  EXPECT_EQ(std::count(table.begin(), table.end(), '\n'), kLogEventCount + 2);
  EXPECT_NE(table.find("| `deleted` | mountflowd | info | `job`, `user` | a user or the operator deleted the "
                       "job | nothing |\n"),
            std::string::npos);
  EXPECT_NE(table.find("| `shutdown_finished` | mountflowd --platform | info | none | "), std::string::npos);
  EXPECT_NE(table.find("| `scheduler` | both | warning | `text` | "), std::string::npos);
}

TEST(EventTable, OnCallPageHasTheTable) {
  std::ifstream in(kPage);
  std::string page(std::istreambuf_iterator<char>(in), {});
  const std::size_t begin = page.find(kBegin);
  const std::size_t end = page.find(kEnd);
  ASSERT_NE(begin, std::string::npos) << kPage << ": expected the line " << kBegin;
  ASSERT_NE(end, std::string::npos) << kPage << ": expected the line " << kEnd;
  const std::size_t from = begin + kBegin.size();
  ASSERT_LE(from, end);
  const std::string table = "\n" + EventTableMarkdown() + "\n";
  if (std::getenv("MOUNTFLOW_RECORD_GOLDEN") != nullptr) {
    std::ofstream(kPage) << page.replace(from, end - from, table);
    return;
  }
  EXPECT_EQ(page.substr(from, end - from), table) << "run MOUNTFLOW_RECORD_GOLDEN=1 event_table_test";
}

}  // namespace
}  // namespace mountflow::testing
