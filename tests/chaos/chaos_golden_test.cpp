// Golden tests of the chaos test's outputs in tests/data/chaos. The reports on all message logs NAME.jsonl
// must equal reports.txt, and generated scenarios must equal scenarios.txt. MOUNTFLOW_RECORD_GOLDEN=1
// rewrites the recorded files, so that a change of the outputs appears in the diff under review.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "tools/chaos/invariant_checker.hpp"
#include "tools/chaos/message_log.hpp"
#include "tools/chaos/scenario_generator.hpp"

namespace mountflow::chaos {
namespace {

const std::string kFolder = MOUNTFLOW_TEST_DATA "/chaos";

void ExpectEqualsFile(const std::string& file, const std::string& text) {
  const std::string path = kFolder + "/" + file;
  if (std::getenv("MOUNTFLOW_RECORD_GOLDEN") != nullptr) std::ofstream(path) << text;
  std::ifstream in(path);
  std::ostringstream recorded;
  recorded << in.rdbuf();
  EXPECT_FALSE(recorded.str().empty()) << path << ": expected recorded texts";
  EXPECT_EQ(recorded.str(), text);
}

std::string ReportOfFile(const std::string& path) {
  const auto log = ReadMessageLog(path);
  return log ? Report(CheckInvariants(*log)) : Describe(log.error()) + "\n";
}

TEST(ChaosGolden, ReportsOfRecordedMessageLogsAreUnchanged) {
  std::vector<std::string> names;
  for (const auto& entry : std::filesystem::directory_iterator(kFolder)) {
    if (entry.path().extension() == ".jsonl") names.push_back(entry.path().stem().string());
  }
  std::sort(names.begin(), names.end());
  EXPECT_GE(names.size(), 90u);
  std::string text;
  for (const std::string& name : names) {
    text += "=== " + name + "\n" + ReportOfFile(kFolder + "/" + name + ".jsonl");
  }
  ExpectEqualsFile("reports.txt", text);
}

// The file has one line per scenario: fault name, seed and compact JSON. The generated text is the same JSON
// with an indent of two.
TEST(ChaosGolden, GeneratedScenariosAreUnchanged) {
  std::string text;
  for (const char* kind :
       {"crash", "hang", "pauses", "mass_restart", "discovery_stale", "zone_loss", "grow", "shrink", "ageing",
        "neighbour", "class_fail", "reconnect", "burst", "heavy_tail", "daemon_kill"}) {
    for (const std::uint64_t seed : {1u, 7u, 20261u}) {
      const auto generated = GenerateScenario({kind, "daemon_kill", kind}, seed);
      ASSERT_TRUE(generated) << Describe(generated.error());
      const std::string& scenario = *generated;
      const json value = json::parse(scenario);
      EXPECT_EQ(value.dump(2) + "\n", scenario);
      text += std::string(kind) + " " + std::to_string(seed) + " " + value.dump() + "\n";
    }
  }
  ExpectEqualsFile("scenarios.txt", text);
}

TEST(ChaosGolden, ErrorsOfScenariosAreUnchanged) {
  const auto unknown = GenerateScenario({"crash", "earthquake"}, 1);
  ASSERT_FALSE(unknown);
  EXPECT_EQ(Describe(unknown.error()),
            "unknown trouble 'earthquake': expected crash, hang, pauses, mass_restart, discovery_stale, "
            "zone_loss, grow, shrink, ageing, neighbour, class_fail, reconnect, burst, heavy_tail, "
            "daemon_kill, daemon_stop or daemon_reload");
  std::string text;
  for (
      const char* scenario :
      {R"({"load":[{"queue":"a","rate":1}],"faults":[{"at_s":1,"kind":"flood"}]})", "{", R"({"load":[]})",
       R"({"load":[{"queue":"a","rate":1}],"daemons":2,"faults":[{"at_s":1,"kind":"kill","daemon":2},{"at_s":1,"kind":"kill","daemon":5}]})",
       R"({"load":[{"queue":1,"rate":-1}],"more":1})"}) {
    const auto parsed = ParseScenario(scenario, "NAME");
    ASSERT_FALSE(parsed);
    for (const ScenarioError& error : parsed.error()) text += Describe(error) + "\n";
  }
  ExpectEqualsFile("scenario_errors.txt", text);
}

TEST(ChaosGolden, LoggedMessagesAreUnchanged) {
  pbs_protocol::Request request;
  request.type = pbs_protocol::RequestType::kQueueJob;
  request.user = "u";
  request.id = "1.d0/1";
  request.destination = "batch";
  request.extension = "wait=answer";
  request.status = -3;
  request.attributes = {{"service", "", "s", pbs_protocol::Op::kSet},
                        {"Resource_List", "ncpus", "2", pbs_protocol::Op::kSet},
                        {"Variable_List", "", "A=B", pbs_protocol::Op::kSet},
                        {std::string(41, 'x'), "", "long", pbs_protocol::Op::kSet}};
  EXPECT_EQ(LogFields(request).dump(),
            R"({"attributes":{"Resource_List.ncpus":"2","service":"s"},"extension":"wait=answer",)"
            R"("id":"1.d0/1","queue":"batch","status":-3,"type":1,"user":"u"})");
  EXPECT_EQ(LogFields(pbs_protocol::Request{}).dump(), R"({"type":0})");
  pbs_protocol::Reply reply;
  reply.code = pbs_protocol::Code::kUnknownJob;
  reply.auxiliary = 4;
  reply.text = "t";
  reply.ids = {"1.d0"};
  reply.objects = {
      {pbs_protocol::ObjectType::kJob,
       "1.d0",
       {{"answer", "", "placed", pbs_protocol::Op::kSet}, {"other", "", "x", pbs_protocol::Op::kSet}}}};
  EXPECT_EQ(LogFields(reply).dump(),
            R"({"aux":4,"code":15001,"ids":["1.d0"],"objects":[{"answer":"placed","name":"1.d0","type":2}],)"
            R"("text":"t"})");
}

}  // namespace
}  // namespace mountflow::chaos
