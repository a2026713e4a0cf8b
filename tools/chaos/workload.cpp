#include "tools/chaos/workload.hpp"

#include <algorithm>
#include <cmath>

namespace mountflow::chaos {
namespace {

constexpr Micros kSecond = 1'000'000;
constexpr Micros kPatience = 2 * kSecond;  // beyond its deadline, before a client calls an answer missing
const char kUser[] = "root";

std::string Bytes(const pbs_protocol::Request& request) {
  std::string bytes;
  pbs_protocol::Encode(request, &bytes);
  return bytes;
}

pbs_protocol::Request Make(pbs_protocol::RequestType type, const std::string& id = "") {
  pbs_protocol::Request r;
  r.type = type;
  r.user = kUser;
  r.id = id;
  return r;
}

}  // namespace

Clients::Clients(event_loop::EventLoop* loop, Recorder* recorder, std::vector<std::string> daemons,
                 std::map<std::string, Micros> limits, std::uint64_t seed)
    : loop_(loop),
      recorder_(recorder),
      daemons_(std::move(daemons)),
      limits_(std::move(limits)),
      random_(seed) {}

void Clients::Log(const Client& c, const char* event, json more) {
  more["event"] = event;
  more["client"] = c.number;
  more["daemon"] = c.daemon;
  if (!c.id.empty()) more["job"] = c.id;
  recorder_->Write(loop_->Now(), "client", std::move(more));
}

void Clients::Start(const std::vector<Load>& load, Micros until) {
  load_ = load;
  for (std::size_t i = 0; i < load_.size(); ++i) Arrive(i, until);
}

// Poisson arrivals of one part of the load.
void Clients::Arrive(std::size_t which, Micros until) {
  const double rate = load_[which].rate * rate_;
  if (load_[which].rate <= 0.0) return;
  const double wait = std::exponential_distribution<double>(std::max(rate, 1e-6))(random_);
  const Micros at = loop_->Now() + static_cast<Micros>(wait * 1e6);
  if (at >= until) return;
  loop_->AddTimer(at, [this, which, until] {
    const Load& load = load_[which];
    Submit(load, load.queue + "-" + std::to_string(random_() % static_cast<std::uint64_t>(load.services)));
    Arrive(which, until);
  });
}

void Clients::Submit(const Load& load, const std::string& service) {
  const std::uint64_t number = ++next_;
  Client& c = jobs_[number];
  c.number = number;
  c.load = load;
  c.service = service;
  c.shape = random_() % load.ncpus.size();
  const double life = std::uniform_real_distribution<double>(load.life_from, load.life_to)(random_);
  c.life = std::to_string(life);
  if (load.keyed) c.key = "key-" + std::to_string(number);
  c.daemon = random_() % daemons_.size();
  c.first = loop_->Now();
  const auto limit = limits_.find(load.queue);
  c.deadline = c.first + (limit == limits_.end() ? 10 * kSecond : limit->second);
  if (to_cancel_ > 0 && random_() % 2 == 0) {
    c.cancel = true;
    --to_cancel_;
  }
  ++submitted_;
  json first = {{"queue", load.queue}, {"service", service}, {"deadline", c.deadline}};
  if (!c.key.empty()) first["key"] = c.key;
  Log(c, "first", std::move(first));
  Try(c);
}

void Clients::Try(Client& c) {
  ++c.tries;
  c.step = Step::kQueue;
  c.input.clear();
  c.id.clear();
  c.conn = loop_->Connect(daemons_[c.daemon], this);
  of_conn_[c.conn] = c.number;
  pbs_protocol::Request queue = Make(pbs_protocol::RequestType::kQueueJob);
  queue.destination = c.load.queue;
  const auto put = [&queue](const char* name, std::string value, const char* resource = "") {
    queue.attributes.push_back({name, resource, std::move(value), pbs_protocol::Op::kSet});
  };
  put("Job_Name", c.service);
  put("service", c.service);
  put("Resource_List", std::to_string(c.load.ncpus[c.shape]), "ncpus");
  const double mem = c.load.mem_gb[std::min(c.shape, c.load.mem_gb.size() - 1)];
  put("Resource_List", std::to_string(static_cast<long>(mem * 1024)) + "mb", "mem");
  put("life", c.life);
  if (c.load.rerunnable) put("Rerunable", "y");
  put("owner_deadline", std::to_string(c.deadline));
  if (!c.key.empty()) put("key", c.key);
  if (c.earlier_until != 0) {
    put("repeat", "true");
    put("earlier_until", std::to_string(c.earlier_until));
  }
  pbs_protocol::Request script = Make(pbs_protocol::RequestType::kJobScript);
  script.script = "true\n";
  c.replies = 3;
  loop_->Send(c.conn, Bytes(queue) + Bytes(script) + Bytes(Make(pbs_protocol::RequestType::kReadyToCommit)));
  const std::uint64_t number = c.number;
  const unsigned try_number = c.tries;
  if (c.load.retry_after > 0.0 && !c.key.empty()) {
    loop_->AddTimer(loop_->Now() + static_cast<Micros>(c.load.retry_after * 1e6), [this, number, try_number] {
      const auto it = jobs_.find(number);
      // Only a submission without a reply to its commit is asked for again: the rest waits for its answer.
      if (it != jobs_.end() && it->second.tries == try_number && it->second.step != Step::kAnswer) {
        Retry(it->second, "no reply in time");
      }
    });
  }
  loop_->AddTimer(c.deadline + kPatience, [this, number] {
    const auto it = jobs_.find(number);
    if (it == jobs_.end() || loop_->Now() < it->second.deadline + kPatience) return;  // asked anew meanwhile
    Finish(number, "gave_up", "", "no answer in its owner's time");
  });
}

void Clients::AskForAnswer(Client& c) {
  c.step = Step::kAnswer;
  c.input.clear();
  c.conn = loop_->Connect(daemons_[c.daemon], this);
  of_conn_[c.conn] = c.number;
  pbs_protocol::Request status = Make(pbs_protocol::RequestType::kStatusJob, c.id);
  status.extension = "wait=answer";
  loop_->Send(c.conn, Bytes(status));
}

void Clients::OnConnected(event_loop::ConnId) {}

void Clients::OnReceived(event_loop::ConnId conn, std::string_view bytes) {
  const auto of = of_conn_.find(conn);
  if (of == of_conn_.end()) return;
  const std::uint64_t number = of->second;
  jobs_.at(number).input.append(bytes);
  for (;;) {
    const auto it = jobs_.find(number);
    if (it == jobs_.end() || it->second.conn != conn) return;
    pbs_protocol::Reply reply;
    const pbs_protocol::DecodeResult parsed = pbs_protocol::Decode(it->second.input, &reply);
    if (parsed.state != pbs_protocol::DisState::kOk) return;
    it->second.input.erase(0, parsed.used);
    Handle(it->second, reply);
  }
}

void Clients::Handle(Client& c, const pbs_protocol::Reply& reply) {
  if (reply.code == pbs_protocol::Code::kExists && c.step != Step::kAnswer && !reply.text.empty()) {
    // An earlier try was taken: its answer is the one.
    c.id = reply.text;
    c.replies = 0;
    Log(c, "exists", json::object());
  } else if (reply.code != pbs_protocol::Code::kNone) {
    return Finish(c.number, "rejected", "rejected",
                  reply.text.empty() ? pbs_protocol::Describe(reply.code) : reply.text);
  } else if (c.step == Step::kQueue) {
    if (reply.choice == pbs_protocol::Choice::kQueued) c.id = reply.text;
    if (--c.replies > 0) return;
    c.step = Step::kCommit;
    Log(c, "commit", json::object());
    loop_->Send(c.conn, Bytes(Make(pbs_protocol::RequestType::kCommit, c.id)));
    return;
  } else if (c.step == Step::kCommit) {
    Log(c, "taken", json::object());
  } else {
    if (reply.objects.empty()) return Finish(c.number, "rejected", "rejected", "empty status");
    const std::string answer(pbs_protocol::ValueOf(reply.objects[0].attributes, "answer"));
    const std::string comment(pbs_protocol::ValueOf(reply.objects[0].attributes, "comment"));
    if (answer == "placed") {
      running_.push_back(
          {c.id, c.daemon, c.load, c.service, loop_->Now() + static_cast<Micros>(std::stod(c.life) * 1e6)});
    }
    return Finish(c.number, "answer", answer.empty() ? "none" : answer, comment);
  }
  c.step = Step::kAnswer;
  pbs_protocol::Request status = Make(pbs_protocol::RequestType::kStatusJob, c.id);
  status.extension = "wait=answer";
  loop_->Send(c.conn, Bytes(status));
  if (c.cancel) {
    // Anywhere between the offer, the node's yes and the commit's reply.
    const std::string id = c.id;
    const std::size_t daemon = c.daemon;
    Log(c, "cancel", json::object());
    loop_->AddTimer(loop_->Now() + random_() % 15'000, [this, id, daemon] { Delete(daemon, id); });
  }
}

void Clients::Delete(std::size_t daemon, const std::string& id) {
  const event_loop::ConnId conn = loop_->Connect(daemons_[daemon], this);
  pbs_protocol::Request r = Make(pbs_protocol::RequestType::kDeleteJob, id);
  r.command = 1;
  loop_->Send(conn, Bytes(r));
  loop_->AddTimer(loop_->Now() + kSecond, [this, conn] { loop_->Close(conn, true); });
}

void Clients::Finish(std::uint64_t number, const char* event, const std::string& answer,
                     const std::string& text) {
  const auto it = jobs_.find(number);
  Log(it->second, event, {{"answer", answer}, {"text", text}});
  ++answers_[answer.empty() ? event : answer];
  of_conn_.erase(it->second.conn);
  loop_->Close(it->second.conn, true);
  jobs_.erase(it);
}

void Clients::Retry(Client& c, const std::string& why) {
  of_conn_.erase(c.conn);
  loop_->Abort(c.conn);
  if (c.step == Step::kCommit || c.step == Step::kAnswer)
    c.earlier_until = std::max(c.earlier_until, c.deadline);
  if (loop_->Now() + kSecond / 2 >= c.deadline && c.earlier_until != 0) {
    // The owner's time for this ask is over; it asks anew, with a new deadline, as a repeat.
    const auto limit = limits_.find(c.load.queue);
    c.deadline = loop_->Now() + (limit == limits_.end() ? 10 * kSecond : limit->second);
  }
  Log(c, "retry", {{"text", why}});
  if (c.tries >= 6) return Finish(c.number, "gave_up", "", "no more tries");
  c.daemon = (c.daemon + 1) % daemons_.size();
  Try(c);
}

void Clients::OnClosed(event_loop::ConnId conn, const std::string& reason) {
  const auto of = of_conn_.find(conn);
  if (of == of_conn_.end()) return;
  const std::uint64_t number = of->second;
  of_conn_.erase(of);
  Client& c = jobs_.at(number);
  if (c.key.empty() && (c.id.empty() || c.step == Step::kQueue)) return Finish(number, "lost", "", reason);
  if (c.key.empty()) {
    // Its daemon keeps jobs: who committed one, or may have, asks for its answer until it is told.
    c.conn = 0;
    loop_->AddTimer(loop_->Now() + 100'000 + random_() % 200'000, [this, number] {
      const auto it = jobs_.find(number);
      if (it != jobs_.end() && it->second.conn == 0) AskForAnswer(it->second);
    });
    return;
  }
  // The daemon went away: asked for again a little later, elsewhere.
  c.conn = 0;
  const unsigned try_number = c.tries;
  loop_->AddTimer(loop_->Now() + 100'000 + random_() % 200'000, [this, number, try_number, reason] {
    const auto it = jobs_.find(number);
    if (it != jobs_.end() && it->second.tries == try_number) Retry(it->second, reason);
  });
}

void Clients::Reconnect(double share, Micros within) {
  const Micros now = loop_->Now();
  std::erase_if(running_, [now](const Running& r) { return r.until <= now; });
  std::map<std::string, bool> stopped;
  std::vector<Running> again;
  for (const Running& r : running_) {
    const auto [it, fresh] = stopped.emplace(r.service, false);
    if (fresh) it->second = std::uniform_real_distribution<double>(0, 1)(random_) < share;
    if (it->second) again.push_back(r);
  }
  std::erase_if(running_, [&stopped](const Running& r) { return stopped[r.service]; });
  for (const Running& r : again) {
    Delete(r.daemon, r.id);
    loop_->AddTimer(now + random_() % std::max<Micros>(within, 1), [this, r] { Submit(r.load, r.service); });
  }
}

void Clients::CancelSome(int count) { to_cancel_ += count; }

void Clients::GoneBeforeCommit() {
  const event_loop::ConnId conn = loop_->Connect(daemons_[0], this);
  pbs_protocol::Request queue = Make(pbs_protocol::RequestType::kQueueJob);
  queue.destination = load_[0].queue;
  queue.attributes.push_back({"Job_Name", "", "gone-before-commit", pbs_protocol::Op::kSet});
  loop_->Send(conn, Bytes(queue) + Bytes(Make(pbs_protocol::RequestType::kReadyToCommit)));
  loop_->AddTimer(loop_->Now() + 50'000, [this, conn] { loop_->Abort(conn); });
}

void Clients::HalfFrame() {
  const event_loop::ConnId conn = loop_->Connect(daemons_[0], this);
  loop_->Send(conn, "+2+1+1+4root+0+7serv");
  loop_->AddTimer(loop_->Now() + 300'000, [this, conn] { loop_->Abort(conn); });
}

}  // namespace mountflow::chaos
