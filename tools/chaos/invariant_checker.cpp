#include "tools/chaos/invariant_checker.hpp"

#include <algorithm>
#include <deque>
#include <limits>
#include <set>

namespace mountflow::chaos {
namespace {

constexpr Micros kNever = std::numeric_limits<Micros>::max();
// Messages on different connections are seen in an order of their own within this.
constexpr Micros kSeenTogether = 50'000;
constexpr int kUnknownJob = 15001;

struct Class {
  std::string effect = "unsafe", scope = "cell", spread = "none";
  Micros window = 0, hard_limit = 0;
  int most = 0;
};

struct Ask {
  json line;
  std::size_t number = 0;
};

struct Attempt {
  std::string id, job, daemon, node, key, queue, service;
  std::string conn;
  std::size_t asked_line = 0, commit_line = 0, accepted_line = 0;
  Micros asked = 0, committed = 0, accepted = 0, ended = kNever;
  Micros out_until = kNever;  // answered or given up then
  bool never_ran = false;     // shown by the node, or no commit went out
  bool held = true;           // counts for its daemon's spread
};

struct Job {
  std::string daemon, queue;
  std::size_t commit_line = 0, answer_line = 0;
  Micros committed = 0, deadline = 0, answered = 0;
  std::string answer;
  std::set<std::string> waiting;  // connections on which a client waits for the answer
  bool keyed = false, forgotten = false;
};

struct Life {
  Micros started = 0;
  std::size_t line = 0;
  std::set<std::string> informed;  // daemons that know of it
  std::deque<std::pair<Micros, std::string>> offers;
  bool told = false;
};

class Court {
 public:
  explicit Court(const std::vector<json>& record) : record_(record) {}

  Verdict Run() {
    if (record_.empty() || record_[0]["k"] != "head") {
      verdict_.error = "line 1: expected the head of a record";
      return verdict_;
    }
    try {
      Head(record_[0]);
      for (at_ = 1; at_ < record_.size(); ++at_) {
        const json& line = record_[at_];
        now_ = line["t"].get<Micros>();
        const std::string kind = line["k"];
        if (kind == "ask") OnAsk(line);
        if (kind == "reply") OnReply(line);
        if (kind == "close") OnClose(line);
        if (kind == "list") OnList(line);
        if (kind == "event") OnEvent(line);
        if (kind == "client") OnClient(line);
      }
      End();
    } catch (const json::exception& e) {
      verdict_.error = "line " + std::to_string(at_ + 1) + ": " + e.what();
    }
    std::stable_sort(verdict_.breaches.begin(), verdict_.breaches.end(),
                     [](const Breach& a, const Breach& b) { return a.at < b.at; });
    return verdict_;
  }

 private:
  void Broken(int rule, Micros at, std::string text, std::vector<std::size_t> lines) {
    verdict_.breaches.push_back({rule, at, std::move(text), std::move(lines)});
  }
  std::size_t Here() const { return at_ + 1; }

  void Head(const json& head) {
    for (const auto& [name, c] : head["classes"].items()) {
      Class& one = classes_[name];
      one.effect = c["effect"];
      one.scope = c["scope"];
      one.spread = c["spread"];
      one.window = c["window"];
      one.hard_limit = c["hard_limit"];
      one.most = c["most"];
    }
    for (const auto& [name, n] : head["nodes"].items()) {
      rack_[name] = n["rack"];
      room_[name] = n["room"];
    }
    slack_ = head["answer_slack"].get<Micros>() + head["allowance"].get<Micros>();
    allowance_ = head["allowance"];
    drain_grace_ = head["drain_grace"];
    cold_time_ = head["cold_time"];
    cold_from_ = head["cold_from"];
    fall_multiple_ = head["fall_multiple"];
    fall_window_ = head["fall_window"];
    cold_bears_ = head["cold_bears"];
    starts_per_second_ = head["starts_per_second"];
  }

  const std::string& PlaceOf(const std::string& node, const std::string& by) const {
    if (by == "zone") return room_.at(node);
    return by == "cell" ? rack_.at(node) : node;
  }

  static std::string ConnOf(const json& line) {
    return line["tap"].get<std::string>() + "/" + line["who"].get<std::string>() + "/" +
           std::to_string(line["conn"].get<std::uint64_t>());
  }
  static std::string Get(const json& line, const char* name) {
    const auto it = line.find(name);
    return it != line.end() && it->is_string() ? it->get<std::string>() : "";
  }
  static std::string Attr(const json& line, const char* name) {
    const auto it = line.find("attributes");
    return it == line.end() ? "" : Get(*it, name);
  }

  // ---- Messages ----

  void OnAsk(const json& line) {
    const std::string conn = ConnOf(line);
    asks_[conn].push_back({line, Here()});
    const unsigned type = line["type"];
    const std::string tap = line["tap"], who = line["who"], id = Get(line, "id");
    if (tap == "client") {
      if (type == 1) opening_[conn] = line;
      if (type == 19 && Get(line, "extension").rfind("wait=answer", 0) == 0) {
        const auto job = jobs_.find(id);
        if (job != jobs_.end()) {
          job->second.waiting.insert(conn);
        }
      }
      if (type == 6) deleted_.insert(id);
      return;
    }
    if (tap == "report") {
      if (type == 22) Ended(id);
      return;
    }
    if (type == 1) return OnOffer(line, conn);
    const auto it = attempts_.find(id);
    if (it == attempts_.end()) return;
    Attempt& a = it->second;
    if (type == 5) {
      a.committed = now_;
      a.commit_line = Here();
      const auto job = jobs_.find(a.job);
      if (job != jobs_.end()) AfterAnswer(job->second, a, "a commit went out");
    }
    if (type == 6 && a.accepted == 0) NotOut(a);  // given up
  }

  void AfterAnswer(const Job& job, const Attempt& a, const char* what) {
    const bool over = job.answer == "refused" || job.answer == "failed" || job.answer == "deleted";
    if (!over || now_ <= job.answered + allowance_) return;
    Broken(1, now_, std::string(what) + " for " + a.job + " after its answer '" + job.answer + "'",
           {job.answer_line, Here()});
  }

  void OnOffer(const json& line, const std::string& conn) {
    ++verdict_.attempts;
    const std::string id = line["id"], node = line["who"];
    const std::string job_id = id.substr(0, id.rfind('/'));
    const std::string daemon = job_id.substr(job_id.find('.') + 1);
    Attempt a;
    a.id = id;
    a.job = job_id;
    a.daemon = daemon;
    a.node = node;
    a.queue = Get(line, "queue");
    a.service = Attr(line, "service");
    const std::string key = Attr(line, "key");
    a.key = key.empty() ? "" : Attr(line, "Job_Owner") + "/" + key;
    a.conn = conn;
    a.asked = now_;
    a.asked_line = Here();
    const Class& c = classes_[a.queue];
    const auto job = jobs_.find(job_id);
    if (job != jobs_.end()) AfterAnswer(job->second, a, "an offer went out");

    // Rule 2, within one job.
    for (const std::string& other_id : by_job_[job_id]) {
      const Attempt& o = attempts_.at(other_id);
      if (o.out_until == kNever && o.accepted == 0) together_.push_back({o.id, id, now_, Here()});
      if (o.never_ran || o.committed == 0) continue;
      if (c.effect == "unsafe") {
        Broken(2, now_,
               "unsafe " + job_id + " is offered again to " + node + " though " + o.id + " at " + o.node +
                   " may have run",
               {o.asked_line, o.commit_line, Here()});
      } else if (c.effect == "keyed" && o.ended == kNever) {
        const bool together = c.scope == "all" || (c.scope == "zone" && room_.at(o.node) == room_.at(node)) ||
                              (c.scope == "cell" && rack_.at(o.node) == rack_.at(node));
        if (!together || now_ > o.asked + c.window + allowance_) {
          Broken(2, now_,
                 "keyed " + job_id + " is offered to " + node +
                     (together ? " too late" : " of another group") + " though " + o.id + " at " + o.node +
                     " may have run",
                 {o.commit_line, Here()});
        }
      }
    }

    // Rule 3.
    const auto told = told_.find({daemon, node});
    if (told != told_.end() && now_ > told->second.first + drain_grace_ + allowance_) {
      Broken(3, now_,
             daemon + " offers " + id + " to " + node + " " +
                 std::to_string((now_ - told->second.first) / 1000) + " ms after it was told that it leaves",
             {told->second.second, Here()});
    }

    // Rule 4.
    const auto life = lives_.find(node);
    if (life != lives_.end() && now_ < life->second.started + cold_time_)
      ColdOffer(node, life->second, daemon);

    // Rule 5.
    if (c.spread != "none" && c.spread != "silent" && c.most > 0) {
      ++verdict_.spread_checks;
      int together = 1;
      std::vector<std::size_t> lines = {Here()};
      for (const std::string& other_id : by_service_[daemon + "/" + a.service]) {
        const Attempt& o = attempts_.at(other_id);
        const bool there = o.held && o.ended == kNever && (o.out_until == kNever || o.accepted != 0);
        if (!there || PlaceOf(o.node, c.spread) != PlaceOf(node, c.spread)) continue;
        ++together;
        lines.push_back(o.asked_line);
      }
      if (together > c.most) {
        Broken(5, now_,
               daemon + " has " + std::to_string(together) + " tasks of " + a.service + " in " +
                   PlaceOf(node, c.spread) + ", where " + std::to_string(c.most) + " are the most",
               lines);
      }
    }
    by_job_[job_id].push_back(id);
    by_service_[daemon + "/" + a.service].push_back(id);
    by_conn_[conn] = id;
    by_node_[node].push_back(id);
    attempts_[id] = std::move(a);
  }

  void ColdOffer(const std::string& node, Life& life, const std::string& daemon) {
    ++verdict_.slow_start_budget;
    auto& offers = life.offers;
    offers.emplace_back(now_, daemon);
    while (offers.front().first + fall_window_ <= now_) offers.pop_front();
    const double age = static_cast<double>(now_ - life.started);
    const double pace = cold_from_ + (1.0 - cold_from_) * age / static_cast<double>(cold_time_);
    const double borne = std::max(
        cold_bears_, fall_multiple_ * pace * starts_per_second_ * static_cast<double>(fall_window_) * 1e-6);
    if (static_cast<double>(offers.size()) <= borne || life.told) return;
    const auto informed = std::count_if(offers.begin(), offers.end(),
                                        [&life](const auto& o) { return life.informed.count(o.second) > 0; });
    if (static_cast<double>(informed) * 3.0 < static_cast<double>(offers.size()) * 2.0) return;
    life.told = true;
    Broken(4, now_,
           "cold " + node + " got " + std::to_string(offers.size()) + " offers within its window, where " +
               std::to_string(borne) + " are borne; " + std::to_string(informed) + " from daemons that knew",
           {life.line, Here()});
  }

  void OnReply(const json& line) {
    const std::string conn = ConnOf(line);
    auto& queue = asks_[conn];
    if (queue.empty()) {
      return Broken(0, now_, "a reply to nothing that was asked, on connection " + conn, {Here()});
    }
    const Ask ask = std::move(queue.front());
    queue.pop_front();
    const int code = line["code"];
    const unsigned type = ask.line["type"];
    const std::string tap = line["tap"], who = line["who"], id = Get(ask.line, "id");
    if (tap == "client") return ClientReply(line, ask, conn, type, code);
    if (tap == "report") return;
    if (type == 19 && id.empty()) {  // a node's own list
      for (const json& o : line.value("objects", json::array())) {
        if (o["type"] == 0) {
          const std::string started = Get(o, "started");
          if (!started.empty()) Informed(Attr(ask.line, "server"), who, std::stoull(started));
          continue;
        }
        const auto it = attempts_.find(Get(o, "name"));
        if (it != attempts_.end() && it->second.ended == kNever) it->second.held = true;
      }
      return;
    }
    // The parts of an ask carry its attempt's name; so do the others.
    const auto it = attempts_.find(id);
    if (it == attempts_.end()) return;
    Attempt& a = it->second;
    const bool refused = code != 0;
    if ((type == 1 || type == 3 || type == 4) && refused && a.committed == 0) {
      if (type == 4) ++verdict_.refused_by_nodes;
      NotOut(a);
      a.never_ran = true;
    }
    if (type == 5) {
      if (code == 0) Accepted(a);
      NotOut(a);
      if (refused && code != 15010) a.never_ran = true;
    }
    if (type == 6) {
      if (refused && a.accepted == 0) a.never_ran = true;
      if (!refused && a.accepted != 0) a.ended = std::min(a.ended, now_);
    }
    if (type == 19) {
      if (refused && a.accepted == 0) NotOut(a), a.never_ran = true;
      if (!refused) Accepted(a);
    }
  }

  void NotOut(Attempt& a) const { a.out_until = std::min(a.out_until, now_); }

  void Accepted(Attempt& a) {
    if (a.accepted != 0) return;
    ++verdict_.accepted;
    a.accepted = now_;
    a.accepted_line = Here();
    NotOut(a);
    if (!a.key.empty() && classes_[a.queue].effect != "safe") by_key_[a.key].push_back(a.id);
  }

  void Ended(const std::string& id) {
    const auto it = attempts_.find(id);
    if (it == attempts_.end()) return;
    Accepted(it->second);
    it->second.ended = std::min(it->second.ended, now_);
  }

  void ClientReply(const json& line, const Ask& ask, const std::string& conn, unsigned type, int code) {
    if (type == 1 && code == 0) opening_[conn]["job"] = Get(line, "text");
    if (type == 5 && code == 0) {
      const json& opened = opening_[conn];
      const std::string id = Get(line, "text");
      Job& job = jobs_[id];
      job.daemon = line["who"];
      job.queue = Get(opened, "queue");
      job.committed = now_;
      job.commit_line = Here();
      job.keyed = !Attr(opened, "key").empty();
      const std::string owner = Attr(opened, "owner_deadline");
      job.deadline = now_ + classes_[job.queue].hard_limit;
      if (!owner.empty()) job.deadline = std::min<Micros>(job.deadline, std::stoull(owner));
      ++verdict_.jobs;
    }
    if (type != 19) return;
    const auto asked = jobs_.find(Get(ask.line, "id"));
    if (code == kUnknownJob && asked != jobs_.end() && asked->second.daemon == line["who"]) {
      Broken(1, now_, asked->first + " was committed, and its daemon does not know it any more",
             {asked->second.commit_line, Here()});
      asked->second.waiting.erase(conn);
      asked->second.forgotten = true;
    }
    for (const json& o : line.value("objects", json::array())) {
      const std::string answer = Get(o, "answer"), id = Get(o, "name");
      const auto it = jobs_.find(id);
      if (it == jobs_.end() || answer.empty()) continue;
      Job& job = it->second;
      job.waiting.erase(conn);
      if (job.answer.empty()) {
        job.answer = answer;
        job.answered = now_;
        job.answer_line = Here();
        ++verdict_.answered;
        ++verdict_.answers[answer];
        const Micros due = Excused(job.daemon, job.deadline + slack_);
        if (now_ > due && Get(ask.line, "extension").rfind("wait=answer", 0) == 0) {
          Broken(1, now_,
                 id + " was answered " + std::to_string((now_ - job.deadline) / 1000) +
                     " ms after its owner's time",
                 {job.commit_line, Here()});
        }
      } else if (job.answer != answer) {
        Broken(1, now_, id + " has two answers: '" + job.answer + "' and '" + answer + "'",
               {job.answer_line, Here()});
      }
    }
  }

  // A daemon that is stopped cannot answer; what falls into such a time is due after it.
  Micros Excused(const std::string& daemon, Micros due) const {
    const auto it = stalls_.find(daemon);
    if (it == stalls_.end()) return due;
    for (const auto& [from, to] : it->second) {
      if (due >= from && (to == kNever || due <= to + slack_)) due = to == kNever ? kNever : to + slack_;
    }
    return due;
  }

  void OnClose(const json& line) {
    const std::string conn = ConnOf(line);
    asks_.erase(conn);
    opening_.erase(conn);
    if (line["tap"] == "client") {
      for (auto& [id, job] : jobs_) job.waiting.erase(conn);
    }
    const auto of = by_conn_.find(conn);
    if (of == by_conn_.end()) return;
    Attempt& a = attempts_.at(of->second);
    if (a.conn == conn && a.committed == 0) NotOut(a), a.never_ran = true;
    by_conn_.erase(of);
  }

  void Informed(const std::string& daemon, const std::string& node, Micros started) {
    const auto life = lives_.find(node);
    if (life != lives_.end() && started + 1'000'000 >= life->second.started && started != 0) {
      life->second.informed.insert(daemon);
    }
  }

  void OnList(const json& line) {
    const std::string daemon = line["who"];
    std::set<std::string> there;
    for (const auto& [node, entry] : line["nodes"].items()) {
      there.insert(node);
      known_[daemon].insert(node);
      Informed(daemon, node, entry[1].get<Micros>());
      if (entry[0] == "ready") {
        told_.erase({daemon, node});
      } else if (told_.emplace(std::make_pair(daemon, node), std::make_pair(now_, Here())).second) {
        ++verdict_.drains_told;
      }
    }
    for (const std::string& node : known_[daemon]) {
      if (there.count(node) == 0 &&
          told_.emplace(std::make_pair(daemon, node), std::make_pair(now_, Here())).second) {
        ++verdict_.drains_told;
      }
    }
  }

  void OnEvent(const json& line) {
    const std::string event = line["event"], who = Get(line, "who");
    if (event == "node_start") {
      Life life;
      life.started = now_;
      life.line = Here();
      lives_[who] = life;
      ++verdict_.cold_lives;
    } else if (event == "node_kill") {
      lives_.erase(who);
      for (const std::string& id : by_node_[who]) {
        Attempt& a = attempts_.at(id);
        if (a.committed == 0) a.never_ran = true;
        NotOut(a);
        a.ended = std::min(a.ended, now_);
      }
      by_node_[who].clear();
    } else if (event == "daemon_kill") {
      // What it had committed it still owes: in time where it is back in time, else once it is back.
      stalls_[who].push_back({now_, kNever});
      for (auto& [id, a] : attempts_) {
        if (a.daemon != who) continue;
        a.held = false;
        NotOut(a);
      }
      std::erase_if(told_, [&who](const auto& one) { return one.first.first == who; });
      known_[who].clear();
      for (auto& [node, life] : lives_) life.informed.erase(who);
    } else if (event == "daemon_start") {
      if (!stalls_[who].empty() && stalls_[who].back().second == kNever) stalls_[who].back().second = now_;
    } else if (event == "daemon_stall") {
      stalls_[who].push_back({now_, kNever});
    } else if (event == "daemon_continue" && !stalls_[who].empty()) {
      stalls_[who].back().second = now_;
    } else if (event == "end") {
      ended_ = now_;
    }
  }

  void OnClient(const json& line) {
    // A client that waited to its end and heard nothing says so itself.
    if (line["event"] == "gave_up") gave_up_[Get(line, "job")] = Here();
    if (line["event"] != "answer") return;
    const std::string id = Get(line, "job"), told = Get(line, "answer");
    const auto job = jobs_.find(id);
    if (job == jobs_.end() || told == "none" || told == job->second.answer) return;
    Broken(0, now_,
           "the client's log has the answer '" + told + "' for " + id + ", the traffic '" +
               job->second.answer + "'",
           {job->second.answer_line, Here()});
  }

  void End() {
    if (ended_ == 0) ended_ = now_;
    for (auto& [id, job] : jobs_) {
      if (!job.answer.empty()) continue;
      const auto missed = gave_up_.find(id);
      const bool waits = !job.waiting.empty() || missed != gave_up_.end();
      if (job.forgotten) continue;  // told already
      if (!waits || deleted_.count(id) > 0) {
        ++verdict_.excused;
      } else if (ended_ > Excused(job.daemon, job.deadline + slack_)) {
        std::vector<std::size_t> lines = {job.commit_line};
        if (missed != gave_up_.end()) lines.push_back(missed->second);
        Broken(1, job.deadline, id + " got no answer in its owner's time", lines);
      } else {
        ++verdict_.excused;  // the record ends before its time is over
      }
    }
    // What is answered as placed was accepted by a node, or its key was found to run.
    for (const auto& [id, job] : jobs_) {
      const auto& ids = by_job_[id];
      const bool accepted = std::any_of(ids.begin(), ids.end(),
                                        [this](const auto& a) { return attempts_.at(a).accepted != 0; });
      if (job.answer == "placed" && !accepted && !job.keyed)
        Broken(1, job.answered, id + " was answered as placed, and no node accepted it", {job.answer_line});
    }
    for (const auto& [first, second, at, line] : together_) {
      const Attempt& o = attempts_.at(first);
      if (o.out_until <= at + kSeenTogether) continue;
      const Attempt& a = attempts_.at(second);
      Broken(2, at,
             "two attempts of " + a.job + " are out together: " + o.id + " at " + o.node + " and " + a.id +
                 " at " + a.node,
             {o.asked_line, line});
    }
    // Rule 2 over daemons: one key never runs twice at a time.
    for (const auto& [key, ids] : by_key_) {
      for (std::size_t i = 0; i < ids.size(); ++i) {
        for (std::size_t j = i + 1; j < ids.size(); ++j) {
          const Attempt& a = attempts_.at(ids[i]);
          const Attempt& b = attempts_.at(ids[j]);
          const Micros from = std::max(a.accepted, b.accepted), to = std::min({a.ended, b.ended, ended_});
          if (from + allowance_ < to) {
            Broken(2, from,
                   "key " + key + " runs twice: " + a.id + " at " + a.node + " and " + b.id + " at " + b.node,
                   {a.accepted_line, b.accepted_line});
          }
        }
      }
    }
  }

  const std::vector<json>& record_;
  Verdict verdict_;
  std::size_t at_ = 0;
  Micros now_ = 0, ended_ = 0;
  std::map<std::string, Class> classes_;
  std::map<std::string, std::string> rack_, room_;
  Micros slack_ = 0, allowance_ = 0, drain_grace_ = 0, cold_time_ = 1, fall_window_ = 1;
  double cold_from_ = 1.0, fall_multiple_ = 1.0, cold_bears_ = 0.0, starts_per_second_ = 1.0;
  std::map<std::string, std::deque<Ask>> asks_;
  std::map<std::string, json> opening_;
  std::map<std::string, Job> jobs_;
  std::map<std::string, Attempt> attempts_;
  std::map<std::string, std::vector<std::string>> by_job_, by_service_, by_node_, by_key_;
  std::map<std::string, std::string> by_conn_;
  std::map<std::pair<std::string, std::string>, std::pair<Micros, std::size_t>>
      told_;  // (daemon, node) -> when, line
  std::map<std::string, std::set<std::string>> known_;
  std::map<std::string, Life> lives_;
  std::map<std::string, std::vector<std::pair<Micros, Micros>>> stalls_;
  struct Together {
    std::string first, second;
    Micros at = 0;
    std::size_t line = 0;
  };
  std::vector<Together> together_;
  std::set<std::string> deleted_;
  std::map<std::string, std::size_t> gave_up_;
};

}  // namespace

Verdict Judge(const std::vector<json>& record) { return Court(record).Run(); }

std::string Report(const Verdict& v, std::size_t most) {
  std::string text;
  if (!v.error.empty()) return "the record cannot be judged: " + v.error + "\n";
  text +=
      "judged: " + std::to_string(v.jobs) + " jobs committed, " + std::to_string(v.answered) + " answered (";
  bool first = true;
  for (const auto& [answer, count] : v.answers) {
    text += (first ? "" : ", ") + answer + " " + std::to_string(count);
    first = false;
  }
  text += "), " + std::to_string(v.excused) + " excused; " + std::to_string(v.attempts) + " attempts, " +
          std::to_string(v.accepted) + " accepted, " + std::to_string(v.refused_by_nodes) +
          " refused by nodes; " + std::to_string(v.drains_told) + " leaving nodes told, " +
          std::to_string(v.cold_lives) + " cold lives with " + std::to_string(v.slow_start_budget) +
          " offers, " + std::to_string(v.spread_checks) + " spread checks\n";
  std::map<int, std::size_t> by_rule;
  for (const Breach& b : v.breaches) ++by_rule[b.rule];
  if (v.breaches.empty()) return text + "rules broken: none\n";
  text += "rules broken:";
  for (const auto& [rule, count] : by_rule)
    text += " rule " + std::to_string(rule) + " " + std::to_string(count) + "x";
  text += "\n";
  for (std::size_t i = 0; i < v.breaches.size() && i < most; ++i) {
    const Breach& b = v.breaches[i];
    text += "  rule " + std::to_string(b.rule) + ": " + b.text + " (record lines";
    for (const std::size_t line : b.lines) text += " " + std::to_string(line);
    text += ")\n";
  }
  if (v.breaches.size() > most) text += "  and " + std::to_string(v.breaches.size() - most) + " more\n";
  return text;
}

}  // namespace mountflow::chaos
