// A search for crossings: several schedulers' parts, machines, lists and owners under one virtual clock, with
// troubles drawn from a seed. The judge of the whole-path tests looks at what passed. A failure prints its
// seed:
//   MOUNTFLOW_SEED=N platform_search_test     plays that one; MOUNTFLOW_SEEDS=N plays N further ones
#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <random>

#include "tests/support/platform_fakes.hpp"
#include "tests/support/platform_fixture.hpp"

namespace mountflow::testing {
namespace {

using What = Passed::What;
constexpr ConnId kFirstMachineConn = 1000;  // FakePort counts from there; owners' connections stay below

class World {
 public:
  World(std::uint64_t seed, unsigned schedulers) : random_(seed), group_(schedulers) {
    for (unsigned m = 0; m < 2 * schedulers + 4; ++m)
      AddMachine("10.0." + std::to_string(m) + ".1:1", m / 2, 0);
    for (unsigned n = 0; n < schedulers; ++n) {
      nodes_.push_back(std::make_unique<Node>());
      Begin(n);
    }
  }
  void Play(Micros length) {
    const Micros end = now_ + length;
    for (unsigned n = 0; n < nodes_.size(); ++n) At(now_ + Draw(50), [this, n, end] { Ask(n, end); });
    for (Micros t = now_ + kSec; t < end; t += (300 + Draw(900)) * kMilli) At(t, [this] { Trouble(); });
    while (!queue_.empty() && queue_.begin()->first < end + 12 * kSec) {
      const auto first = queue_.begin();
      now_ = std::max(now_, first->first);
      const auto call = std::move(first->second);
      queue_.erase(first);
      call();
    }
  }
  std::vector<std::string> Judge() const {
    std::vector<std::string> all;
    JudgeRules rules;
    std::map<std::string, std::vector<Micros>> cold;
    std::map<std::string, Micros> started;
    for (const Machine& m : machines_) started[m.name] = m.started_at;
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      for (const std::string& breach : JudgePlatform(nodes_[n]->record, rules))
        all.push_back("scheduler " + std::to_string(n) + ": " + breach +
                      WhatPassed(nodes_[n]->record, breach));
      for (const Passed& p : nodes_[n]->record) {
        if (p.what == What::kOut && started[p.machine] != 0 && p.at < started[p.machine] + rules.cold)
          cold[p.machine].push_back(p.at);
      }
    }
    // Rule 4 holds for the sum of all processes: beyond the budget only so much is chance.
    const double borne = kColdBears + 2 * std::sqrt(kColdBears) + 2;
    for (auto& [name, sent] : cold) {
      std::sort(sent.begin(), sent.end());
      for (std::size_t i = 0, first = 0; i < sent.size(); ++i) {
        while (sent[first] + rules.cold_window < sent[i]) ++first;
        if (static_cast<double>(i - first + 1) <= borne) continue;
        all.push_back("rule 4: all together push over " + name);
        break;
      }
      cold_sent += sent.size();
    }
    return all;
  }
  // Of the set-up that a breach names.
  static std::string WhatPassed(const Record& record, const std::string& breach) {
    static const char* const kWords[] = {"asked", "given up", "gone", "final",   "out",
                                         "back",  "told",     "left", "released"};
    RequestUid uid = 0;
    std::string text;
    if (breach.size() < 24 || !ReadHex(breach.substr(8, 16), 16, &uid)) return text;
    for (const Passed& p : record) {
      if (p.uid != uid) continue;
      text += "\n    " + std::to_string(p.at % (1000 * kSec)) + " " + kWords[static_cast<int>(p.what)] + " " +
              p.machine + " " + std::to_string(p.cause) + " " + std::to_string(p.left);
    }
    return text;
  }
  std::size_t asked = 0, placed = 0, restarts = 0, gone = 0, replaced = 0;
  mutable std::size_t cold_sent = 0;
  Digest digest;  // of the bytes that all schedulers sent

 private:
  static constexpr double kColdBears = 12;
  struct Node {
    std::unique_ptr<FakePort> port;
    PlatformConfig config;
    std::unique_ptr<NodeConnections> links;
    std::unique_ptr<Dispatcher> tasks;
    std::unique_ptr<ClientConnections> owners;
    unsigned life = 0;
    Micros tick_at = kNever;
    ConnId seen = kFirstMachineConn, next_owner = 0;
    std::vector<ConnId> open;                     // owners' connections
    std::map<ConnId, ClientMessageReader> heard;  // by owners
    std::set<std::string> knows;                  // machines, by name
    Record record;
  };
  struct Wire {  // an open connection to a machine
    unsigned node, life;
    std::size_t machine;
    NodeMessageReader reader;
    std::set<RequestUid> out;  // set-ups without an answer
    bool spoke = false;
  };
  struct Machine {
    std::string name, address, status = "ready";
    unsigned cell = 0;
    Micros started_at = 0, silent_until = 0;
    bool alive = true;
  };
  struct Job {
    unsigned node = 0;
    ConnId conn = 0;
    bool answered = false, running = false, stands = false, over = false;
    std::size_t machine = 0;
    ConnId wire = 0;  // of its set-up
  };

  Micros Draw(Micros below) { return random_() % std::max<Micros>(1, below); }
  bool Chance(unsigned percent) { return Draw(100) < percent; }
  void At(Micros at, std::function<void()> call) { queue_.emplace(at, std::move(call)); }
  void AddMachine(const std::string& address, unsigned cell, Micros started_at) {
    Machine m;
    m.name = "m-" + std::to_string(machines_.size()), m.address = address, m.cell = cell,
    m.started_at = started_at;
    machines_.push_back(m);
    Tell(machines_.size() - 1);
  }
  ListedNode Entry(const Machine& m) const {
    ListedNode e;
    e.name = m.name, e.address = m.address, e.zone = "left", e.kind = "big", e.status = m.status,
    e.rack = m.cell;
    e.started_at = m.started_at, e.free_cores = 24, e.free_memory = 48;
    return e;
  }
  // The change log tells; each scheduler hears it up to 1.5 s later, in order.
  void Tell(std::size_t which) {
    const Machine m = machines_[which];
    NodeListChange change;
    change.nodes = {Entry(m)};
    Passed p{now_, What::kTold, 0, m.name};
    p.cause = m.status == "ready" ? 0 : m.status == "draining" ? 1 : 2;
    p.cell = m.cell, p.started_at = m.started_at;
    const Micros late = Draw(1'500'000);
    heard_at_ = std::max(heard_at_ + 1, now_ + late);
    for (unsigned n = 0; n < nodes_.size(); ++n) {
      nodes_[n]->record.push_back(p);
      const unsigned life = nodes_[n]->life;
      At(heard_at_, [this, n, life, change] {
        if (nodes_[n]->life != life || !nodes_[n]->tasks) return;
        nodes_[n]->knows.insert(change.nodes[0].name);
        nodes_[n]->tasks->ApplyNodeList(now_, change);
        Step(n);
      });
    }
  }

  // ---- Schedulers ----

  void Begin(unsigned n) {
    Node& node = *nodes_[n];
    std::string text = kPlatformConfig;
    const auto put = [&text](const std::string& from, const std::string& to) {
      text.replace(text.find(from), from.size(), to);
    };
    put("\"group_size\":2,\"self_index\":0",
        "\"group_size\":" + std::to_string(group_) + ",\"self_index\":" + std::to_string(n));
    put("\"drain_grace_us\":2000000",
        R"("drain_grace_us":2000000,"cold_us":17000000,"cold_from":0.26,"tip_after_us":3000000,"fall_multiple":2.0)");
    put("\"owner_wait_us\":3000000", "\"owner_wait_us\":3000000,\"cold_bears\":12.0");
    put("\"together_max\":[0,3]", "\"together_max\":[0,3]");
    node.port = std::make_unique<FakePort>();
    node.port->digest = &digest;
    NodeConnectionOptions options;
    if (group_ % 2 == 0) options.max_connections = 4;   // fewer than machines
    node.seen = node.port->next += 100'000 * node.life;  // no number comes again
    node.config = ReadPlatformConfig(text, nullptr, nullptr);
    ASSERT_TRUE(node.config.ok()) << node.config.errors[0];
    node.links = std::make_unique<NodeConnections>(options, node.port.get());
    node.tasks = std::make_unique<Dispatcher>(node.config.wire, random_(), node.links.get());
    node.owners = std::make_unique<ClientConnections>(40, node.tasks.get(), node.port.get());
    NodeListChange known;
    known.whole = true;
    for (const Machine& m : machines_) {
      Passed p{now_, What::kTold, 0, m.name};
      p.cell = m.cell, p.started_at = m.started_at,
      p.cause = m.status == "ready"  ? 0
                : m.status == "gone" ? 2
                                     : 1;
      if (node.life == 0) node.record.push_back(p);
      if (m.status != "gone") known.nodes.push_back(Entry(m));
      node.knows.insert(m.name);
    }
    node.tasks->Start(now_, {known});
    node.next_owner = 0;
    for (int i = 0; i < 3; ++i) Connect(n);
    for (const auto& [uid, job] : jobs_) {  // what runs is handed over
      if (job.node == n && job.running)
        node.owners->OnBytes(now_, node.open[0],
                             PlatformRig::Launch(uid, "service", 0, ";at:" + machines_[job.machine].name));
    }
    Step(n);
  }
  void Kill(unsigned n) {
    Node& node = *nodes_[n];
    ++restarts;
    ++node.life;
    for (auto it = wires_.begin(); it != wires_.end();) {
      if (it->second.node == n) GiveUpAll(it->second);
      it = it->second.node == n ? wires_.erase(it) : std::next(it);
    }
    for (auto& [uid, job] : jobs_) {
      if (job.node == n && !job.answered) Gone(uid, job);
    }
    node.owners.reset(), node.tasks.reset(), node.links.reset(), node.port.reset();
    node.open.clear(), node.heard.clear();
    node.tick_at = kNever;
    At(now_ + 300 * kMilli, [this, n] { Begin(n); });
  }
  void Gone(RequestUid uid, Job& job) {
    job.answered = true;
    nodes_[job.node]->record.push_back({now_, What::kGone, uid});
  }
  void GiveUpAll(Wire& wire) {
    for (const RequestUid uid : std::exchange(wire.out, {})) Back(wire, uid, 41);
  }
  void Back(const Wire& wire, RequestUid uid, int cause) {
    Passed p{now_, What::kBack, uid, was_out_[uid]};
    p.cause = cause;
    nodes_[wire.node]->record.push_back(p);
  }
  // After every call into a scheduler: what it sent, opened and closed; its next timer.
  void Step(unsigned n) {
    Node& node = *nodes_[n];
    node.tasks->HandleNodeEvents(now_);
    node.owners->DeliverNotifications(now_);
    const unsigned life = node.life;
    for (const ConnId conn : std::exchange(node.port->closed, {})) {
      if (const auto wire = wires_.find({n, conn}); wire != wires_.end()) {
        GiveUpAll(wire->second);
        wires_.erase(wire);
      }
      std::erase(node.open, conn);
    }
    for (auto& [conn, bytes] : node.port->sent) {
      if (bytes.empty()) continue;
      const std::string text = std::exchange(bytes, {});
      if (conn < kFirstMachineConn) {
        const bool told = node.port->hung_up.count(conn) > 0;  // that the owner has closed it
        At(now_ + 200 + Draw(600),
           [this, n, life, conn = conn, text, told] { ToOwner(n, life, conn, text, told); });
        continue;
      }
      const auto wire = wires_.find({n, conn});
      if (wire == wires_.end()) continue;
      NodeMessageReader sent;  // an attempt is out until its end is written
      sent.Feed(text);
      for (NodeMessage m; sent.Next(&m) == NodeMessageReader::State::kMessage;) {
        if (m.kind == NodeMessageKind::kStop && wire->second.out.erase(m.uid) > 0)
          Back(wire->second, m.uid, 41);
      }
      wire_at_[{n, conn}] = std::max(wire_at_[{n, conn}] + 1, now_ + 100 + Draw(900));
      At(wire_at_[{n, conn}], [this, n, life, conn = conn, text] { ToMachine(n, life, conn, text); });
    }
    for (; node.seen < node.port->next; ++node.seen) Open(n, life, node.seen + 1);
    const Micros due = std::min({node.tasks->NextDue(), node.links->NextDue(), node.owners->NextDue()});
    if (due == kNever || due >= node.tick_at) return;
    node.tick_at = std::max(due, now_ + 1);
    At(node.tick_at, [this, n, life] {
      Node& again = *nodes_[n];
      if (again.life != life || again.tick_at > now_) return;
      again.tick_at = kNever;
      again.tasks->Tick(now_);
      again.links->Tick(now_);
      again.owners->Tick(now_);
      Step(n);
    });
  }

  // ---- Machines ----

  // A machine at the address of another one, of which the scheduler was not told yet, is the other one to it.
  std::string KnownAs(unsigned n, std::size_t which) const {
    for (std::size_t m = which + 1; m-- > 0;) {
      if (machines_[m].address == machines_[which].address && nodes_[n]->knows.count(machines_[m].name) > 0)
        return machines_[m].name;
    }
    return machines_[which].name;
  }
  std::size_t Listening(const std::string& address) const {
    for (std::size_t m = machines_.size(); m-- > 0;) {
      if (machines_[m].alive && machines_[m].address == address) return m;
    }
    return machines_.size();
  }
  void Open(unsigned n, unsigned life, ConnId conn) {
    const auto to = nodes_[n]->port->to.find(conn);
    if (to == nodes_[n]->port->to.end()) return;
    const std::string address = to->second;
    const Micros late = Chance(5) ? Draw(1'000'000) : 300 + Draw(3'000);
    At(now_ + late, [this, n, life, conn, address] {
      Node& node = *nodes_[n];
      if (node.life != life || node.port->to.count(conn) == 0) return;
      const std::size_t m = Listening(address);
      if (m < machines_.size() && machines_[m].silent_until > now_) return;
      if (m == machines_.size()) {
        node.port->to.erase(conn);
        node.links->OnClosed(now_, conn, true);
      } else {
        wires_[{n, conn}] = {n, life, m, {}, {}, false};
        node.links->OnConnected(now_, conn);
      }
      Step(n);
    });
  }
  void ToMachine(unsigned n, unsigned life, ConnId conn, const std::string& text) {
    const auto at = wires_.find({n, conn});
    if (at == wires_.end() || at->second.life != life) return;
    Wire& wire = at->second;
    const Micros awake =
        std::max(now_, machines_[wire.machine].silent_until);  // what came meanwhile lies in its kernel
    if (!std::exchange(wire.spoke, true)) {  // who connected is known now: ends are told again
      At(awake, [this, n, conn] { TellAgain(n, conn); });
    }
    wire.reader.Feed(text);
    for (NodeMessage m; wire.reader.Next(&m) == NodeMessageReader::State::kMessage;) {
      if (m.kind == NodeMessageKind::kHealthCheck) {
        Say(n, conn, MachineBytes(NodeMessageKind::kHealthCheckReply, m.uid, 1));
      } else if (m.kind == NodeMessageKind::kStop) {
        if (wire.out.erase(m.uid) > 0) Back(wire, m.uid, 41);
        Job& job = jobs_[m.uid];
        if (!job.stands || job.machine != wire.machine) continue;
        Over(m.uid, job, 31);
        Say(n, conn, MachineBytes(NodeMessageKind::kStop, m.uid, 31));
      } else if (m.kind == NodeMessageKind::kLaunch) {
        Passed out{now_, What::kOut, m.uid, KnownAs(n, wire.machine)};
        out.task_class = m.Text(kClass);
        nodes_[n]->record.push_back(out);
        was_out_[m.uid] = out.machine;
        wire.out.insert(m.uid);
        const Micros roll = Draw(100);
        At(awake + (5 + Draw(40)) * kMilli,
           [this, n, conn, uid = m.uid, roll] { Answer(n, conn, uid, roll); });
      }
    }
  }
  void Answer(unsigned n, ConnId conn, RequestUid uid, Micros roll) {
    const auto at = wires_.find({n, conn});
    if (at == wires_.end() || at->second.out.count(uid) == 0) return;  // given up
    Wire& wire = at->second;
    if (roll < 3) return Reset(n, conn);
    if (roll < 5) return;  // no word at all
    wire.out.erase(uid);
    if (roll < 15) {
      Back(wire, uid, 34);
      return Say(n, conn, MachineBytes(NodeMessageKind::kStop, uid, 34, {{kSaid, "no_cores"}}));
    }
    Back(wire, uid, 0);
    Job& job = jobs_[uid];
    job.stands = true, job.machine = wire.machine, job.wire = conn;
    Say(n, conn, MachineBytes(NodeMessageKind::kAnswer, uid, -1, {{kDescription, "yes"}}));
    At(now_ + 300 * kMilli + Draw(6 * kSec), [this, uid, machine = wire.machine] {
      Job& ends = jobs_[uid];
      if (!ends.stands || ends.machine != machine) return;
      Over(uid, ends, 16);
      again_[{ends.node, machine}].insert(uid);
      if (wires_.count({ends.node, ends.wire}) > 0)
        return Say(ends.node, ends.wire, MachineBytes(NodeMessageKind::kStop, uid, 16));
      for (const auto& [key, open] : wires_) {
        if (key.first == ends.node && open.machine == machine)
          return Say(key.first, key.second, MachineBytes(NodeMessageKind::kStop, uid, 16));
      }
    });
  }
  void Over(RequestUid uid, Job& job, int cause) {
    job.stands = false;
    Passed p{now_, What::kLeft, uid, machines_[job.machine].name};
    p.cause = job.over ? 31 : cause;  // no word is owed to an owner who has ended it
    nodes_[job.node]->record.push_back(p);
  }
  void Say(unsigned n, ConnId conn, const std::string& bytes) {
    const unsigned life = nodes_[n]->life;
    const Micros awake = std::max(now_, machines_[wires_.at({n, conn}).machine].silent_until);
    say_at_[{n, conn}] = std::max(say_at_[{n, conn}] + 1, awake + 100 + Draw(900));
    At(say_at_[{n, conn}], [this, n, life, conn, bytes, machine = wires_.at({n, conn}).machine] {
      if (nodes_[n]->life != life || wires_.count({n, conn}) == 0) {  // it knows that this was not taken
        NodeMessageReader lost;
        lost.Feed(bytes);
        for (NodeMessage m; lost.Next(&m) == NodeMessageReader::State::kMessage;) {
          if (m.kind != NodeMessageKind::kStop || m.cause != 16) continue;
          again_[{n, machine}].insert(m.uid);
          for (const auto& [key, open] : wires_) {
            if (key.first != n || open.machine != machine) continue;
            At(now_ + 100, [this, n, conn = key.second] { TellAgain(n, conn); });
          }
        }
        return;
      }
      nodes_[n]->links->OnBytes(now_, conn, bytes);
      Step(n);
    });
  }
  void TellAgain(unsigned n, ConnId conn) {
    const auto open = wires_.find({n, conn});
    if (open == wires_.end()) return;
    for (const RequestUid uid : std::exchange(again_[{n, open->second.machine}], {}))
      Say(n, conn, MachineBytes(NodeMessageKind::kStop, uid, 16));
  }
  void Reset(unsigned n, ConnId conn) {
    const auto at = wires_.find({n, conn});
    GiveUpAll(at->second);
    const unsigned life = at->second.life;
    wires_.erase(at);
    At(now_ + 100 + Draw(900), [this, n, life, conn] {
      if (nodes_[n]->life != life || nodes_[n]->port->to.erase(conn) == 0) return;
      nodes_[n]->links->OnClosed(now_, conn, false);
      Step(n);
    });
  }

  // ---- Owners ----

  void Connect(unsigned n) {
    Node& node = *nodes_[n];
    node.open.push_back(++node.next_owner);
    node.owners->Accept(now_, node.next_owner, "10.9.0.1:5");
  }
  void Ask(unsigned n, Micros end) {
    if (now_ >= end) return;
    At(now_ + (10 + Draw(60)) * kMilli, [this, n, end] { Ask(n, end); });
    Node& node = *nodes_[n];
    if (!node.owners) return;
    if (node.open.size() < 3) Connect(n);
    const ConnId conn = node.open[Draw(node.open.size())];
    const RequestUid uid = ++next_uid_ << 8 | 1;
    const bool batch = Chance(10);
    const int left = 300 + static_cast<int>(Draw(2500));
    jobs_[uid] = {n, conn, false, false, false, false, 0, 0};
    ++asked;
    Passed p{now_, What::kAsked, uid};
    p.left = static_cast<Micros>(left) * kMilli, p.task_class = batch ? "batch" : "service",
    p.service = "b4d65521";
    node.record.push_back(p);
    // A scheduler that is behind reads it, and a close after it, a while later.
    const unsigned life = node.life;
    const Micros read = now_ + 200 + (Chance(10) ? Draw(40'000) : Draw(600));
    At(read, [this, n, life, conn, uid, batch, left] {
      if (nodes_[n]->life != life || !nodes_[n]->owners->HasConnection(conn)) return;
      nodes_[n]->owners->OnBytes(now_, conn, PlatformRig::Launch(uid, batch ? "batch" : "service", left));
      Step(n);
    });
    if (Chance(5)) {
      At(read + Draw(200'000), [this, n, life, conn, uid] { Withdraw(n, life, conn, uid); });
    }
    if (Chance(3)) Leave(n, conn, Draw(300'000));
  }
  void Withdraw(unsigned n, unsigned life, ConnId conn, RequestUid uid) {
    Job& job = jobs_[uid];
    if (nodes_[n]->life != life || !nodes_[n]->owners->HasConnection(conn) || job.over) return;
    nodes_[n]->record.push_back({now_, What::kGone, uid});
    job.answered = job.over = true;
    job.running = false;
    nodes_[n]->owners->OnBytes(now_, conn, PlatformRig::Stop(uid));
    Step(n);
  }
  void Leave(unsigned n, ConnId conn, Micros behind) {
    Node& node = *nodes_[n];
    const unsigned life = node.life;
    std::erase(node.open, conn);
    ++gone;
    for (auto& [uid, job] : jobs_) {
      if (job.node == n && job.conn == conn && !job.answered) Gone(uid, job);
    }
    node.heard.erase(conn);
    At(now_ + 200, [this, n, life, conn] {
      if (nodes_[n]->life == life) nodes_[n]->port->hung_up.insert(conn);
    });
    At(now_ + 200 + behind, [this, n, life, conn] {
      if (nodes_[n]->life != life) return;
      nodes_[n]->owners->OnClosed(now_, conn);
      Step(n);
    });
  }
  void ToOwner(unsigned n, unsigned life, ConnId conn, const std::string& text, bool told) {
    Node& node = *nodes_[n];
    if (node.life != life) return;
    const bool closed = std::count(node.open.begin(), node.open.end(), conn) == 0;
    ClientMessageReader crossed, &reader = closed ? crossed : node.heard[conn];
    reader.Feed(text);
    for (ClientMessage m; reader.Next(&m) == ClientMessageReader::State::kMessage;) {
      if (m.kind == ClientMessageKind::kHealthCheckReply) continue;
      Job& job = jobs_[m.uid];
      if (closed) {  // the owner closed under this word: on the wire they cannot see each other
        if (job.running && !told) job.running = false, node.record.push_back({now_, What::kGone, m.uid});
        continue;
      }
      if (!job.answered) {
        job.answered = true;
        job.running = m.kind == ClientMessageKind::kAnswer;
        placed += job.running;
        Passed p{now_, What::kFinal, m.uid};
        p.cause = job.running ? 0 : m.cause.value_or(-1);
        node.record.push_back(p);
      } else if (job.running && m.kind == ClientMessageKind::kStop) {
        // Its machine may have told the end while this was under way; what stands and is released is cut.
        if (job.stands) Over(m.uid, job, 16);
        job.running = false, job.over = true;
        node.record.push_back({now_, What::kReleased, m.uid});
      }
    }
  }

  void Trouble() {
    const std::size_t which = Draw(machines_.size());
    Machine& m = machines_[which];
    switch (Draw(6)) {
      case 0:
        if (nodes_[0]->life < 3 && Chance(50)) {
          const unsigned n = static_cast<unsigned>(Draw(nodes_.size()));
          if (nodes_[n]->owners) Kill(n);
        }
        break;
      case 1:  // replaced: the process dies, a new machine has its address, cold; the list says so later
        if (!m.alive || m.silent_until > now_) break;
        ++replaced;
        m.alive = false, m.status = "gone";
        Die(which);
        Tell(which);
        AddMachine(m.address, machines_[which].cell, now_ + 1);
        break;
      case 2:
        if (m.alive && m.silent_until < now_) m.silent_until = now_ + kSec + Draw(4 * kSec);
        break;
      case 3:
        if (m.alive && m.status == "ready") m.status = "draining", Tell(which);
        break;
      default:
        for (const auto& [key, wire] : std::map<std::pair<unsigned, ConnId>, Wire>(wires_)) {
          if (wire.machine == which) Reset(key.first, key.second);
        }
        break;
    }
  }
  void Die(std::size_t which) {
    for (auto& [uid, job] : jobs_) {
      if (job.stands && job.machine == which) Over(uid, job, 41);
    }
    for (const auto& [key, wire] : std::map<std::pair<unsigned, ConnId>, Wire>(wires_)) {
      if (wire.machine == which) Reset(key.first, key.second);
    }
  }

  std::mt19937_64 random_;
  unsigned group_;
  Micros now_ = 1'800'000'000 * kSec, heard_at_ = 0;
  RequestUid next_uid_ = 0;
  std::multimap<Micros, std::function<void()>> queue_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<Machine> machines_;
  std::map<std::pair<unsigned, ConnId>, Wire> wires_;
  std::map<std::pair<unsigned, ConnId>, Micros> wire_at_, say_at_;  // bytes of a connection keep their order
  std::map<std::pair<unsigned, std::size_t>, std::set<RequestUid>> again_;
  std::map<RequestUid, Job> jobs_;
  std::map<RequestUid, std::string> was_out_;  // where, as its scheduler names it
};

// It is a guard too: a digest of all bytes sent over twelve seeds. A change of names or structure must leave
// it; a change of what is sent renews it and says why.
TEST(PlatformSearch, NoSeedBreaksARule) {
  constexpr std::uint64_t kRecorded = 1225784974157011051u;
  Digest sent;
  const char* one = std::getenv("MOUNTFLOW_SEED");
  const char* more = std::getenv("MOUNTFLOW_SEEDS");
  const std::uint64_t first = one != nullptr ? std::strtoull(one, nullptr, 10) : 1;
  const std::uint64_t last = one != nullptr ? first : more != nullptr ? std::strtoull(more, nullptr, 10) : 12;
  std::size_t asked = 0, placed = 0, restarts = 0, gone = 0, replaced = 0, cold = 0;
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    World world(seed, 2 + seed % 3);
    world.Play(15 * kSec);
    for (const std::string& breach : world.Judge()) ADD_FAILURE() << "seed " << seed << ": " << breach;
    sent.Add(world.digest.Value());
    asked += world.asked, placed += world.placed, restarts += world.restarts, gone += world.gone;
    replaced += world.replaced, cold += world.cold_sent;
  }
  std::printf(
      "asked %zu, placed %zu, restarts %zu, owners gone %zu, machines replaced %zu, sent to cold ones %zu\n",
      asked, placed, restarts, gone, replaced, cold);
  if (one != nullptr || more != nullptr) return;
  EXPECT_EQ(sent.Value(), kRecorded);
  EXPECT_GT(placed * 2, asked);
  EXPECT_GT(restarts, 3u);
  EXPECT_GT(gone, 20u);
  EXPECT_GT(replaced, 10u);
  EXPECT_GT(cold, 20u);
}

}  // namespace
}  // namespace mountflow::testing
