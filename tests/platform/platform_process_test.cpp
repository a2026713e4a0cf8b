// Whole paths through the platform's program, and the judge of its rules.
#include "tests/support/platform_process_fixture.hpp"

namespace mountflow::testing {
namespace {

TEST_F(PlatformWhole, ACalmPath) {
  Start();
  StandOwner& owner = Owner();
  for (RequestUid uid = 1; uid <= 200; ++uid) owner.Ask(uid, uid % 20 == 0 ? "batch" : "service", 2000);
  Until([&] { return owner.final.size() == 200; });
  std::size_t placed = 0;
  for (const auto& m : machines) {
    for (const RequestUid uid : m->standing) {
      ++placed;
      EXPECT_EQ(owner.final[uid].description, "yes from " + m->name);  // the machine's own, unchanged
    }
    for (const NodeMessage& s : m->set_ups) EXPECT_EQ(s.Text(kDescription), "asked by " + WriteHex(s.uid));
  }
  EXPECT_GT(placed, 60u);
  // Ends, from either side.
  StandMachine& first = *machines[0];
  const RequestUid ended = *first.standing.begin();
  first.End(ended, 16);
  Until([&] { return owner.released.count(ended) > 0; });
  EXPECT_EQ(owner.released[ended].size(), 1u);
  const RequestUid stopped = *first.standing.begin();
  owner.Stop(stopped);
  Until([&] { return first.standing.count(stopped) == 0; });
  Kept();
}

// Spoilt answers, refusals, resets while new and under a request, silence: every owner gets one answer, the
// rules hold, and the others are not held up.
TEST_F(PlatformWhole, ARoughPath) {
  Start();
  unsigned n = 0;
  for (auto& m : machines) {
    StandMachine* machine = m.get();
    machine->reply = [machine, &n](const NodeMessage& s) -> std::string {
      switch (++n % 60) {
        case 0:
          return "reset";
        case 3:
          return machine->No(s.uid, 34, "no_cores");
        case 5:
          machine->No(s.uid, 41);  // it was run, and its answer is noise
          return "\x01\x02 noise";
        case 7:
          machine->No(s.uid, 41);
          return machine->Yes(s.uid).substr(0, 12);  // it never ends
        case 9: {
          const std::string yes = machine->Yes(s.uid);
          return yes + yes;
        }
        case 10:
          return machine->No(s.uid, 47);
        default:
          return machine->Yes(s.uid);
      }
    };
    machine->reset_new = 1;
  }
  StandOwner& owner = Owner();
  for (RequestUid uid = 1; uid <= 300; ++uid) {
    owner.Ask(uid, uid % 10 == 0 ? "batch" : "service", 2500, WriteHex(uid % 7));
    if (uid % 5 != 0) continue;
    Until([&] { return owner.final.size() == uid; });
    for (auto& m : machines) {
      for (const RequestUid standing : std::set<RequestUid>(m->standing)) m->End(standing, 16);
    }
  }
  Until([&] { return owner.final.size() == 300; });
  EXPECT_FALSE(owner.closed);
  std::size_t placed = 0;
  for (const auto& [uid, m] : owner.final) placed += m.kind == ClientMessageKind::kAnswer;
  EXPECT_GT(placed, 50u);
  Kept();
}

TEST_F(PlatformWhole, AMachinesDeathAndADrain) {
  Start();
  StandOwner& owner = Owner();
  for (RequestUid uid = 1; uid <= 40; ++uid) owner.Ask(uid, "service", 2000, WriteHex(uid));
  Until([&] { return owner.final.size() == 40; });
  const std::set<RequestUid> lost = machines[1]->standing;
  for (const RequestUid uid : lost) record.push_back({loop.Now(), Passed::What::kLeft, uid, "m-1"});
  machines[1]->Die();
  Until([&] {
    for (const RequestUid uid : lost) {
      if (owner.released.count(uid) == 0) return false;
    }
    return true;
  });
  log.Add(Entry(*machines[2], "draining"));
  Told(*machines[2], 1);
  Until([&] { return !log.asked.empty() && log.asked.back() == 2; });
  const std::size_t before = machines[2]->set_ups.size();
  for (RequestUid uid = 101; uid <= 160; ++uid) owner.Ask(uid, "service", 2000, WriteHex(uid));
  Until([&] { return owner.final.size() == 100; });
  EXPECT_EQ(machines[2]->set_ups.size(), before);
  Kept();
}

TEST_F(PlatformWhole, BadOwnersGetAnErrorOrACloseAndTheUsualOnesNoDelay) {
  Start();
  StandOwner& usual = Owner();
  std::vector<StandOwner*> closed, refused;
  const std::vector<std::string> unreadable = {"GET / HTTP/1.1\r\n\r\n", "{\"kind\":\"launch\"}\n",
                                               std::string(60 << 20, 'x'), "{\"kind\":\"lau",
                                               std::string(3, '\0') + "\n"};
  for (const std::string& bytes : unreadable) {
    closed.push_back(&Owner());
    closed.back()->Raw(bytes);
  }
  for (int i = 0; i < 120; ++i) closed.push_back(&Owner());  // and say nothing
  for (const char* task_class : {"x", "", "service\xff"}) {
    if (std::string(task_class).size() > 7) continue;
    refused.push_back(&Owner());
    refused.back()->Raw("{\"kind\":\"launch\",\"uid\":\"00000000000000aa\",\"meta\":{\"class\":\"" +
                        std::string(task_class) + "\",\"left\":\"1\"},\"body\":\"\"}\n");
  }
  for (RequestUid uid = 1; uid <= 100; ++uid) usual.Ask(uid, "service", 2000, WriteHex(uid));
  Until([&] { return usual.final.size() == 100; });
  const Micros from = loop.Now();
  Until([&] {
    for (const StandOwner* o : closed) {
      if (!o->closed) return false;
    }
    for (const StandOwner* o : refused) {
      if (o->final.empty()) return false;
    }
    return true;
  });
  EXPECT_LT(loop.Now() - from, 6'000'000u);
  for (StandOwner* o : refused) EXPECT_NE(o->final.begin()->second.kind, ClientMessageKind::kAnswer);
  std::erase_if(record, [](const Passed& p) { return p.uid == 0xaa; });
  Kept();
}

TEST_F(PlatformWhole, ANewConfigurationIsFollowedAndABadOneIsNot) {
  Start();
  StandChangeLog other(&loop);
  other.first = 2;
  Until([&] { return !log.asked.empty(); });
  std::ofstream(folder_ + "/config.json") << "{";
  daemon->Signal(SIGHUP);
  log.cut_next = 1;  // and its next reply is cut in the middle
  const std::size_t asked = log.asked.size();
  log.Add(Entry(*machines[0]));
  Until([&] { return log.asked.size() > asked && log.asked.back() == 2; });
  Configure(other.address);
  other.first = 3;
  daemon->Signal(SIGHUP);
  Until([&] { return !other.asked.empty(); });
  EXPECT_EQ(other.asked[0], 2u);  // the numbering goes on
  other.Add(Entry(*machines[0], "gone"));
  Told(*machines[0], 2);
  Until([&] { return other.asked.back() == 3; });
  StandOwner& owner = Owner();
  for (RequestUid uid = 1; uid <= 50; ++uid) owner.Ask(uid, "service", 2000, WriteHex(uid));
  Until([&] { return owner.final.size() == 50; });
  EXPECT_TRUE(machines[0]->set_ups.empty());
  Kept();
}

TEST_F(PlatformWhole, LeavingAnswersAllThatComesAndEndsWithZero) {
  Start();
  StandOwner& owner = Owner();
  std::vector<std::pair<StandMachine*, NodeMessage>> held;
  for (auto& m : machines) {
    StandMachine* machine = m.get();
    machine->reply = [machine, &held](const NodeMessage& s) {
      held.emplace_back(machine, s);
      return std::string();
    };
  }
  for (RequestUid uid = 1; uid <= 20; ++uid) owner.Ask(uid, "service", 2500, WriteHex(uid));
  Until([&] { return held.size() == 20; });
  daemon->Signal(SIGTERM);
  daemon->Signal(SIGTERM);  // a second one changes nothing
  StandOwner& late = Owner();
  late.Test();
  Until([&] { return !late.tested.empty(); });
  EXPECT_EQ(late.tested[0], 0);
  late.Ask(101, "service", 2500, WriteHex(101));
  Until([&] { return held.size() == 21; });
  for (auto& [machine, s] : held) machine->Say(machine->Yes(s.uid));
  Until([&] { return owner.final.size() == 20 && late.final.size() == 1; });
  for (const auto& [uid, m] : owner.final) EXPECT_EQ(m.kind, ClientMessageKind::kAnswer);
  EXPECT_EQ(daemon->Wait(), 0);
  Kept();
}

TEST(PlatformStart, AConfigurationThatLacksSomethingIsRefused) {
  const std::string file = ::testing::TempDir() + "/platform-bad.json";
  std::ofstream(file) << "{\"name\":\"n0\"}";
  EXPECT_EQ(RunCommand({"mountflowd", "--platform"}, {{"LB_CONFIG", file}}).status, 1);
  EXPECT_EQ(RunCommand({"mountflowd", "--platform"}, {{"LB_CONFIG", file + ".none"}}).status, 1);
}

// The judge must be able to see: a doctored breach of each rule.
TEST(PlatformJudge, CatchesABreachOfEachRule) {
  using What = Passed::What;
  const auto passed = [](Micros at, What what, RequestUid uid, const std::string& machine = "",
                         int cause = -1) {
    Passed p{at, what, uid, machine, cause};
    p.task_class = "service";
    p.left = 1'000'000;
    return p;
  };
  Passed told1 = passed(0, What::kTold, 0, "a", 0), told2 = passed(0, What::kTold, 0, "b", 0);
  told2.cell = 1;
  const Record good = {told1,
                       told2,
                       passed(1, What::kAsked, 7),
                       passed(2, What::kOut, 7, "a"),
                       passed(3, What::kBack, 7, "a", 34),
                       passed(4, What::kOut, 7, "b"),
                       passed(5, What::kBack, 7, "b", 0),
                       passed(6, What::kFinal, 7, "", 0)};
  EXPECT_TRUE(JudgePlatform(good).empty());
  const auto breaks = [&](int rule, const Record& record) {
    const auto found = JudgePlatform(record);
    for (const std::string& one : found) {
      if (one.rfind("rule " + std::to_string(rule), 0) == 0) return true;
    }
    return false;
  };
  Record r = good;
  r.pop_back();
  EXPECT_TRUE(breaks(1, r));  // no answer
  r = good;
  r.push_back(good.back());
  EXPECT_TRUE(breaks(1, r));  // two
  r = good;
  r.back().at = 9'000'000;
  EXPECT_TRUE(breaks(1, r));  // late
  r = good;
  r[4].cause = 41;
  EXPECT_TRUE(breaks(2, r));  // it may have run, and goes to another cell
  r = good;
  r[4].cause = 41;
  r.erase(r.begin() + 5, r.begin() + 7);
  r.back().cause = 34;
  EXPECT_TRUE(breaks(2, r));  // it may have run, and is called harmless
  r = good;
  r.erase(r.begin() + 4);
  EXPECT_TRUE(breaks(2, r));  // two attempts out together
  r = good;
  Passed drained = told2;
  drained.cause = 1;
  r[1] = drained;
  r[5].at = r[6].at = r[7].at = 3'000'000;
  r[2].left = 9'000'000;
  EXPECT_TRUE(breaks(3, r));
  // The owner leaves: an attempt 90 ms later crossed its close, one 110 ms later did not.
  const Record gone = {told1, passed(1, What::kAsked, 7), passed(2, What::kGone, 7),
                       passed(90'000, What::kOut, 7, "a")};
  EXPECT_TRUE(JudgePlatform(gone).empty());
  r = gone;
  r.back().at = 110'000;
  EXPECT_TRUE(breaks(1, r));
  // What is over is told, once.
  const Record over = {passed(1, What::kAsked, 7), passed(5, What::kFinal, 7, "", 0),
                       passed(6, What::kLeft, 7, "a", 16), passed(7, What::kReleased, 7),
                       passed(9'000'000, What::kTold, 0, "a", 0)};
  EXPECT_TRUE(JudgePlatform(over).empty());
  r = over;
  r.erase(r.begin() + 3);
  EXPECT_TRUE(breaks(1, r));
  r = over;
  r.insert(r.begin() + 3, r[3]);
  EXPECT_TRUE(breaks(1, r));
  Passed cold = told1;
  cold.started_at = 1;
  r = {cold};
  Record spread = {told1};
  for (RequestUid uid = 1; uid <= 13; ++uid) {
    for (Record* to : {&r, &spread}) {
      to->push_back(passed(2, What::kAsked, uid));
      to->push_back(passed(3, What::kOut, uid, "a"));
      to->back().task_class = to == &spread ? "batch" : "service";
      to->push_back(passed(4, What::kBack, uid, "a", 0));
      to->push_back(passed(5, What::kFinal, uid, "", 0));
    }
  }
  EXPECT_TRUE(breaks(4, r));
  EXPECT_TRUE(breaks(5, spread));
}

}  // namespace
}  // namespace mountflow::testing
