// Stand-ins for what surrounds the platform's program, on loopback, written from the protocol's pages; a
// record of what passed on their sockets; and a judge of the five rules over that record alone.
#ifndef MOUNTFLOW_TESTS_SUPPORT_PLATFORM_FAKES_HPP_
#define MOUNTFLOW_TESTS_SUPPORT_PLATFORM_FAKES_HPP_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "event_loop/event_loop.hpp"
#include "http/message.hpp"
#include "platform/client_codec.hpp"
#include "platform/node_codec.hpp"

namespace mountflow::testing {

using namespace platform;

struct Passed {
  enum class What { kAsked, kGivenUp, kGone, kFinal, kOut, kBack, kTold, kLeft, kReleased };
  Micros at = 0;
  What what = What::kAsked;
  RequestUid uid = 0;
  std::string machine{};     // kOut, kBack, kTold
  int cause = -1;            // kFinal: 0 placed, else the cause. kBack: 0 stands, 41 it may have run
  Micros left = 0;           // kAsked
  std::string task_class{};  // kAsked, kOut
  std::string service{};     // kAsked
  unsigned cell = 0;         // kTold: the machine's cell; `cause` 0 ready, 1 draining, 2 gone
  Micros started_at = 0;     // kTold
};
using Record = std::vector<Passed>;

struct JudgeRules {
  Micros slack = 55'000, drain_grace_period = 2'050'000, window = 5'000'000, cold = 17'000'000,
         cold_window = 3'000'000, gone = 100'000, release = 8'000'000;
  std::size_t cold_bears = 12, max_per_domain = 3;
  std::string keyed = "service", spread = "batch";
};

// What the judge knows of a set-up and of an attempt. (Inside the function GCC 12 fails on them.)
struct JudgedSetUp {
  Micros at, left;
  std::string service, task_class;
  bool over = false;
  Micros gone_at = 0;  // its owner closed the connection then
};
struct JudgedAttempt {
  std::string machine;
  Micros at;
  bool may_have_run;
};

// One line for each breach; empty: the rules were kept.
inline std::vector<std::string> JudgePlatform(const Record& record, const JudgeRules& rules = {}) {
  using What = Passed::What;
  std::vector<std::string> breaches;
  std::map<RequestUid, JudgedSetUp> asked;
  std::map<RequestUid, std::string> out;                   // where an attempt is out
  std::map<RequestUid, std::vector<JudgedAttempt>> tries;  // that are no longer out
  std::map<RequestUid, std::string> held;  // attempts and tasks of the class that is kept spread
  std::map<std::string, Passed> told;
  std::map<std::string, std::vector<Micros>> cold;
  std::map<RequestUid, Micros> ended;  // tasks that are over, and whose owner was not told yet
  std::set<RequestUid> placed;         // whose owner was told that they stand
  const auto breach = [&](int rule, RequestUid uid, const std::string& what) {
    breaches.push_back("rule " + std::to_string(rule) + ": " + WriteHex(uid) + ": " + what);
  };
  for (const Passed& p : record) {
    switch (p.what) {
      case What::kAsked:
        asked[p.uid] = {p.at, p.left, p.service, p.task_class};
        break;
      case What::kGivenUp:
        asked[p.uid].over = true;
        break;
      case What::kGone:  // no answer is owed, and no attempt may begin more than an instant later
        if (JudgedSetUp& a = asked[p.uid]; a.gone_at == 0) a.gone_at = p.at;
        break;
      case What::kReleased:
        if (ended.erase(p.uid) == 0) breach(1, p.uid, "released twice, or while it stands");
        break;
      case What::kFinal: {
        const auto it = asked.find(p.uid);
        if (it == asked.end() || it->second.over) {
          breach(1, p.uid, "a second answer, or one nobody asked for");
          break;
        }
        it->second.over = true;
        if (p.cause == 0) placed.insert(p.uid);
        if (p.at > it->second.at + it->second.left + rules.slack) breach(1, p.uid, "answered late");
        bool ran = false;
        for (const JudgedAttempt& a : tries[p.uid]) ran |= a.may_have_run;
        if ((p.cause == 34 || p.cause == 42 || p.cause == 102) && ran && it->second.task_class == rules.keyed)
          breach(2, p.uid, "refused, and may have run");
        break;
      }
      case What::kTold:
        told[p.machine] = p;
        break;
      case What::kOut: {
        if (out.count(p.uid) > 0) breach(2, p.uid, "two attempts out together");
        const auto a = asked.find(p.uid);
        if (a == asked.end() || a->second.over) breach(1, p.uid, "sent after its end");
        if (a != asked.end() && a->second.gone_at != 0 && p.at > a->second.gone_at + rules.gone)
          breach(1, p.uid, "begun after its owner left");
        const Passed& machine = told[p.machine];
        for (const JudgedAttempt& earlier : tries[p.uid]) {
          if (!earlier.may_have_run || p.task_class != rules.keyed) continue;
          if (told[earlier.machine].cell != machine.cell || p.at > earlier.at + rules.window) {
            breach(2, p.uid, "sent to machines that do not discard repeats");
          }
        }
        if (machine.cause > 0 && p.at > machine.at + rules.drain_grace_period)
          breach(3, p.uid, "sent to " + p.machine);
        if (machine.started_at != 0 && p.at < machine.started_at + rules.cold) {
          std::vector<Micros>& sent = cold[p.machine];
          sent.push_back(p.at);
          std::size_t in_window = 0;
          for (const Micros at : sent) in_window += at + rules.cold_window > p.at;
          if (in_window > rules.cold_bears) breach(4, p.uid, "pushes over " + p.machine);
        }
        if (p.task_class == rules.spread && a != asked.end()) {
          std::size_t together = 1;
          for (const auto& [uid, where] : held) {
            together += asked[uid].service == a->second.service && told[where].cell == machine.cell;
          }
          if (together > rules.max_per_domain) breach(5, p.uid, "too many of its service in one cell");
          held[p.uid] = p.machine;
        }
        out[p.uid] = p.machine;
        break;
      }
      case What::kBack:
        if (out.count(p.uid) > 0 && out[p.uid] == p.machine) {
          if (p.cause != 0) tries[p.uid].push_back({p.machine, p.at, p.cause != 34 && p.cause != 102});
          out.erase(p.uid);
        }
        if (p.cause != 0) held.erase(p.uid);
        break;
      case What::kLeft:
        held.erase(p.uid);
        if (p.cause != 31) ended[p.uid] = p.at;
        break;
    }
  }
  for (const auto& [uid, a] : asked) {
    if (!a.over && a.gone_at == 0) breach(1, uid, "no answer");
  }
  for (const auto& [uid, at] : ended) {
    if (record.back().at > at + rules.release && asked[uid].gone_at == 0 && placed.count(uid) > 0)
      breach(1, uid, "over, and its owner was not told");
  }
  return breaches;
}

// A machine: listens, and answers each set-up as `reply` says. Without one it says yes.
class StandMachine : public event_loop::ConnectionHandler {
 public:
  StandMachine(event_loop::EventLoop* loop, std::string name, unsigned cell, Record* record)
      : name(std::move(name)), cell(cell), loop_(loop), record_(record) {
    listener_ = loop_->Listen("127.0.0.1:0", this).value_or(0);
    address = "127.0.0.1:" + std::to_string(loop_->PortOf(listener_));
  }
  void Die() {  // the process: connections are reset, new ones refused
    if (listener_ != 0) loop_->CloseListener(std::exchange(listener_, 0));
    for (const auto& [conn, reader] : conns) loop_->Abort(conn);
    conns.clear();
  }
  void Say(const std::string& bytes) {
    if (!conns.empty()) loop_->Send(conns.rbegin()->first, bytes);
  }
  void End(RequestUid uid, int cause) {
    standing.erase(uid);
    Note(Passed::What::kLeft, uid, cause);
    NodeMessage stop;
    stop.kind = NodeMessageKind::kStop;
    stop.uid = uid;
    stop.cause = static_cast<std::uint8_t>(cause);
    Say(EncodeNodeMessage(stop));
  }
  std::string Yes(RequestUid uid) {
    standing.insert(uid);
    Note(Passed::What::kBack, uid, 0);
    NodeMessage yes;
    yes.kind = NodeMessageKind::kAnswer;
    yes.uid = uid;
    yes.params[kDescription] = "yes from " + name;
    return EncodeNodeMessage(yes);
  }
  std::string No(RequestUid uid, int cause, const std::string& said = "") {
    Note(Passed::What::kBack, uid, cause);
    NodeMessage no;
    no.kind = NodeMessageKind::kStop;
    no.uid = uid;
    no.cause = static_cast<std::uint8_t>(cause);
    if (!said.empty()) no.params[kSaid] = said;
    return EncodeNodeMessage(no);
  }

  void OnAccepted(event_loop::ListenerId, event_loop::ConnId conn, const event_loop::PeerInfo&) override {
    ++accepted;
    conns[conn];
    if (reset_new > 0) {
      --reset_new;
      conns.erase(conn);
      loop_->Abort(conn);
    }
  }
  void OnReceived(event_loop::ConnId conn, std::string_view bytes) override {
    if (silent) return;
    NodeMessageReader& reader = conns[conn];
    reader.Feed(bytes);
    NodeMessage m;
    while (conns.count(conn) > 0 && reader.Next(&m) == NodeMessageReader::State::kMessage) {
      if (m.kind == NodeMessageKind::kHealthCheck) {
        m.kind = NodeMessageKind::kHealthCheckReply;
        m.cause = 1;
        loop_->Send(conn, EncodeNodeMessage(m));
      } else if (m.kind == NodeMessageKind::kLaunch) {
        Passed out{loop_->Now(), Passed::What::kOut, m.uid, name};
        out.task_class = m.Text(kClass);
        record_->push_back(out);
        set_ups.push_back(m);
        const std::string answer = reply ? reply(m) : Yes(m.uid);
        if (answer == "reset") {
          Note(Passed::What::kBack, m.uid, 41);
          conns.erase(conn);
          loop_->Abort(conn);
          return;
        }
        loop_->Send(conn, answer);
      } else if (m.kind == NodeMessageKind::kStop) {
        stops.push_back(m.uid);
        if (standing.erase(m.uid) > 0) {
          Note(Passed::What::kLeft, m.uid, 31);
          loop_->Send(conn, No(m.uid, 31));
        } else {
          Note(Passed::What::kBack, m.uid, 41);  // given up: it may have run
        }
      }
    }
  }
  void OnClosed(event_loop::ConnId conn, const std::string&) override { conns.erase(conn); }

  std::string name, address;
  unsigned cell;
  std::function<std::string(const NodeMessage&)> reply;
  bool silent = false;
  int reset_new = 0, accepted = 0;
  std::map<event_loop::ConnId, NodeMessageReader> conns;
  std::vector<NodeMessage> set_ups;
  std::vector<RequestUid> stops;
  std::set<RequestUid> standing;

 private:
  void Note(Passed::What what, RequestUid uid, int cause) {
    Passed passed{loop_->Now(), what, uid, name};
    passed.cause = cause;
    record_->push_back(passed);
  }
  event_loop::EventLoop* loop_;
  Record* record_;
  event_loop::ListenerId listener_ = 0;
};

// The change log: numbered events, long poll.
class StandChangeLog : public event_loop::ConnectionHandler {
 public:
  explicit StandChangeLog(event_loop::EventLoop* loop) : loop_(loop) {
    listener_ = loop_->Listen("127.0.0.1:0", this).value_or(0);
    address = "127.0.0.1:" + std::to_string(loop_->PortOf(listener_));
  }
  void Add(const std::string& entry, bool whole = false) {
    events.push_back(R"({"seq":)" + std::to_string(first + events.size()) +
                     R"(,"fleet":{"index":1,"snapshot":)" + (whole ? "true" : "false") + R"(,"endpoints":[)" +
                     entry + "]}}");
    const auto waiting = std::exchange(waiting_, {});
    for (const auto& [conn, since] : waiting) Answer(conn, since);
  }
  std::string Known() const {
    std::string all;
    for (const std::string& e : events) all += (all.empty() ? "" : ",") + e;
    return R"({"seq":)" + std::to_string(first + events.size() - 1) + R"(,"results":[)" + all + "]}";
  }
  void OnAccepted(event_loop::ListenerId, event_loop::ConnId conn, const event_loop::PeerInfo&) override {
    readers_.emplace(conn, std::make_unique<http::Reader>(http::Reader::Side::kRequests, 1 << 10));
  }
  void OnReceived(event_loop::ConnId conn, std::string_view bytes) override {
    http::Reader& reader = *readers_.at(conn);
    reader.Feed(bytes);
    while (!reader.messages().empty()) {
      const std::uint64_t since = std::stoull(reader.messages().front().Query("since", "0"));
      reader.messages().pop_front();
      asked.push_back(since);
      if (since + 1 < first + events.size()) {
        Answer(conn, since);
      } else {
        waiting_[conn] = since;
        loop_->AddTimer(loop_->Now() + 1'000'000, [this, conn, since] {
          if (waiting_.erase(conn) > 0) Answer(conn, since);
        });
      }
    }
  }
  void OnClosed(event_loop::ConnId conn, const std::string&) override {
    waiting_.erase(conn);
    readers_.erase(conn);
  }

  // Nobody listens there any more, or again; what is open is closed.
  void Listen(bool up) {
    if (up) {
      listener_ = loop_->Listen(address, this).value_or(0);
    } else {
      loop_->CloseListener(listener_);
      const auto readers = std::exchange(readers_, {});
      for (const auto& [conn, reader] : readers) loop_->Abort(conn);
      waiting_.clear();
    }
  }

  std::string address;
  std::uint64_t first = 1;
  std::vector<std::string> events;
  std::vector<std::uint64_t> asked;
  int cut_next = 0;  // so many replies are cut in the middle

 private:
  void Answer(event_loop::ConnId conn, std::uint64_t since) {
    std::string all;
    for (std::size_t i = since + 1 > first ? since + 1 - first : 0; i < events.size(); ++i) {
      all += (all.empty() ? "" : ",") + events[i];
    }
    const std::string body =
        R"({"seq":)" + std::to_string(first + events.size() - 1) + R"(,"results":[)" + all + "]}";
    const std::string bytes = http::WriteReply(200, {}, body, true);
    if (cut_next > 0) {
      --cut_next;
      loop_->Send(conn, bytes.substr(0, bytes.size() - 9));
      loop_->Close(conn, true);
      OnClosed(conn, "");
      return;
    }
    loop_->Send(conn, bytes);
  }
  event_loop::EventLoop* loop_;
  event_loop::ListenerId listener_ = 0;
  std::map<event_loop::ConnId, std::unique_ptr<http::Reader>> readers_;
  std::map<event_loop::ConnId, std::uint64_t> waiting_;
};

// Owners: one connection, what was said on it.
class StandOwner : public event_loop::ConnectionHandler {
 public:
  StandOwner(event_loop::EventLoop* loop, const std::string& to, Record* record)
      : loop_(loop), record_(record) {
    conn = loop_->Connect(to, this);
  }
  ~StandOwner() override { loop_->Close(conn); }
  void Ask(RequestUid uid, const std::string& task_class, int left,
           const std::string& service = "00000000b4d65521", const std::string& more = "") {
    ClientMessage m;
    m.uid = uid;
    m.fields = {{"class", task_class},
                {"left", std::to_string(left)},
                {"tenant", "acme"},
                {"key", WriteHex(uid ^ 0xff)},
                {"idem", WriteHex(uid) + WriteHex(uid)},
                {"extras", "cores:1;memory:2;service:" + service + more}};
    m.description = "asked by " + WriteHex(uid);
    mine.insert(uid);
    if (more.empty()) {
      Passed p{loop_->Now(), Passed::What::kAsked, uid};
      p.left = static_cast<Micros>(left) * 1000;
      p.service = service;
      p.task_class = task_class;
      record_->push_back(p);
    }
    loop_->Send(conn, EncodeClientMessage(m));
  }
  void Stop(RequestUid uid) {
    if (final.count(uid) == 0) record_->push_back({loop_->Now(), Passed::What::kGivenUp, uid});
    ClientMessage m;
    m.kind = ClientMessageKind::kStop;
    m.uid = uid;
    m.cause = 16;
    loop_->Send(conn, EncodeClientMessage(m));
  }
  void Test() {
    ClientMessage m;
    m.kind = ClientMessageKind::kHealthCheck;
    m.uid = 1;
    m.cause = 0;
    loop_->Send(conn, EncodeClientMessage(m));
  }
  void Raw(const std::string& bytes) { loop_->Send(conn, bytes); }
  // What was sent is with the kernel, and the connection is closed.
  void Leave() {
    for (const Passed& p : Record(*record_)) {
      if (p.what == Passed::What::kAsked && mine.count(p.uid) > 0 && final.count(p.uid) == 0)
        record_->push_back({loop_->Now(), Passed::What::kGone, p.uid});
    }
    loop_->Close(conn, true);
  }

  void OnReceived(event_loop::ConnId, std::string_view bytes) override {
    reader_.Feed(bytes);
    ClientMessage m;
    while (reader_.Next(&m) == ClientMessageReader::State::kMessage) {
      if (m.kind == ClientMessageKind::kHealthCheckReply) {
        tested.push_back(m.cause.value_or(-1));
      } else if (final.count(m.uid) == 0) {
        final[m.uid] = m;
        Passed p{loop_->Now(), Passed::What::kFinal, m.uid};
        p.cause = m.kind == ClientMessageKind::kAnswer ? 0 : m.cause.value_or(-1);
        record_->push_back(p);
      } else {
        released[m.uid].push_back(m);
        if (m.kind == ClientMessageKind::kStop)
          record_->push_back({loop_->Now(), Passed::What::kReleased, m.uid});
      }
    }
  }
  void OnClosed(event_loop::ConnId, const std::string&) override { closed = true; }

  event_loop::ConnId conn = 0;
  bool closed = false;
  std::set<RequestUid> mine;
  std::map<RequestUid, ClientMessage> final;
  std::map<RequestUid, std::vector<ClientMessage>> released;
  std::vector<int> tested;

 private:
  event_loop::EventLoop* loop_;
  Record* record_;
  ClientMessageReader reader_;
};

}  // namespace mountflow::testing

#endif  // MOUNTFLOW_TESTS_SUPPORT_PLATFORM_FAKES_HPP_
