// mountflow-load: submits jobs to a daemon as fast as asked for, over kept connections, and measures the
// delay until each job's answer. Figures go to standard output as one JSON object.
//
// Open loop: jobs are due at times fixed in advance, and a delay counts from the time due, so that a daemon
// that falls behind shows it (no coordinated omission).
#include <signal.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>

#include "net/loop.hpp"
#include "pbs/protocol.hpp"

namespace {

using namespace mountflow;

constexpr Micros kSecond = 1'000'000;

class Load : public net::Handler {
 public:
  std::string address, queue = "batch", life = "0.001", ncpus = "0.01", mem = "1mb";
  double rate = 1000.0, seconds = 5.0;
  std::size_t connections = 64, window = 0;  // window: closed loop with so many jobs out, 0: open loop
  std::size_t held = 0;                      // instead: submit so many held jobs and stop

  int Run() {
    for (std::size_t i = 0; i < connections; ++i) {
      const net::ConnId id = loop_.Connect(address, this);
      conns_[id];
      free_.push_back(id);
    }
    begin_ = loop_.Now() + 200'000;
    end_ = begin_ + static_cast<Micros>(seconds * 1e6);
    loop_.SetAfterTurn([this] { Pump(); });
    loop_.SetMainTimer(begin_, [] {});
    loop_.Run();
    Report();
    return failed_ == 0 ? 0 : 1;
  }

  void OnReceived(net::ConnId id, std::string_view bytes) override {
    Conn& c = conns_[id];
    c.input.append(bytes);
    std::size_t used = 0;
    for (;;) {
      pbs::Reply reply;
      const pbs::Parsed parsed = pbs::Decode(std::string_view(c.input).substr(used), &reply);
      if (parsed.state != pbs::DisState::kOk) break;
      used += parsed.used;
      Take(id, c, reply);
    }
    c.input.erase(0, used);
  }
  void OnClosed(net::ConnId id, const std::string& reason) override {
    std::fprintf(stderr, "mountflow-load: connection closed: %s\n", reason.c_str());
    conns_.erase(id);
    std::erase(free_, id);
    ++failed_;
    if (conns_.empty()) loop_.Stop();
  }

 private:
  struct Conn {
    std::string input;
    Micros due = 0, sent = 0;
    int step = 0;  // replies so far
    std::string id;
  };

  static void Put(pbs::RequestType type, const std::string& id, const std::string& extension,
                  std::string* out) {
    pbs::Request r;
    r.type = type;
    r.user = "root";
    r.id = id;
    r.extension = extension;
    pbs::Encode(r, out);
  }

  void Start(net::ConnId id, Micros due) {
    Conn& c = conns_[id];
    c.due = due;
    c.sent = loop_.Now();
    c.step = 0;
    std::string bytes;
    pbs::Request r;
    r.type = pbs::RequestType::kQueueJob;
    r.user = "root";
    r.destination = queue;
    r.attributes = {{"Job_Name", "", "load", pbs::Op::kSet},
                    {"service", "", "load-" + std::to_string(started_ % 100), pbs::Op::kSet},
                    {"Resource_List", "ncpus", ncpus, pbs::Op::kSet},
                    {"Resource_List", "mem", mem, pbs::Op::kSet},
                    {"life", "", life, pbs::Op::kSet}};
    if (held > 0) r.attributes.push_back({"Hold_Types", "", "u", pbs::Op::kSet});
    pbs::Encode(r, &bytes);
    r = {};
    r.type = pbs::RequestType::kJobScript;
    r.user = "root";
    r.script = "true\n";
    pbs::Encode(r, &bytes);
    Put(pbs::RequestType::kReadyToCommit, "", "", &bytes);
    Put(pbs::RequestType::kCommit, "", "", &bytes);
    loop_.Send(id, bytes);
    ++started_;
  }

  void Take(net::ConnId id, Conn& c, const pbs::Reply& reply) {
    if (reply.code != pbs::Code::kNone) {
      ++failed_;
      std::fprintf(stderr, "mountflow-load: %d %s\n", static_cast<int>(reply.code), reply.text.c_str());
      return loop_.Stop();
    }
    ++c.step;
    if (c.step == 1) c.id = reply.text;
    if (c.step == 4) {
      commit_.push_back(loop_.Now() - c.due);
      if (held > 0) {
        free_.push_back(id);
        if (commit_.size() >= held) loop_.Stop();
        return;
      }
      std::string bytes;
      Put(pbs::RequestType::kStatusJob, c.id, "wait=answer", &bytes);
      loop_.Send(id, bytes);
    }
    if (c.step < 5) return;
    const std::string answer(pbs::ValueOf(reply.objects[0].attributes, "answer"));
    ++answers_[answer];
    const Micros now = loop_.Now();
    answer_.push_back(now - c.due);
    last_ = now;
    free_.push_back(id);
  }

  void Pump() {
    const Micros now = loop_.Now();
    if (now < begin_) return loop_.SetMainTimer(begin_, nullptr);
    while (!free_.empty()) {
      Micros due = now;
      if (held > 0) {
        if (started_ >= held) return;
      } else if (window == 0) {
        due = begin_ + static_cast<Micros>(static_cast<double>(started_) * 1e6 / rate);
        if (due > now || due >= end_) break;
      } else if (now >= end_ || started_ - answer_.size() >= window) {
        break;
      }
      const net::ConnId id = free_.front();
      free_.pop_front();
      Start(id, due);
    }
    const bool over = window == 0 ? static_cast<double>(started_) >= rate * seconds : now >= end_;
    if (held == 0 && over && answer_.size() == started_) return loop_.Stop();
    if (now > end_ + 30 * kSecond && held == 0)
      return loop_.Stop();  // what is open by then is reported as such
    const Micros next = begin_ + static_cast<Micros>(static_cast<double>(started_) * 1e6 / rate);
    loop_.SetMainTimer(window == 0 && !free_.empty() && next < end_ ? std::max(next, now + 1) : now + 100'000,
                       nullptr);
  }

  static nlohmann::json Delays(std::vector<Micros> delays) {
    if (delays.empty()) return nullptr;
    std::sort(delays.begin(), delays.end());
    const auto at = [&delays](double q) {
      const auto i = static_cast<std::size_t>(q * static_cast<double>(delays.size()));
      return static_cast<double>(delays[std::min(i, delays.size() - 1)]) * 1e-3;
    };
    return {{"p50_ms", at(0.5)}, {"p99_ms", at(0.99)}, {"p99_9_ms", at(0.999)}, {"most_ms", at(1.0)}};
  }

  void Report() {
    const double took = static_cast<double>(last_ > begin_ ? last_ - begin_ : 1) * 1e-6;
    nlohmann::json j = {{"started", started_},
                        {"answered", answer_.size()},
                        {"jobs_per_s", static_cast<double>(answer_.size()) / took},
                        {"answer_delay", Delays(answer_)},
                        {"commit_delay", Delays(commit_)},
                        {"failed", failed_}};
    for (const auto& [name, count] : answers_) j["answers"][name] = count;
    std::printf("%s\n", j.dump().c_str());
  }

  net::Loop loop_;
  std::map<net::ConnId, Conn> conns_;
  std::deque<net::ConnId> free_;
  std::vector<Micros> answer_, commit_;
  std::map<std::string, std::uint64_t> answers_;
  std::size_t started_ = 0, failed_ = 0;
  Micros begin_ = 0, end_ = 0, last_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{
      "mountflow-load: jobs at a rate, or as many as a window lets out, and the delay to their answers"};
  Load load;
  load.address = "127.0.0.1:15001";
  app.add_option("--daemon", load.address, "address of the batch port");
  app.add_option("--rate", load.rate, "jobs a second (open loop)");
  app.add_option("--window", load.window, "closed loop: so many jobs out at once");
  app.add_option("--seconds", load.seconds, "for so long");
  app.add_option("--connections", load.connections, "kept connections");
  app.add_option("--queue", load.queue, "queue");
  app.add_option("--life", load.life, "how long a modelled task runs, seconds");
  app.add_option("--ncpus", load.ncpus, "cores that each asks for");
  app.add_option("--mem", load.mem, "memory that each asks for");
  app.add_option("--held", load.held, "submit so many held jobs instead, and stop");
  CLI11_PARSE(app, argc, argv);
  return load.Run();
}
