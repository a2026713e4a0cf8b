// The fixture of the platform's soak test. A run starts the program on loopback several times, with the
// traffic of clients and the faults of a SoakPlan. Messages are logged for the invariant checker; failures
// that the log cannot show are reported as findings.
//
// A run measures how late its own timers fire and how long the program takes to answer a health check. If
// either is long enough for answers to be late because the host is busy, the run is marked as disturbed and
// is inconclusive.
#ifndef MOUNTFLOW_TESTS_SUPPORT_PLATFORM_SOAK_FIXTURE_HPP_
#define MOUNTFLOW_TESTS_SUPPORT_PLATFORM_SOAK_FIXTURE_HPP_

#include <sys/stat.h>

#include "tests/support/platform_process_fixture.hpp"
#include "tests/support/platform_soak_peers.hpp"
#include "tests/support/platform_soak_plan.hpp"

namespace mountflow::testing {

// Limits of an undisturbed run: half of the tolerance that the protocol adds to each time limit, and the
// whole tolerance.
inline constexpr Micros kMaxLateness = 25'000;
inline constexpr Micros kMaxReplyTime = 50'000;

// The result of a run.
struct SoakReport {
  std::vector<std::string> findings;
  Micros max_lateness = 0;    // maximum delay of the run's own timers
  Micros max_reply_time = 0;  // maximum time until the program answered a health check
  std::size_t requests = 0;
  std::size_t started = 0;
  std::size_t resent = 0;   // requests sent again, because they may have crossed the close of a connection
  std::size_t excused = 0;  // requests without an answer after a kill, or that crossed the exit

  [[nodiscard]] bool IsDisturbed() const {
    return max_lateness > kMaxLateness || max_reply_time > kMaxReplyTime;
  }
};

// PlatformSoakFixture runs the program according to a SoakPlan and collects the findings.
class PlatformSoakFixture : public PlatformProcess {
 protected:
  void SetUp() override {
    char folder[] = "/tmp/mountflow-soak-XXXXXX";
    ASSERT_NE(mkdtemp(folder), nullptr);
    folder_ = folder;
  }

  // Runs the plan of a seed with all its incarnations.
  SoakReport RunSoak(std::uint64_t seed) {
    StartPeers(seed);
    const SoakPlan plan(seed);
    for (const SoakIncarnation& incarnation : plan.incarnations) RunIncarnation(incarnation);
    report_.requests = sent_.size();
    report_.started = answers_.size();
    InvariantLimits limits;
    // The program counts attempts by the time at which it sends them, this run by the time at which the node
    // reads them.
    limits.slow_start_window -= kMaxLateness;
    for (const std::string& violation : CheckInvariants(message_log, limits)) {
      report_.findings.push_back(violation + "\n" + DescribeRequest(message_log, UidIn(violation)));
      const std::size_t node = violation.find("overloads ");
      if (node == std::string::npos) continue;
      report_.findings.back() += DescribeNode(message_log, violation.substr(violation.rfind(' ') + 1));
    }
    StopPeers();
    return std::move(report_);
  }

 private:
  struct SentRequest {
    Micros at = 0;
    std::string bytes;
    bool is_resent = false;
    bool is_excused = false;
    std::string task_class;
    std::string service;
  };

  static constexpr Micros kMilli = 1000, kSecond = 1'000'000;
  static constexpr Micros kTick = 5 * kMilli;
  static constexpr unsigned kTicksPerRequest = 3;
  static constexpr std::size_t kClients = 6;
  static constexpr std::size_t kTasksPerNode = 8;
  // According to the protocol, a request sent at most this long before a close of its connection is sent once
  // more.
  static constexpr Micros kCrossing = 50 * kMilli;
  static constexpr Micros kKillAfterSignal = 3'700 * kMilli;
  static constexpr Micros kMaxReadyTime = 10 * kSecond;
  static constexpr Micros kSettleTime = 500 * kMilli;      // wait for messages in flight, before a kill
  static constexpr Micros kReplaceTime = 400 * kMilli;     // time until an ended node is restarted
  static constexpr Micros kListRecovery = 2'000 * kMilli;  // time until an ended list fault has no effect
  static constexpr std::size_t kDescriptorSlack = 16;
  static constexpr std::size_t kMaxMemoryGrowthKb = 4'096;

  // ---- Peers ----

  void StartPeers(std::uint64_t seed) {
    random_.seed(seed * 2 + 1);
    report_ = {};
    message_log.clear();
    sent_.clear();
    answers_.clear();
    ordered_ = 0;
    late_listings_.clear();
    listed_at_.clear();
    list_recovered_at_ = 0;
    nodes.clear();
    change_log.events.clear();
    change_log.requested_since.clear();
    std::string entries;
    for (std::size_t i = 0; i < SoakPlan::kNodes; ++i) {
      nodes.push_back(NewNode(i));
      entries += (i == 0 ? "" : ",") + EntryOf(*nodes[i]);
      LogNodeListed(*nodes[i], 0);
    }
    change_log.AddEvent(entries, true);
  }
  void StopPeers() {
    soak_clients_.clear();
    flood_clients_.clear();
    health_client_.reset();
    replacement_log_.reset();
    change_log.silent = false;
    daemon.reset();
    for (const event_loop::TimerId timer : timers_) loop.CancelTimer(timer);
    timers_.clear();
  }
  std::unique_ptr<SoakNode> NewNode(std::size_t index) {
    return std::make_unique<SoakNode>(&loop, "m-" + std::to_string(index), static_cast<unsigned>(index / 2),
                                      &message_log, random_());
  }
  SoakNode& Node(std::size_t index) { return static_cast<SoakNode&>(*nodes[index]); }
  SoakClient& NewSoakClient() {
    soak_clients_.push_back(std::make_unique<SoakClient>(&loop, listen, &message_log, &answers_));
    return *soak_clients_.back();
  }

  std::uint64_t Draw(std::uint64_t below) { return random_() % below; }
  // Returns the uid in a violation of the form "rule N: UID: ...".
  static RequestUid UidIn(const std::string& violation) {
    return std::strtoull(violation.substr(violation.find(": ") + 2).c_str(), nullptr, 16);
  }
  void AddFinding(const std::string& text) { report_.findings.push_back(text); }
  void After(Micros delay, std::function<void()> call) {
    timers_.push_back(loop.AddTimer(loop.Now() + delay, std::move(call)));
  }
  void RunTurnsUntil(const std::function<bool()>& holds) {
    RunUntil([this, &holds] {
      OrderTurn();
      return holds();
    });
  }
  void RunFor(Micros length) {
    const Micros until = loop.Now() + length;
    After(length, [] {});  // makes the loop run a turn at that time even if nothing else happens
    RunTurnsUntil([this, until] { return loop.Now() >= until; });
  }

  // Sorts the messages that were logged in this turn, because sockets that are ready in one turn are read in
  // any order. The order of writing is: ends of earlier attempts, then attempts with their own ends, then the
  // messages that clients received.
  void OrderTurn() {
    for (std::size_t i = 0; i < nodes.size(); ++i) Node(i).EndClosedAttempts();
    using Kind = LoggedMessage::Kind;
    const auto begin = message_log.begin() + static_cast<std::ptrdiff_t>(ordered_);
    std::set<std::pair<RequestUid, std::string>> begun;  // attempts of this turn with their nodes
    std::vector<std::vector<LoggedMessage>> parts(3);
    for (auto it = begin; it != message_log.end(); ++it) {
      const bool is_received = it->kind == Kind::kAnswered || it->kind == Kind::kNotified;
      const bool is_end = it->kind == Kind::kAttemptEnded || it->kind == Kind::kTaskEnded;
      if (it->kind == Kind::kAttempt) begun.insert({it->uid, it->node});
      const bool is_of_turn = it->kind == Kind::kAttempt || (is_end && begun.count({it->uid, it->node}) > 0);
      parts[is_received ? 2 : is_of_turn ? 1 : 0].push_back(*it);
    }
    message_log.erase(begin, message_log.end());
    for (const auto& part : parts) message_log.insert(message_log.end(), part.begin(), part.end());
    ordered_ = message_log.size();
  }

  // ---- One incarnation of the program ----

  void RunIncarnation(const SoakIncarnation& incarnation) {
    StartIncarnation(incarnation);
    for (const TimedSoakFault& fault : incarnation.faults) {
      After(fault.at, [this, fault] { Inject(fault); });
    }
    is_serving_ = may_connect_ = sends_requests_ = ends_tasks_ = true;
    next_tick_ = loop.Now();
    Tick();
    RunFor(incarnation.length);
    CheckNodeListIsFollowed();
    incarnation.exit == SoakExit::kKilled ? KillProgram() : TerminateProgram(incarnation);
    FinishIncarnation();
  }

  void StartIncarnation(const SoakIncarnation& incarnation) {
    Configure(LogAddress());
    const Micros spawned_at = loop.Now();
    incarnation.signalled_before_ready ? SpawnWithSignalBeforeReady() : Spawn();
    WaitUntilReady();
    clients.clear();
    if (loop.Now() > spawned_at + kMaxReadyTime) AddFinding("not ready within 10 s");
    RecoverRunningTasks();
  }
  // Uses a pipe as configuration file, so that the signals arrive when the program has installed its signal
  // handlers but is not ready.
  void SpawnWithSignalBeforeReady() {
    const std::string file = folder_ + "/config.json";
    std::filesystem::remove(file);
    ASSERT_EQ(mkfifo(file.c_str(), 0600), 0);
    Spawn();
    const int pipe = open(file.c_str(), O_WRONLY | O_CLOEXEC);  // blocks until the program reads
    ASSERT_GE(pipe, 0);
    Configure(LogAddress());
    daemon->Signal(SIGHUP);
    daemon->Signal(SIGHUP);
    const std::string text = Configuration(LogAddress());
    ASSERT_EQ(write(pipe, text.data(), text.size()), static_cast<ssize_t>(text.size()));
    close(pipe);
  }
  // Sends the running tasks that the client knows to the new incarnation of the program. The other ones end.
  void RecoverRunningTasks() {
    SoakClient& client = NewSoakClient();
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      for (const RequestUid uid : std::set<RequestUid>(nodes[i]->running)) {
        const auto request = sent_.find(uid);
        const bool is_known = request != sent_.end() && WasStarted(uid) && !request->second.is_excused;
        if (!is_known) {
          Node(i).EndUnknownTask(uid);
          continue;
        }
        client.Launch(uid, request->second.task_class, 2000, request->second.service,
                      ";at:" + nodes[i]->name);
      }
    }
    RunFor(kRecoveryTime);
  }
  [[nodiscard]] bool WasStarted(RequestUid uid) const {
    return std::any_of(answers_.begin(), answers_.end(), [uid](const auto& answer) {
      return answer.first == uid && answer.second.kind == ClientMessageKind::kAnswer;
    });
  }

  // Checks that the program has polled beyond every event that was in the change log for kListRecovery
  // without a fault of the list.
  void CheckNodeListIsFollowed() {
    std::uint64_t due = 0;
    for (const auto& [at, number] : listed_at_) {
      if (std::max(at, list_recovered_at_) + kListRecovery <= loop.Now()) due = number;
    }
    const std::vector<std::uint64_t>& polls = ActiveLog().requested_since;
    const std::uint64_t known = polls.empty() ? 0 : polls.back();
    if (due <= known) return;
    AddFinding("the node list was not read: event " + std::to_string(due) + " is due, last poll was since " +
               std::to_string(known));
  }

  void KillProgram() {
    ends_tasks_ = false;
    RunFor(kSettleTime);
    is_serving_ = may_connect_ = sends_requests_ = false;
    for (const auto& [uid, request] : sent_) {
      if (!IsAnswered(uid)) Excuse(uid);
    }
    daemon->Kill();
  }

  void TerminateProgram(const SoakIncarnation& incarnation) {
    if (incarnation.reload_before_exit) Reload(!incarnation.invalid_reload);
    const Micros signalled_at = loop.Now();
    daemon->Signal(SIGTERM);
    if (incarnation.reload_after_exit) Reload(!incarnation.invalid_reload);
    if (incarnation.second_signal)
      After(100 * kMilli + Draw(400) * kMilli, [this] { daemon->Signal(SIGTERM); });
    After(300 * kMilli, [this] { ends_tasks_ = false; });
    After(incarnation.new_connections_for, [this] { may_connect_ = false; });
    if (!incarnation.requests_until_exit) {
      After(incarnation.new_connections_for + 200 * kMilli, [this] { sends_requests_ = false; });
    }
    RunTurnsUntil([&] { return daemon->HasEnded() || loop.Now() >= signalled_at + kKillAfterSignal; });
    is_serving_ = may_connect_ = sends_requests_ = ends_tasks_ = false;
    if (!daemon->HasEnded()) {
      AddFinding("still running when SIGKILL is due");
      return daemon->Kill();
    }
    const int status = daemon->Wait();
    if (status != 0) AddFinding("exit status " + std::to_string(status) + " after SIGTERM");
  }

  // Reads the bytes that are still in the sockets. Then each request must have its answer or have crossed the
  // exit.
  void FinishIncarnation() {
    RunFor(100 * kMilli);
    for (const auto& client : soak_clients_) {
      for (const RequestUid uid : client->launched) {
        if (sent_.count(uid) == 0 || IsAnswered(uid) || sent_[uid].is_excused) continue;
        const bool crossed = !client->connected || sent_[uid].at + kCrossing >= client->closed_at;
        crossed ? Excuse(uid) : AddFinding(Unanswered(uid, *client) + " at the exit");
      }
    }
    soak_clients_.clear();
    flood_clients_.clear();
    health_client_.reset();
    daemon.reset();
  }

  // ---- Traffic ----

  void Tick() {
    if (!is_serving_) return;
    report_.max_lateness = std::max(report_.max_lateness, loop.Now() - next_tick_);
    next_tick_ = loop.Now() + kTick;
    CheckHealth();
    After(kTick, [this] { Tick(); });
    LogLateListings();
    ReplaceClosedClients();
    if (ends_tasks_) EndTasks();
    if (sends_requests_ && ++ticks_ % kTicksPerRequest == 0) SendRequest();
  }

  // Sends a health check on a connection of its own. At most one is in flight.
  void CheckHealth() {
    if (health_client_ && !health_client_->closed && health_client_->health_replies.empty()) {
      report_.max_reply_time = std::max(report_.max_reply_time, loop.Now() - health_checked_at_);
      return;
    }
    if (!health_client_ || health_client_->closed) {
      if (!may_connect_) return;
      health_client_ = std::make_unique<FakeClient>(&loop, listen, &message_log);
    }
    health_client_->health_replies.clear();
    health_client_->CheckHealth();
    health_checked_at_ = loop.Now();
  }

  void EndTasks() {
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      if (nodes[i]->running.size() <= kTasksPerNode || nodes[i]->connections.empty()) continue;
      Node(i).EndTaskWithRepeats(*nodes[i]->running.begin());
    }
  }

  // Returns null if no connection can be used.
  SoakClient* ChooseClient() {
    std::vector<SoakClient*> open;
    for (const auto& client : soak_clients_) {
      if (!client->closed && client->part == 0) open.push_back(client.get());
    }
    if (open.size() < kClients && may_connect_) return &NewSoakClient();
    return open.empty() ? nullptr : open[Draw(open.size())];
  }

  void SendRequest() {
    SoakClient* client = ChooseClient();
    if (client == nullptr) return;
    const RequestUid uid = next_uid_++;
    SentRequest& request = sent_[uid];
    const bool is_batch = Draw(100) < 15;
    request.task_class = is_batch ? "batch" : "service";
    request.service = WriteHex(Draw(is_batch ? 6 : 20));
    const int time_left = static_cast<int>(is_batch ? 1000 + Draw(2200) : 600 + Draw(1400));
    request.bytes = FakeClient::EncodeLaunch(uid, request.task_class, time_left, request.service);
    request.at = loop.Now();
    const std::uint64_t manner = Draw(100);
    if (manner < 10) return SendInPieces(client, uid, time_left);
    client->LogRequest(uid, request.task_class, time_left, request.service);
    client->SendLaunch(uid, request.bytes);
    if (manner < 15) client->Cancel(uid);
    if (manner >= 15 && manner < 20) CancelLater(client, uid);
    if (manner == 20) LeaveWithRequests(client);
  }
  void SendInPieces(SoakClient* client, RequestUid uid, int time_left) {
    const std::string bytes = sent_[uid].bytes;
    const std::size_t cut = 1 + Draw(bytes.size() - 1);
    client->SendLaunch(uid, bytes.substr(0, cut));
    // Until the second part is sent, no other request may be sent on this connection.
    client->part = uid;
    const event_loop::ConnId conn = client->conn;
    After(1 * kMilli + Draw(20) * kMilli, [this, conn, uid, time_left, rest = bytes.substr(cut)] {
      SoakClient* sender = FindClient(conn);
      if (sender == nullptr || sender->closed || sent_[uid].is_excused) {
        sent_.erase(uid);  // the request was not completed before its connection or the program ended
        return;
      }
      sender->part = 0;
      sent_[uid].at = loop.Now();
      sender->LogRequest(uid, sent_[uid].task_class, time_left, sent_[uid].service);
      sender->SendRaw(rest);
    });
  }
  SoakClient* FindClient(event_loop::ConnId conn) {
    for (const auto& client : soak_clients_) {
      if (client->conn == conn) return client.get();
    }
    return nullptr;
  }
  void CancelLater(SoakClient* client, RequestUid uid) {
    After(Draw(30) * kMilli, [this, conn = client->conn, uid] {
      SoakClient* sender = FindClient(conn);
      if (sender != nullptr && !sender->closed && !IsAnswered(uid)) sender->Cancel(uid);
    });
  }
  void LeaveWithRequests(SoakClient* client) {
    client->Leave();
    for (const RequestUid uid : client->launched) {
      if (sent_.count(uid) > 0 && !IsAnswered(uid)) sent_[uid].is_excused = true;
    }
    std::erase_if(soak_clients_, [client](const auto& each) { return each.get() == client; });
  }

  [[nodiscard]] bool IsAnswered(RequestUid uid) const {
    for (const LoggedMessage& message : message_log) {
      const bool is_over =
          message.kind == LoggedMessage::Kind::kAnswered || message.kind == LoggedMessage::Kind::kClientLeft;
      if (is_over && message.uid == uid) return true;
    }
    return false;
  }
  void Excuse(RequestUid uid) {
    message_log.push_back({loop.Now(), LoggedMessage::Kind::kClientLeft, uid});
    sent_[uid].is_excused = true;
    ++report_.excused;
  }
  std::string Unanswered(RequestUid uid, const SoakClient& client) const {
    const Micros age = client.closed_at - std::min(client.closed_at, sent_.at(uid).at);
    return "request " + WriteHex(uid) + ": its connection was closed " + std::to_string(age / kMilli) +
           " ms after it, without an answer";
  }

  void ReplaceClosedClients() {
    std::vector<RequestUid> crossed;
    for (const auto& client : soak_clients_) {
      if (!client->closed || !may_connect_) continue;
      if (!client->connected) AddFinding("a connection was refused while the program serves");
      for (const RequestUid uid : client->launched) {
        const auto request = sent_.find(uid);
        if (request == sent_.end() || uid == client->part || IsAnswered(uid)) continue;
        const bool may_cross =
            !request->second.is_resent && request->second.at + kCrossing >= client->closed_at;
        if (may_cross) {
          crossed.push_back(uid);
        } else {
          AddFinding(Unanswered(uid, *client));
        }
      }
    }
    if (may_connect_) std::erase_if(soak_clients_, [](const auto& client) { return client->closed; });
    for (const RequestUid uid : crossed) Resend(uid);
  }
  void Resend(RequestUid uid) {
    SentRequest& request = sent_[uid];
    request.is_resent = true;
    request.at = loop.Now();
    ++report_.resent;
    NewSoakClient().SendLaunch(uid, request.bytes);
  }

  // ---- Faults ----

  void Inject(const TimedSoakFault& fault) {
    if (!is_serving_) return;
    switch (fault.fault) {
      case SoakFault::kDrainAndReplace:
        ListNode(fault.node, "draining", 1);
        return After(fault.duration, [this, fault] { ReplaceNode(fault.node); });
      case SoakFault::kKillNode:
        return ReplaceNode(fault.node);
      case SoakFault::kHangNode:
        Node(fault.node).SetHanging(true);
        return After(fault.duration, [this, fault] { Node(fault.node).SetHanging(false); });
      case SoakFault::kListUnreachable:
      case SoakFault::kListSilent:
        return DisturbList(fault);
      case SoakFault::kListReplyCut:
        ActiveLog().replies_to_cut = 1;
        list_recovered_at_ = loop.Now() + kListRecovery;
        return ListNode(fault.node, "ready", 0);
      case SoakFault::kListReplaced:
        return ReplaceList();
      case SoakFault::kReloads:
        for (std::size_t i = 1; i < fault.size; ++i) Reload(i % 2 == 0);
        return Reload(true);
      case SoakFault::kClientFlood:
        return AddClientFlood(fault);
    }
  }

  FakeChangeLog& ActiveLog() { return replacement_log_ ? *replacement_log_ : change_log; }
  std::string LogAddress() { return ActiveLog().address; }

  // Adds a node's state to the change log. It is written to the message log when the program can know it:
  // immediately, or after a fault of the list with the program's next poll.
  void ListNode(std::size_t index, const char* status, int state, Micros started_at = 0) {
    const std::string entry = EntryOf(*nodes[index], status, started_at / kMilli);
    if (replacement_log_) change_log.AddEvent(entry);
    ActiveLog().AddEvent(entry);
    const std::uint64_t number = ActiveLog().first_number + ActiveLog().events.size() - 1;
    listed_at_.emplace_back(loop.Now(), number);
    if (state != 0 && loop.Now() < list_recovered_at_) {
      late_listings_.push_back({number, nodes[index]->name, nodes[index]->rack, state});
    } else {
      std::erase_if(late_listings_, [&](const auto& listing) { return listing.node == nodes[index]->name; });
      LogNodeListed(*nodes[index], state, started_at);
    }
  }
  void LogLateListings() {
    const std::vector<std::uint64_t>& polls = ActiveLog().requested_since;
    std::erase_if(late_listings_, [&](const LateListing& listing) {
      if (polls.empty() || polls.back() < listing.number) return false;
      LoggedMessage message{loop.Now(), LoggedMessage::Kind::kNodeListed, 0, listing.node};
      message.cause = listing.state;
      message.rack = listing.rack;
      message_log.push_back(message);
      return true;
    });
  }

  void ReplaceNode(std::size_t index) {
    Node(index).End();
    ListNode(index, "gone", 2);
    After(kReplaceTime, [this, index] {
      nodes[index] = NewNode(index);
      ListNode(index, "ready", 0, loop.Now());
    });
  }

  void DisturbList(const TimedSoakFault& fault) {
    FakeChangeLog& log = ActiveLog();
    const bool is_unreachable = fault.fault == SoakFault::kListUnreachable;
    list_recovered_at_ = loop.Now() + fault.duration + kListRecovery;
    is_unreachable ? log.SetListening(false) : void(log.silent = true);
    ListNode(fault.node, "draining", 1);
    After(fault.duration, [this, &log, is_unreachable] {
      is_unreachable ? log.SetListening(true) : void(log.silent = false);
    });
  }
  // Switches to another change log that continues the numbers. The old one no longer responds.
  void ReplaceList() {
    if (replacement_log_) return;
    replacement_log_ = std::make_unique<FakeChangeLog>(&loop);
    replacement_log_->events = change_log.events;
    replacement_log_->first_number = change_log.first_number;
    change_log.silent = true;
    list_recovered_at_ = loop.Now() + kListRecovery;
    Reload(true);
  }
  void Reload(bool is_valid) {
    const std::string text = Configuration(LogAddress());
    if (is_valid) {
      Configure(LogAddress());
    } else {
      std::ofstream(folder_ + "/config.json") << text.substr(0, Draw(text.size()));
    }
    daemon->Signal(SIGHUP);
  }

  void AddClientFlood(const TimedSoakFault& fault) {
    const std::size_t descriptors = OpenDescriptors();
    const std::size_t memory_kb = ResidentMemoryKb();
    for (std::size_t i = 0; i < fault.size; ++i) AddFloodClient(i);
    After(fault.duration, [this] { flood_clients_.clear(); });
    After(fault.duration + kSettleTime, [this, descriptors, memory_kb] {
      if (!is_serving_) return;
      if (OpenDescriptors() > descriptors + kDescriptorSlack) {
        AddFinding("descriptors after a client flood: " + std::to_string(OpenDescriptors()) + ", before it " +
                   std::to_string(descriptors));
      }
      if (ResidentMemoryKb() > memory_kb + kMaxMemoryGrowthKb) {
        AddFinding("resident kB after a client flood: " + std::to_string(ResidentMemoryKb()) +
                   ", before it " + std::to_string(memory_kb));
      }
    });
  }
  void AddFloodClient(std::size_t number) {
    flood_clients_.push_back(std::make_unique<FakeClient>(&loop, listen, &message_log));
    FakeClient& client = *flood_clients_.back();
    switch (number % 6) {
      case 0:
        return client.SendRaw(R"({"kind":"launch","uid":"00)");
      case 1:
        client.Launch(next_uid_++, "service", 1000);
        return client.Leave();
      case 2:
        loop.PauseReading(client.conn, true);
        for (int i = 0; i < 50; ++i) client.CheckHealth();
        return;
      default:
        return;  // the client sends nothing
    }
  }
  [[nodiscard]] std::size_t OpenDescriptors() const {
    const std::filesystem::directory_iterator files("/proc/" + std::to_string(daemon->pid()) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(files), end(files)));
  }
  [[nodiscard]] std::size_t ResidentMemoryKb() const {
    std::ifstream status("/proc/" + std::to_string(daemon->pid()) + "/status");
    for (std::string word; status >> word;) {
      std::size_t kilobytes = 0;
      if (word == "VmRSS:" && status >> kilobytes) return kilobytes;
    }
    return 0;
  }

  struct LateListing {
    std::uint64_t number = 0;  // event number
    std::string node;
    unsigned rack = 0;
    int state = 0;
  };

  static constexpr Micros kRecoveryTime = 300 * kMilli;

  std::mt19937_64 random_;
  SoakReport report_;
  std::map<RequestUid, SentRequest> sent_;
  AnswerHistory answers_;
  std::vector<std::unique_ptr<SoakClient>> soak_clients_;
  std::vector<std::unique_ptr<FakeClient>> flood_clients_;
  std::unique_ptr<FakeChangeLog> replacement_log_;
  std::vector<LateListing> late_listings_;
  std::vector<std::pair<Micros, std::uint64_t>> listed_at_;  // times and numbers of the change log's events
  std::vector<event_loop::TimerId> timers_;
  std::size_t ordered_ = 0;  // number of messages in the log that OrderTurn() has sorted
  RequestUid next_uid_ = 0x1000;
  unsigned ticks_ = 0;
  Micros next_tick_ = 0;
  std::unique_ptr<FakeClient> health_client_;
  Micros health_checked_at_ = 0;
  Micros list_recovered_at_ = 0;
  bool is_serving_ = false;      // true while the program runs and has not been killed
  bool may_connect_ = false;     // true while clients open connections
  bool sends_requests_ = false;  // true while clients send requests
  bool ends_tasks_ = false;      // true while nodes end tasks
};

}  // namespace mountflow::testing

#endif  // MOUNTFLOW_TESTS_SUPPORT_PLATFORM_SOAK_FIXTURE_HPP_
