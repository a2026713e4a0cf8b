// The platform's program on loopback: each end is made to meet something that is still owed. The program is
// halted, what shall cross is put into the kernel, and it goes on.
#include <sys/resource.h>
#include <sys/stat.h>

#include "tests/support/platform_process_fixture.hpp"

namespace mountflow::testing {
namespace {

class PlatformEndings : public PlatformWhole {
 protected:
  // Nothing happens but time: what is crossed is a time of the program itself.
  void TimePasses(Micros until) {
    bool due = false;
    loop.AddTimer(until, [&due] { due = true; });
    Until([&due] { return due; });
  }
  std::size_t SentOn(const std::set<RequestUid>& uids) const {
    std::size_t sent = 0;
    for (const auto& m : machines) {
      for (const NodeMessage& s : m->set_ups) sent += uids.count(s.uid);
    }
    return sent;
  }
};

// ---- SIGTERM ----

// The danger: the timers of a turn come before what is read in it. The last look fell before a set-up that
// was taken in the same turn, went to a machine, and got no answer.
TEST_F(PlatformEndings, ASetUpInTheTurnOfTheLastLookIsAnswered) {
  Start();
  StandOwner& owner = Owner();
  owner.Test();
  daemon->Signal(SIGTERM);
  const Micros from = loop.Now();
  Until([&] {
    if (!owner.tested.empty() && owner.tested.back() == 1) owner.Test(), owner.tested.clear();
    return !owner.tested.empty() && owner.tested.back() == 0;
  });
  daemon->Halt();
  owner.Ask(1, "service", 2000);
  TimePasses(from + 1'500'000);
  daemon->Signal(SIGCONT);
  Until([&] { return owner.closed || owner.final.count(1) > 0; });
  EXPECT_EQ(owner.final.count(1), 1u);
  EXPECT_EQ(daemon->Wait(), 0);
  Kept();
}

// The danger: the end of the program is the end of its sockets, and answers that a slow owner had not taken
// were gone.
TEST_F(PlatformEndings, AnswersThatASlowOwnerHasNotTakenAreWaitedFor) {
  memory_mb = 8192;  // what may wait unsent goes with it: 16 MiB
  cores = 512;
  log.events.clear();
  std::string entries;
  for (const auto& m : machines) entries += (entries.empty() ? "" : ",") + Entry(*m);
  log.Add(entries, true);
  Start();
  std::size_t answered = 0;
  for (auto& m : machines) {
    StandMachine* machine = m.get();
    machine->reply = [machine, &answered](const NodeMessage& s) {
      ++answered;
      machine->Yes(s.uid);
      NodeMessage yes;
      yes.kind = NodeMessageKind::kAnswer;
      yes.uid = s.uid;
      yes.params[kDescription] = std::string(15'000, 'y');
      return EncodeNodeMessage(yes);
    };
  }
  constexpr std::size_t kAsks = 500;  // 7.5 MB: more than the kernel takes for one that does not read
  StandOwner& owner = Owner();
  loop.PauseReading(owner.conn, true);
  for (RequestUid uid = 1; uid <= kAsks; ++uid) {
    owner.Ask(uid, "service", 3000, WriteHex(uid));
    if (uid % 100 == 0) Until([&] { return answered == uid; });
  }
  daemon->Signal(SIGTERM);
  TimePasses(loop.Now() + 1'500'000);
  loop.PauseReading(owner.conn, false);
  Until([&] { return owner.closed || owner.final.size() == kAsks; });
  EXPECT_EQ(owner.final.size(), kAsks);
  for (const auto& [uid, m] : owner.final) ASSERT_EQ(m.description.size(), 15'000u);
  EXPECT_EQ(daemon->Wait(), 0);
}

// The danger: owners of tasks that stand go on to send what ends them, and tests. A program that waits until
// nothing at all comes is there until it is killed, with whatever it owes then.
TEST_F(PlatformEndings, WhatWantsNoAnswerDoesNotKeepTheProgram) {
  Start();
  StandOwner& owner = Owner();
  owner.Test();
  daemon->Signal(SIGTERM);
  const Micros from = loop.Now();
  std::size_t seen = 0;
  Until([&] {
    if (owner.tested.size() > seen) {
      seen = owner.tested.size();
      owner.Test();
      owner.Stop(77);  // of a task that is over
    }
    return owner.closed;
  });
  EXPECT_GT(loop.Now(), from + 800'000);
  EXPECT_LT(loop.Now(), from + 2'500'000);
  EXPECT_EQ(daemon->Wait(), 0);
}

// SIGKILL comes 3.7 s after SIGTERM where deadlines are longer than 3 s: what is still open is answered
// before.
TEST_F(PlatformEndings, WhatIsOpenIsAnsweredBeforeTheKillThatDoesNotWaitForIt) {
  Start();
  for (auto& m : machines) {
    m->reply = [](const NodeMessage&) { return std::string(); };
  }
  StandOwner& owner = Owner();
  owner.Test();
  Until([&] { return !owner.tested.empty(); });
  daemon->Signal(SIGTERM);
  const Micros from = loop.Now();
  TimePasses(from + 550'000);
  owner.Ask(1, "batch", 3200);  // due 3.75 s after SIGTERM
  Until([&] { return owner.closed || owner.final.count(1) > 0; });
  EXPECT_EQ(owner.final.count(1), 1u);
  EXPECT_LT(loop.Now(), from + 3'700'000);
  EXPECT_EQ(daemon->Wait(), 0);
}

// The configuration is a pipe: the program stands in its first line when the signals come.
TEST_F(PlatformEndings, SignalsBeforeItIsReadyAreHeardOnceItIs) {
  for (const int signal : {SIGTERM, SIGHUP}) {
    const std::string file = folder_ + "/config.json";
    std::filesystem::remove(file);
    ASSERT_EQ(mkfifo(file.c_str(), 0600), 0);
    Spawn();
    const int to = open(file.c_str(), O_WRONLY);  // until the program reads
    ASSERT_GE(to, 0);
    Configure(log.address);  // lies in its place from now on
    daemon->Signal(signal);
    const std::string text = Configuration(log.address);
    ASSERT_EQ(write(to, text.data(), text.size()), static_cast<ssize_t>(text.size()));
    close(to);
    if (signal == SIGTERM) {
      EXPECT_EQ(daemon->Wait(), 0);
    } else {
      Ready();
      StandOwner& owner = Owner();
      owner.Ask(1, "service", 2000);
      Until([&] { return owner.final.count(1) > 0; });
      Kept();
      daemon->Kill();
    }
    owners.clear();
  }
}

// A new configuration, a drain in the new change log, and the end, all at once.
TEST_F(PlatformEndings, AReloadADrainAndTheEndTogether) {
  Start();
  StandChangeLog other(&loop);
  other.first = 2;
  other.Add(Entry(*machines[0], "draining"));
  StandOwner& owner = Owner();
  for (RequestUid uid = 1; uid <= 20; ++uid) owner.Ask(uid, "service", 2000, WriteHex(uid));
  Until([&] { return owner.final.size() == 20; });
  daemon->Halt();
  Configure(other.address);
  daemon->Signal(SIGHUP);
  daemon->Signal(SIGTERM);
  daemon->Signal(SIGCONT);
  Until([&] { return !other.asked.empty() && other.asked.back() == 2; });
  Told(*machines[0], 1);
  const std::size_t before = machines[0]->set_ups.size();
  for (RequestUid uid = 101; uid <= 140; ++uid) owner.Ask(uid, "service", 2000, WriteHex(uid));
  Until([&] { return owner.final.size() == 60; });
  EXPECT_EQ(machines[0]->set_ups.size(), before);
  EXPECT_EQ(daemon->Wait(), 0);
  Kept();
}

// ---- Owners who leave ----

// More than one read and one turn take: the close lies behind set-ups that nobody has read yet.
TEST_F(PlatformEndings, NothingOfAnOwnerWhoLeftIsSentOnWhenItIsRead) {
  Start();
  StandOwner& gone = Owner();
  gone.Test();
  Until([&] { return !gone.tested.empty(); });
  daemon->Halt();
  for (RequestUid uid = 1; uid <= 150; ++uid) gone.Ask(uid, "service", 3000, WriteHex(uid));
  gone.Leave();
  TimePasses(loop.Now() + 150'000);
  daemon->Signal(SIGCONT);
  StandOwner& usual = Owner();
  usual.Ask(1001, "service", 2000);
  Until([&] { return usual.final.count(1001) > 0; });
  EXPECT_EQ(SentOn(gone.mine), 0u);
  Kept();
}

// The close and the refusal of a machine come in one turn: there is no next attempt.
TEST_F(PlatformEndings, NoNextAttemptForAnOwnerWhoLeftBeforeTheRefusal) {
  Start();
  std::vector<std::pair<StandMachine*, RequestUid>> held;
  for (auto& m : machines) {
    StandMachine* machine = m.get();
    machine->reply = [machine, &held](const NodeMessage& s) {
      held.emplace_back(machine, s.uid);
      return std::string();
    };
  }
  StandOwner& owner = Owner();
  for (RequestUid uid = 1; uid <= 20; ++uid) owner.Ask(uid, "service", 3000, WriteHex(uid));
  Until([&] { return held.size() == 20; });
  daemon->Halt();
  owner.Leave();
  for (const auto& [machine, uid] : std::vector<std::pair<StandMachine*, RequestUid>>(held)) {
    machine->Say(machine->No(uid, 34, "no_cores"));
  }
  TimePasses(loop.Now() + 150'000);
  daemon->Signal(SIGCONT);
  StandOwner& usual = Owner();
  usual.Test();
  Until([&] { return !usual.tested.empty(); });
  usual.Ask(1001, "service", 2000);
  Until([&] { return held.size() > 20; });
  EXPECT_EQ(held.back().second, 1001u);
  held.back().first->Say(held.back().first->Yes(1001));
  Until([&] { return usual.final.count(1001) > 0; });
  EXPECT_EQ(SentOn(owner.mine), 20u);
  Kept();
}

// Word of a task whose owner closed that connection in the same turn, before or after it, goes to the owner's
// other one.
TEST_F(PlatformEndings, WordFindsTheOtherConnectionWhenTheFirstClosesInTheSameTurn) {
  Start();
  StandOwner& other = Owner();
  other.Ask(100, "service", 2000);
  for (RequestUid uid = 1; uid <= 6; ++uid) {
    StandOwner& first = Owner();
    first.Ask(uid, "service", 2000, WriteHex(uid));
    Until([&] { return first.final.count(uid) > 0 && other.final.count(100) > 0; });
    StandMachine* at = nullptr;
    for (auto& m : machines) {
      if (m->standing.count(uid) > 0) at = m.get();
    }
    ASSERT_NE(at, nullptr);
    other.final[uid] = first.final[uid];  // one owner: what was told to one is known to the other
    daemon->Halt();
    if (uid % 2 == 0) loop.Close(first.conn, true);
    at->End(uid, 16);
    if (uid % 2 != 0) loop.Close(first.conn, true);
    daemon->Signal(SIGCONT);
    Until([&] { return other.released.count(uid) > 0; });
  }
  Kept();
}

// ---- Many at once ----

TEST_F(PlatformEndings, SetUpsThatComeByteByByteOnManyConnections) {
  Start();
  std::vector<StandOwner*> slow;
  std::vector<std::string> lines;
  for (RequestUid uid = 1; uid <= 40; ++uid) {
    slow.push_back(&Owner());
    lines.push_back(R"({"kind":"launch","uid":")" + WriteHex(uid) +
                    R"(","meta":{"class":"batch","left":"2500","tenant":"acme","key":")" +
                    WriteHex(uid + 99) + R"(","extras":"cores:1;memory:2;service:)" + WriteHex(uid) +
                    R"("},"body":"x"})" + "\n");
  }
  for (std::size_t i = 0; i < lines[0].size(); ++i) {
    for (std::size_t o = 0; o < slow.size(); ++o) slow[o]->Raw(lines[o].substr(i, 1));
    Until([] { return true; });  // a turn
  }
  Until([&] {
    return std::all_of(slow.begin(), slow.end(), [](const StandOwner* o) { return !o->final.empty(); });
  });
  for (std::size_t o = 0; o < slow.size(); ++o) {
    EXPECT_EQ(slow[o]->final.count(o + 1), 1u);
    EXPECT_FALSE(slow[o]->closed);
  }
}

// Idle ones take every descriptor that owners may have while the change log is down: it comes back without a
// restart, and so do machines that have no connection yet.
TEST_F(PlatformEndings, IdleOwnersAndADeadChangeLogTakeNothingFromTheOthers) {
  sockets = 64;
  Start();
  const rlimit limit{64, 64};
  ASSERT_EQ(prlimit(daemon->pid(), RLIMIT_NOFILE, &limit, nullptr), 0);
  Until([&] { return !log.asked.empty(); });
  log.Listen(false);
  std::vector<StandOwner*> idle;
  for (int i = 0; i < 200; ++i) idle.push_back(&Owner());
  Until([&] {
    return std::count_if(idle.begin(), idle.end(), [](const StandOwner* o) { return o->closed; }) >= 160;
  });
  const std::size_t asked = log.asked.size();
  log.Add(Entry(*machines[0], "gone"));
  log.Listen(true);
  Until([&] { return log.asked.size() > asked && log.asked.back() == 2; });
  Told(*machines[0], 2);
  StandOwner& usual = Owner();
  for (RequestUid uid = 1; uid <= 30; ++uid) usual.Ask(uid, "service", 2000, WriteHex(uid));
  Until([&] { return usual.final.size() == 30; });
  std::size_t placed = 0;
  for (const auto& [uid, m] : usual.final) placed += m.kind == ClientMessageKind::kAnswer;
  EXPECT_EQ(placed, 30u);
  EXPECT_TRUE(machines[0]->set_ups.empty());
  Kept();
}

// The danger: who closes a connection counts it no more, and a peer that does not read kept its descriptor
// for 10 s.
TEST(LoopEndings, ConnectionsThatFlushAreBounded) {
  struct Accepting : event_loop::ConnectionHandler {
    void OnAccepted(event_loop::ListenerId, event_loop::ConnId conn, const event_loop::PeerInfo&) override {
      conns.push_back(conn);
    }
    std::vector<event_loop::ConnId> conns;
  } accepting;
  struct Peer : event_loop::ConnectionHandler {
    void OnClosed(event_loop::ConnId, const std::string&) override { ++closed; }
    int closed = 0;
  } peer;
  event_loop::EventLoop loop;
  const auto listener = loop.Listen("127.0.0.1:0", &accepting).value_or(0);
  const std::string address = "127.0.0.1:" + std::to_string(loop.PortOf(listener));
  for (int i = 0; i < 5; ++i) loop.PauseReading(loop.Connect(address, &peer), true);
  const auto until = [&loop](const std::function<bool()>& holds) {
    loop.SetAfterTurn([&] {
      if (holds()) loop.Stop();
    });
    loop.AddTimer(loop.Now() + kLimit, [&loop] { loop.Stop(); });
    loop.Run();
    return holds();
  };
  ASSERT_TRUE(until([&] { return accepting.conns.size() == 5; }));
  loop.SetMaxClosing(2);
  for (const event_loop::ConnId conn : accepting.conns) {
    loop.Send(conn, std::string(16 << 20, 'x'));  // more than the kernel takes
    loop.Close(conn, true);
    loop.Close(conn, true);  // again changes nothing
  }
  EXPECT_EQ(loop.closing_count(), 2u);
  EXPECT_TRUE(loop.PeerClosed(accepting.conns[0]));
  EXPECT_FALSE(loop.PeerClosed(accepting.conns[4]));
  loop.Close(accepting.conns[4], false);
  EXPECT_EQ(loop.closing_count(), 1u);
}

}  // namespace
}  // namespace mountflow::testing
