// mountflow-load-generator: submits jobs to daemons over persistent connections and measures the delay until
// each job's answer. The totals are written to standard output as one JSON object.
//
// By default the load is an open loop: jobs are due at times fixed in advance (see plan.hpp). A delay starts
// at the due time, so that a daemon that falls behind shows in the delays (no coordinated omission). Each
// client states its deadline, and abandons the job if the deadline passes before the job could be sent. With
// --window the load is a closed loop instead.
#include <signal.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <deque>
#include <fstream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <queue>

#include "event_loop/event_loop.hpp"
#include "pbs_protocol/protocol.hpp"
#include "tools/load_generator/figures.hpp"
#include "tools/load_generator/plan.hpp"

namespace {

using namespace mountflow;
using load_generator::End;

constexpr Micros kSecond = 1'000'000;
constexpr std::size_t kMaxRejectionTexts = 16;  // distinct rejection texts that are counted
constexpr Micros kStormPause = 10'000;          // before the retry of clients that ignore the advised wait
constexpr Micros kDefaultRetryPause = 500'000;  // before the retry if the daemon advised no wait
constexpr Micros kReconnectPause = 100'000;
constexpr std::size_t kMaxDueJobs = 2'000'000;   // waiting for a connection; jobs above this are broken
constexpr Micros kAnswerTimeout = 30 * kSecond;  // after the end of the plan; open jobs are then broken

class Load : public event_loop::ConnectionHandler {
 public:
  std::vector<std::string> addresses;
  std::string queue = "batch", life = "0.001", ncpus = "0.01", mem = "1mb", again = "no";
  std::string rates, by_second, csv, svg, cpu, title = "mountflow-load-generator";
  double rate = 1000.0, seconds = 60.0, warm_up = 0.0, owner_time = 0.0;
  std::size_t connections = 64, window = 0;  // window: jobs in flight in a closed loop; 0: open loop
  std::size_t held = 0;                      // if not 0: submit this many held jobs and stop

  int Run() {
    std::string expected;
    if (rates.empty()) rates = std::to_string(rate) + "x" + std::to_string(seconds);
    if (!load_generator::Plan::Parse(rates, &plan_, &expected)) {
      std::fprintf(stderr, "mountflow-load-generator: --rates: expected %s\n", expected.c_str());
      return 2;
    }
    for (std::size_t i = 0; i < connections; ++i) Connect(i % addresses.size());
    begin_ = loop_.Now() + 200'000;
    end_ = begin_ + static_cast<Micros>(plan_.seconds() * 1e6);
    client_wait_ = static_cast<Micros>(owner_time * 1e6);
    figures_ = std::make_unique<load_generator::Figures>(begin_);
    loop_.SetAfterTurn([this] { Pump(); });
    loop_.SetMainTimer(begin_, [] {});
    loop_.Run();
    return Report() ? 0 : 1;
  }

  void OnConnected(event_loop::ConnId id) override {
    conns_.at(id).open = true;
    free_.push_back(id);
  }
  void OnReceived(event_loop::ConnId id, std::string_view bytes) override {
    Conn& c = conns_.at(id);
    c.input.append(bytes);
    std::size_t used = 0;
    for (;;) {
      pbs_protocol::Reply reply;
      const pbs_protocol::DecodeResult parsed =
          pbs_protocol::Decode(std::string_view(c.input).substr(used), &reply);
      if (parsed.state != pbs_protocol::DisState::kOk) break;
      used += parsed.used;
      Take(id, c, reply);
    }
    c.input.erase(0, used);
  }
  void OnClosed(event_loop::ConnId id, const std::string& reason) override {
    Conn c = std::move(conns_.at(id));
    conns_.erase(id);
    std::erase(free_, id);
    if (c.busy) Over(c.job, End::kBroken);
    if (closes_++ < 10)
      std::fprintf(stderr, "mountflow-load-generator: connection closed: %s\n", reason.c_str());
    loop_.AddTimer(loop_.Now() + kReconnectPause, [this, address = c.address] { Connect(address); });
  }

 private:
  struct PendingJob {  // a job without an answer so far
    Micros due = 0;
    unsigned asks = 0;
  };
  struct Conn {
    std::size_t address = 0;
    bool open = false, busy = false, rejected = false;
    std::string input;
    PendingJob job;
    int step = 0;     // replies received so far
    Micros wait = 0;  // wait advised by a rejection
    std::string id;
  };
  struct Retry {
    Micros at = 0;
    PendingJob job;
    bool operator>(const Retry& other) const { return at > other.at; }
  };

  void Connect(std::size_t address) {
    const event_loop::ConnId id = loop_.NewConnectionId();
    conns_[id].address = address;
    loop_.Connect(addresses[address], this, id);
  }

  static void Put(pbs_protocol::RequestType type, const std::string& id, const std::string& extension,
                  std::string* out) {
    pbs_protocol::Request r;
    r.type = type;
    r.user = "root";
    r.id = id;
    r.extension = extension;
    pbs_protocol::Encode(r, out);
  }

  void Start(event_loop::ConnId id, PendingJob job) {
    Conn& c = conns_.at(id);
    ++job.asks;
    c.job = job;
    c.busy = true;
    c.rejected = false;
    c.step = 0;
    c.wait = 0;
    std::string bytes;
    pbs_protocol::Request r;
    r.type = pbs_protocol::RequestType::kQueueJob;
    r.user = "root";
    r.destination = queue;
    r.attributes = {{"Job_Name", "", "load", pbs_protocol::Op::kSet},
                    {"service", "", "load-" + std::to_string(named_++ % 100), pbs_protocol::Op::kSet},
                    {"Resource_List", "ncpus", ncpus, pbs_protocol::Op::kSet},
                    {"Resource_List", "mem", mem, pbs_protocol::Op::kSet},
                    {"life", "", life, pbs_protocol::Op::kSet}};
    if (client_wait_ != 0) {
      r.attributes.push_back(
          {"owner_deadline", "", std::to_string(job.due + client_wait_), pbs_protocol::Op::kSet});
    }
    if (held > 0) r.attributes.push_back({"Hold_Types", "", "u", pbs_protocol::Op::kSet});
    pbs_protocol::Encode(r, &bytes);
    r = {};
    r.type = pbs_protocol::RequestType::kJobScript;
    r.user = "root";
    r.script = "true\n";
    pbs_protocol::Encode(r, &bytes);
    Put(pbs_protocol::RequestType::kReadyToCommit, "", "", &bytes);
    Put(pbs_protocol::RequestType::kCommit, "", "", &bytes);
    loop_.Send(id, bytes);
  }

  void Take(event_loop::ConnId id, Conn& c, const pbs_protocol::Reply& reply) {
    ++c.step;
    if (reply.code != pbs_protocol::Code::kNone && !c.rejected) {
      c.rejected = true;
      c.wait = reply.auxiliary > 0 ? static_cast<Micros>(reply.auxiliary) * 1000 : 0;
      const std::string rejection_text = reply.text.substr(0, reply.text.find(';'));
      if (rejections_.size() < kMaxRejectionTexts || rejections_.count(rejection_text) > 0)
        ++rejections_[rejection_text];
    }
    if (c.step < 4) {
      if (c.step == 1) c.id = reply.text;
      return;
    }
    if (c.step == 4 && !c.rejected) {
      committed_.Add(loop_.Now() - c.job.due);
      if (held > 0) {
        if (committed_.count() >= held) loop_.Stop();
        return Free(id, c);
      }
      std::string bytes;
      Put(pbs_protocol::RequestType::kStatusJob, c.id, "wait=answer", &bytes);
      return loop_.Send(id, bytes);
    }
    const PendingJob job = c.job;
    const bool rejected = c.rejected;
    const Micros wait = c.wait;
    Free(id, c);
    if (rejected) return RetryOrEnd(job, wait);
    const std::string answer(
        reply.objects.empty() ? "" : pbs_protocol::ValueOf(reply.objects[0].attributes, "answer"));
    Over(job, answer == "placed" ? End::kPlaced : answer == "refused" ? End::kRefused : End::kFailed);
  }

  void Free(event_loop::ConnId id, Conn& c) {
    c.busy = false;
    free_.push_back(id);
  }

  // Handles a rejected job as --again says: ends it, retries after the advised wait plus up to a quarter of
  // it, or retries after kStormPause.
  void RetryOrEnd(const PendingJob& job, Micros wait) {
    const Micros now = loop_.Now(), deadline = job.due + client_wait_;
    if (again == "no" || client_wait_ == 0) return Over(job, End::kDoor);
    random_ = random_ * 6364136223846793005u + 1442695040888963407u;
    const double draw = static_cast<double>(random_ >> 11) * 0x1.0p-53;
    if (again == "storm") {
      wait = kStormPause;
    } else if (wait == 0) {
      return Over(job, End::kDoor);  // the daemon expects no admission before the deadline
    }
    if (wait == 0) wait = kDefaultRetryPause;
    const Micros at = now + wait + static_cast<Micros>(static_cast<double>(wait) * 0.25 * draw);
    if (at >= deadline) return Over(job, End::kDoor);
    retries_.push({at, job});
  }

  void Over(const PendingJob& job, End end) {
    ++over_;
    figures_->Over({job.due, loop_.Now(), client_wait_, end, job.asks});
  }

  void Pump() {
    const Micros now = loop_.Now();
    if (now < begin_) return loop_.SetMainTimer(begin_, nullptr);
    Micros next = now + 100'000;
    if (held > 0 || window > 0) {
      while (!free_.empty() && (held > 0 ? started_ < held : now < end_ && started_ - over_ < window)) {
        const event_loop::ConnId id = free_.front();
        free_.pop_front();
        figures_->Offered(now);
        ++started_;
        Start(id, {now, 0});
      }
      if (window > 0 && now >= end_ && over_ == started_) return loop_.Stop();
    } else {
      for (;;) {
        const double due = plan_.DueOf(started_);
        if (due < 0.0) break;
        const Micros at = begin_ + static_cast<Micros>(due * 1e6);
        if (at > now) {
          next = std::min(next, at);
          break;
        }
        figures_->Offered(at);
        ++started_;
        if (due_.size() < kMaxDueJobs) {
          due_.push_back({at, 0});
        } else {
          Over({at, 0}, End::kBroken);
        }
      }
      for (; !retries_.empty() && retries_.top().at <= now; retries_.pop())
        due_.push_back(retries_.top().job);
      if (!retries_.empty()) next = std::min(next, retries_.top().at);
      while (!due_.empty()) {
        if (client_wait_ != 0 && now >= due_.front().due + client_wait_) {
          Over(due_.front(), End::kGaveUp);
          due_.pop_front();
          continue;
        }
        if (free_.empty()) break;
        const event_loop::ConnId id = free_.front();
        free_.pop_front();
        Start(id, due_.front());
        due_.pop_front();
      }
      if (plan_.DueOf(started_) < 0.0 && over_ == started_) return loop_.Stop();
    }
    if (now > end_ + kAnswerTimeout && held == 0) {
      for (auto& [id, c] : conns_) {
        if (c.busy) Over(c.job, End::kBroken);
      }
      return loop_.Stop();
    }
    loop_.SetMainTimer(std::max(next, now + 1), nullptr);
  }

  static void Write(const std::string& file, const std::string& text) {
    if (!file.empty()) std::ofstream(file, std::ios::binary) << text;
  }

  // Writes all outputs. Returns false if a job was broken, except with --held.
  bool Report() {
    if (!cpu.empty()) {
      std::ifstream in(cpu);
      for (std::string line; std::getline(in, line);) figures_->TakeCpu(line);
    }
    const std::size_t all = static_cast<std::size_t>(plan_.seconds());
    nlohmann::json j =
        figures_->Summary(std::min(all, static_cast<std::size_t>(warm_up)), std::max<std::size_t>(all, 1));
    j["commit_delay"] = committed_.ToJson();
    j["open"] = started_ - std::min(started_, over_);
    if (!rejections_.empty()) j["refusals"] = rejections_;
    std::printf("%s\n", j.dump().c_str());
    Write(by_second, figures_->JsonLines());
    Write(csv, figures_->Csv());
    Write(svg, figures_->Svg(title));
    return held > 0 || !j["ends"].contains("broken");
  }

  event_loop::EventLoop loop_;
  load_generator::Plan plan_;
  std::unique_ptr<load_generator::Figures> figures_;
  std::map<event_loop::ConnId, Conn> conns_;
  std::deque<event_loop::ConnId> free_;
  std::deque<PendingJob> due_;  // jobs waiting for a connection
  std::priority_queue<Retry, std::vector<Retry>, std::greater<>> retries_;
  load_generator::Delays committed_;
  std::map<std::string, std::uint64_t> rejections_;  // by their text
  std::uint64_t started_ = 0, over_ = 0, named_ = 0, closes_ = 0, random_ = 1;
  Micros begin_ = 0, end_ = 0, client_wait_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{
      "mountflow-load-generator: jobs at planned rates, or as many as a window lets out, and the delay to "
      "their "
      "answers"};
  Load load;
  load.addresses = {"127.0.0.1:15001"};
  app.add_option("--daemon", load.addresses, "address of a batch port; several take turns");
  app.add_option("--rate", load.rate, "jobs a second (open loop)")->check(CLI::Range(0.001, 1e6));
  app.add_option("--rates", load.rates, "instead: RATExSECONDS or FROM-TOxSECONDS, joined by commas");
  app.add_option("--window", load.window, "closed loop: so many jobs out at once");
  app.add_option("--seconds", load.seconds, "for so long")->check(CLI::Range(0.1, 1e6));
  app.add_option("--warm-up", load.warm_up, "seconds from the begin that the figures leave out");
  app.add_option("--owner-time", load.owner_time, "seconds that an owner waits; 0: states no deadline");
  app.add_option("--again", load.again, "a refused owner asks again: no, obey (the wait it is told), storm")
      ->check(CLI::IsMember({"no", "obey", "storm"}));
  app.add_option("--connections", load.connections, "kept connections, over the daemons in turn")
      ->check(CLI::Range(1, 60'000));
  app.add_option("--queue", load.queue, "queue");
  app.add_option("--life", load.life, "how long a modelled task runs, seconds");
  app.add_option("--ncpus", load.ncpus, "cores that each asks for");
  app.add_option("--mem", load.mem, "memory that each asks for");
  app.add_option("--held", load.held, "submit so many held jobs instead, and stop");
  app.add_option("--by-second", load.by_second, "file for figures by second, JSON lines");
  app.add_option("--csv", load.csv, "file for figures by second, CSV");
  app.add_option("--svg", load.svg, "file for a plot");
  app.add_option("--title", load.title, "of the plot");
  app.add_option("--cpu", load.cpu,
                 "output of a daemon started with --measure: CPU by part goes into the figures");
  CLI11_PARSE(app, argc, argv);
  return load.Run();
}
