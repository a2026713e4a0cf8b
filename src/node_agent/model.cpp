#include "node_agent/model.hpp"

#include <algorithm>
#include <cstdio>
#include <limits>
#include <utility>

namespace mountflow::node_agent {
namespace {

constexpr Micros kNever = std::numeric_limits<Micros>::max();
constexpr Micros kEvictPeriod = 250'000;

}  // namespace

NodeModel::NodeModel(NodeConfig config, std::shared_ptr<KeyMemory> keys, Micros now, Micros started)
    : config_(std::move(config)),
      keys_(std::move(keys)),
      now_(now),
      started_(started),
      random_(config_.seed) {
  if (!keys_) keys_ = std::make_shared<KeyMemory>();
}

double NodeModel::Draw() {
  random_ += 0x9e3779b97f4a7c15u;
  std::uint64_t z = random_;
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
  return static_cast<double>((z ^ (z >> 31)) >> 11) * 0x1.0p-53;
}

double NodeModel::Pace() const {
  if (started_ == 0 || now_ >= started_ + config_.slow_start_duration) return 1.0;
  const double age = now_ > started_ ? static_cast<double>(now_ - started_) : 0.0;
  return config_.slow_start_initial_pace +
         (1.0 - config_.slow_start_initial_pace) * age / static_cast<double>(config_.slow_start_duration);
}

void NodeModel::At(Micros when, const std::string& attempt) { timers_.emplace(when, attempt); }

Micros NodeModel::NextTimer() const { return timers_.empty() ? kNever : timers_.begin()->first; }

void NodeModel::Bury(const std::string& attempt) {
  if (!buried_.insert(attempt).second) return;
  buried_order_.push_back(attempt);
  if (buried_order_.size() <= config_.tombstones) return;
  buried_.erase(buried_order_.front());
  buried_order_.pop_front();
}

// ---- Asks ----

void NodeModel::Offer(Micros now, TaskAsk ask) {
  now_ = std::max(now_, now);
  const std::string name = ask.attempt;
  const auto no = [&](RejectionReason cause, const char* words) {
    says_.push_back(OfferAnswer{name, false, cause, words});
  };
  if (fallen_) return no(RejectionReason::kNotAccepting, "fallen over");
  // Every offer is pressure, refused ones too.
  if (started_ != 0 && now_ < started_ + config_.slow_start_duration) {
    offers_.push_back(now_);
    while (!offers_.empty() && offers_.front() + config_.slow_start_window <= now_) offers_.pop_front();
    const double per_second = static_cast<double>(config_.starts) * 1e6 /
                              (static_cast<double>(config_.start_work) * std::max(1.0, config_.setup));
    const double window = static_cast<double>(config_.slow_start_window) * 1e-6;
    const double borne =
        std::max(config_.cold_bears, config_.overload_multiple * Pace() * per_second * window);
    if (static_cast<double>(offers_.size()) > borne) {
      fallen_ = true;
      says_.push_back(FellOver{offers_.size(), borne});
      return no(RejectionReason::kNotAccepting, "fallen over");
    }
  }
  if (draining_) return no(RejectionReason::kNotAccepting, "draining");
  if (buried_.count(name) > 0 || held_.count(name) > 0)
    return no(RejectionReason::kNotAccepting, "given up or asked before");
  if (held_.size() >= config_.most_tasks) return no(RejectionReason::kQueueFull, "as many tasks as it holds");
  if (line_.size() >= config_.admit_queue && !looked_.empty())
    return no(RejectionReason::kQueueFull, "too many offers wait");
  Entry h;
  h.ask = std::move(ask);
  h.since = now_;
  h.order = ++order_;
  held_.emplace(name, std::move(h));
  line_.push_back(name);
  Look();
}

// Takes the next ask from the line when none is looked at.
void NodeModel::Look() {
  while (looked_.empty() && !line_.empty()) {
    looked_ = line_.front();
    line_.pop_front();
    const auto it = held_.find(looked_);
    if (it == held_.end() || it->second.step != Step::kInLine) {
      looked_.clear();
      continue;
    }
    it->second.step = Step::kLooked;
    it->second.due = now_ + static_cast<Micros>(static_cast<double>(config_.admit) * slow_);
    At(it->second.due, looked_);
  }
}

bool NodeModel::HasRoom(const TaskAsk& ask, RejectionReason* cause) const {
  constexpr double kSlack = 1e-9;
  *cause = RejectionReason::kNoCores;
  if (asked_cores_ + ask.cores > config_.cores * config_.overcommit_cores + kSlack) return false;
  *cause = RejectionReason::kNoMemory;
  return asked_memory_ + ask.memory <= config_.memory * config_.overcommit_memory + kSlack;
}

// Pushes out tasks of lower priority, the lowest and youngest first, if that makes room.
bool NodeModel::MakeRoom(const TaskAsk& ask) {
  if (!config_.preempts) return false;
  std::vector<std::pair<std::pair<int, std::uint64_t>, std::string>> lower;
  double cores = 0.0, memory = 0.0;
  for (const auto& [name, h] : held_) {
    if (h.step < Step::kCommitted || h.stopping || h.ask.priority >= ask.priority) continue;
    lower.push_back({{h.ask.priority, ~h.order}, name});
    cores += h.ask.cores;
    memory += h.ask.memory;
  }
  if (asked_cores_ - cores + ask.cores > config_.cores * config_.overcommit_cores ||
      asked_memory_ - memory + ask.memory > config_.memory * config_.overcommit_memory) {
    return false;
  }
  std::sort(lower.begin(), lower.end());
  RejectionReason cause = RejectionReason::kUnspecified;
  for (const auto& [rank, name] : lower) {
    if (HasRoom(ask, &cause)) break;
    End(name, TaskEnd::kPushedOut, 271, "pushed out for a task of higher priority");
  }
  return HasRoom(ask, &cause);
}

bool NodeModel::Commit(Micros now, const std::string& attempt) {
  now_ = std::max(now_, now);
  const auto it = held_.find(attempt);
  if (it == held_.end() || it->second.step != Step::kReserved) return false;
  Entry& h = it->second;
  // Danger: a commit that waited in a buffer while its owner gave up.
  if ((h.ask.until != 0 && now_ > h.ask.until) || fallen_ || draining_) {
    Remove(attempt);
    Bury(attempt);
    return false;
  }
  h.step = Step::kCommitted;
  h.since = now_;
  to_start_.push_back(attempt);
  if (!config_.ack_running) says_.push_back(Accepted{attempt});
  StartSome();
  return true;
}

void NodeModel::Drop(Micros now, const std::string& attempt) {
  now_ = std::max(now_, now);
  const auto it = held_.find(attempt);
  if (it == held_.end() || it->second.step >= Step::kCommitted) return;
  Remove(attempt);
  Look();
}

bool NodeModel::Query(Micros now, const std::string& attempt) {
  now_ = std::max(now_, now);
  const auto it = held_.find(attempt);
  if (it != held_.end() && it->second.step >= Step::kCommitted) return true;
  if (it != held_.end()) Drop(now, attempt);
  Bury(attempt);
  return false;
}

bool NodeModel::Stop(Micros now, const std::string& attempt) {
  now_ = std::max(now_, now);
  Bury(attempt);
  const auto it = held_.find(attempt);
  if (it == held_.end()) return false;
  if (it->second.step < Step::kCommitted) {
    Drop(now, attempt);
    return false;
  }
  if (config_.exec && it->second.step == Step::kRunning) {
    if (!it->second.stopping) says_.push_back(KillTask{attempt, "SIGTERM"});
    it->second.stopping = true;
    return true;
  }
  End(attempt, TaskEnd::kKilled, 271, "stopped");
  return true;
}

bool NodeModel::Signal(Micros now, const std::string& attempt, const std::string& signal) {
  now_ = std::max(now_, now);
  const auto it = held_.find(attempt);
  if (it == held_.end() || it->second.step != Step::kRunning) return false;
  if (config_.exec) {
    says_.push_back(KillTask{attempt, signal});
  } else if (signal == "SIGTERM" || signal == "TERM" || signal == "15" || signal == "SIGKILL" ||
             signal == "KILL" || signal == "9") {
    const bool kill = signal.find('9') != std::string::npos || signal.find("KILL") != std::string::npos;
    End(attempt, TaskEnd::kExited, kill ? 265 : 271, "ended by signal " + signal);
  }
  return true;
}

// ---- Starting and running ----

void NodeModel::StartSome() {
  while (starting_ < config_.starts && !to_start_.empty()) {
    const std::string name = to_start_.front();
    to_start_.pop_front();
    const auto it = held_.find(name);
    if (it == held_.end() || it->second.step != Step::kCommitted) continue;
    Entry& h = it->second;
    const bool warm =
        services_[h.ask.service] > 0 || std::find(kept_.begin(), kept_.end(), h.ask.service) != kept_.end();
    if (services_[h.ask.service] == 0) services_.erase(h.ask.service);
    const double work = static_cast<double>(config_.start_work) * (warm ? 1.0 : std::max(1.0, config_.setup));
    h.step = Step::kStarting;
    h.since = now_;
    ++starting_;
    h.due = now_ + static_cast<Micros>(work * slow_ / Pace());
    At(h.due, name);
  }
}

void NodeModel::Run(const std::string& attempt) {
  Entry& h = held_.at(attempt);
  --starting_;
  h.step = Step::kRunning;
  h.since = now_;
  ++services_[h.ask.service];
  std::erase(kept_, h.ask.service);
  h.use_cores = h.ask.cores * std::min(1.0, config_.use_cores * (0.75 + 0.5 * Draw()));
  h.use_memory = h.ask.memory * config_.use_memory * (0.85 + 0.3 * Draw());
  if (Draw() < config_.over_share) h.use_memory *= config_.over_factor;
  if (config_.ack_running) says_.push_back(Accepted{attempt});
  if (config_.exec) {
    says_.push_back(RunTask{attempt});
  } else {
    h.ends = now_ + (h.ask.life != 0 ? h.ask.life : config_.life);
  }
  if (h.ask.walltime != 0) h.ends = std::min(h.ends == 0 ? kNever : h.ends, now_ + h.ask.walltime);
  if (h.ends != 0) At(h.ends, attempt);
  if (evict_at_ == 0) At(evict_at_ = now_ + kEvictPeriod);
}

void NodeModel::Keep(const std::string& service) {
  std::erase(kept_, service);
  kept_.push_back(service);
  while (kept_.size() > config_.kept) kept_.pop_front();
}

// Takes it out of all tables, without a word.
void NodeModel::Remove(const std::string& attempt) {
  const auto it = held_.find(attempt);
  if (it == held_.end()) return;
  const Entry& h = it->second;
  if (h.step >= Step::kReserved) {
    asked_cores_ -= h.ask.cores;
    asked_memory_ -= h.ask.memory;
    if (!h.ask.key.empty()) keys_->Release(h.ask.key, attempt);
  }
  if (h.step == Step::kStarting) --starting_;
  if (h.step == Step::kRunning && --services_[h.ask.service] == 0) {
    services_.erase(h.ask.service);
    Keep(h.ask.service);
  }
  if (looked_ == attempt) looked_.clear();
  held_.erase(it);
  if (held_.empty()) asked_cores_ = asked_memory_ = 0.0;  // no drift from rounding
}

void NodeModel::End(const std::string& attempt, TaskEnd end, int status, const std::string& words) {
  Entry& h = held_.at(attempt);
  if (config_.exec && h.step == Step::kRunning && end != TaskEnd::kExited) {
    says_.push_back(KillTask{attempt, "SIGKILL"});
  }
  // Where yes means running, a commit may still wait for its answer: it was accepted, and then it ended.
  if (config_.ack_running && h.step < Step::kRunning) says_.push_back(Accepted{attempt});
  Remove(attempt);
  Bury(attempt);
  says_.push_back(TaskEnded{attempt, end, status, words});
  StartSome();
}

void NodeModel::Exited(Micros now, const std::string& attempt, int status) {
  now_ = std::max(now_, now);
  const auto it = held_.find(attempt);
  if (it == held_.end()) return;
  End(attempt, it->second.stopping ? TaskEnd::kKilled : TaskEnd::kExited, status, "");
}

void NodeModel::SetDraining(Micros now, bool draining) {
  now_ = std::max(now_, now);
  draining_ = draining;
  if (!draining) return;
  const std::deque<std::string> line = std::exchange(line_, {});
  for (const std::string& name : line) {
    Remove(name);
    says_.push_back(OfferAnswer{name, false, RejectionReason::kNotAccepting, "draining"});
  }
  if (!config_.drain_sends_away) return;
  std::vector<std::string> away;
  for (const auto& [name, h] : held_) {
    if (h.step >= Step::kCommitted) away.push_back(name);
  }
  for (const std::string& name : away) End(name, TaskEnd::kSentAway, 271, "sent away: the node drains");
}

// Out of memory: the lowest priority first, then those furthest over what they asked.
void NodeModel::Evict() {
  for (;;) {
    double used = 0.0, worst = 0.0;
    const std::string* victim = nullptr;
    int lowest = std::numeric_limits<int>::max();
    for (const auto& [name, h] : held_) {
      if (h.step != Step::kRunning) continue;
      const double grown =
          config_.grow == 0
              ? 1.0
              : std::min(1.0, static_cast<double>(now_ - h.since) / static_cast<double>(config_.grow));
      const double use = h.use_memory * (0.5 + 0.5 * grown);
      used += use;
      const double over = use - h.ask.memory;
      if (h.ask.priority < lowest || (h.ask.priority == lowest && over > worst)) {
        lowest = h.ask.priority;
        worst = over;
        victim = &name;
      }
    }
    if (used <= config_.memory || victim == nullptr) return;
    const std::string name = *victim;
    End(name, TaskEnd::kEvicted, 271, "evicted: the node ran out of memory");
  }
}

void NodeModel::Tick(Micros now) {
  now_ = std::max(now_, now);
  while (!timers_.empty() && timers_.begin()->first <= now_) {
    const Micros at = timers_.begin()->first;
    const std::string name = timers_.begin()->second;
    timers_.erase(timers_.begin());
    if (name.empty()) {
      evict_at_ = 0;
      if (!config_.exec) Evict();
      if (running() > 0) At(evict_at_ = now_ + kEvictPeriod);
      continue;
    }
    const auto it = held_.find(name);
    if (it == held_.end()) continue;
    Entry& h = it->second;
    if (h.step == Step::kLooked && at == h.due) {
      looked_.clear();
      RejectionReason cause = RejectionReason::kUnspecified;
      if (!h.ask.key.empty() && keys_->Holder(h.ask.key) != nullptr) {
        const TaskAsk ask = h.ask;
        Remove(name);
        says_.push_back(OfferAnswer{name, false, RejectionReason::kNotAccepting,
                                    "a copy of this key stands in the rack"});
      } else if (HasRoom(h.ask, &cause) || MakeRoom(h.ask)) {
        h.step = Step::kReserved;
        asked_cores_ += h.ask.cores;
        asked_memory_ += h.ask.memory;
        if (!h.ask.key.empty()) keys_->Take(h.ask.key, name);
        says_.push_back(OfferAnswer{name, true, RejectionReason::kUnspecified, ""});
        // Danger: a reservation whose commit never comes must not hold its room for ever.
        At(std::max(h.ask.until, now_) + 1, name);
      } else {
        char words[128];
        std::snprintf(words, sizeof words, "%s: %.6g of %.6g free, asked for %.6g",
                      cause == RejectionReason::kNoCores ? "no cores" : "no memory",
                      cause == RejectionReason::kNoCores ? free_cores() : free_memory(),
                      cause == RejectionReason::kNoCores ? config_.cores : config_.memory,
                      cause == RejectionReason::kNoCores ? h.ask.cores : h.ask.memory);
        Remove(name);
        says_.push_back(OfferAnswer{name, false, cause, words});
      }
      Look();
    } else if (h.step == Step::kReserved && h.ask.until != 0 && now_ > h.ask.until) {
      Remove(name);
      Bury(name);
    } else if (h.step == Step::kStarting && at == h.due) {
      Run(name);
      StartSome();
    } else if (h.step == Step::kRunning && h.ends != 0 && now_ >= h.ends) {
      const bool over = h.ask.walltime != 0 && now_ >= h.since + h.ask.walltime;
      if (config_.exec) {
        h.ends = 0;
        says_.push_back(KillTask{name, "SIGTERM"});
      } else {
        End(name, TaskEnd::kExited, over ? 271 : 0, over ? "walltime exceeded" : "");
      }
    }
  }
}

// ---- Reading ----

std::vector<std::string> NodeModel::Held() const {
  std::vector<std::string> names;
  for (const auto& [name, h] : held_) {
    if (h.step >= Step::kCommitted) names.push_back(name);
  }
  return names;
}

const TaskAsk* NodeModel::AskOf(const std::string& attempt) const {
  const auto it = held_.find(attempt);
  return it == held_.end() ? nullptr : &it->second.ask;
}

const std::string* NodeModel::HolderOf(const std::string& key) const {
  const std::string* holder = keys_->Holder(key);
  if (holder == nullptr) return nullptr;
  const auto it = held_.find(*holder);
  return it != held_.end() && it->second.step >= Step::kCommitted ? &it->first : nullptr;
}

std::size_t NodeModel::running() const {
  std::size_t count = 0;
  for (const auto& [service, tasks] : services_) count += tasks;
  return count;
}

LoadReport NodeModel::Load(Micros now) {
  now_ = std::max(now_, now);
  if (load_at_ != 0 && now_ < load_at_ + config_.report_period) return load_;
  load_at_ = now_;
  double used = 0.0;
  for (const auto& [name, h] : held_) {
    if (h.step == Step::kRunning) used += h.use_cores;
  }
  load_.free_cores = free_cores();
  load_.free_memory = free_memory();
  load_.queued = static_cast<double>(line_.size() + (looked_.empty() ? 0 : 1) + to_start_.size() + starting_);
  load_.utilisation = std::min(1.0, used / config_.cores);
  return load_;
}

}  // namespace mountflow::node_agent
