// Guards the registry client and the registrar against unintended changes of behaviour. Each test compares a
// digest of all outputs (bytes sent, node list events, warnings, statuses, timers) of random runs, in which
// registries and connections misbehave, with a recorded value. A change of names or structure must not change
// the digests. A change of behaviour records new digests and explains why.
#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "discovery/client.hpp"
#include "discovery/registrar.hpp"
#include "tests/discovery/scripted_registry.hpp"
#include "tests/support/digest.hpp"

namespace mountflow::testing {
namespace {

constexpr Micros kMs = 1000, kSecond = 1'000'000;

std::string EntryJson(const std::string& name, const std::string& state, std::uint64_t variant) {
  return Json{{"name", name}, {"address", "10.0.0.1:15002"},
              {"rack", "r1"}, {"state", state},
              {"started", 5}, {"free_cores", static_cast<double>(variant) / 2}}
      .dump();
}

// ---- The registry client ----

class RandomClientRun {
 public:
  RandomClientRun(RegistryProtocol protocol, std::uint64_t seed)
      : random_(seed), protocol_(protocol), registry_(protocol, &random_) {
    discovery::ClientOptions options;
    options.kind = protocol == RegistryProtocol::kEtcd ? discovery::RegistryKind::kEtcd
                                                       : discovery::RegistryKind::kConsul;
    options.endpoints = {"e0", "e1", "e2"};
    options.prefix = prefix_;
    options.page = 3;
    options.max_keys = seed % 4 == 0 ? 12 : 100;
    options.max_message_bytes = seed % 5 == 0 ? 4'000 : 1 << 20;
    if (protocol == RegistryProtocol::kConsulHealth) options.service = "nodes of ours";
    if (protocol != RegistryProtocol::kEtcd && seed % 3 == 0) options.token = "secret";
    if (seed % 3 == 1) options.mode = discovery::ConsulMode::kStale;
    if (seed % 3 == 2) options.mode = discovery::ConsulMode::kConsistent;
    if (protocol == RegistryProtocol::kEtcd && seed % 2 == 0) {
      options.user = "mountflow", options.password = "secret";
      registry_.needs_token = true;
    }
    client_ = std::make_unique<discovery::RegistryClient>(options, seed);
  }

  void Run() {
    for (int step = 0; step < 1500; ++step) {
      RandomStep();
      now_ += RandomBelow(4) == 0 ? RandomBelow(400 * kMs) : RandomBelow(20 * kMs);
      client_->Tick(now_);
      HandleOutput();
    }
  }

  Digest digest;
  std::size_t events = 0, warnings = 0;
  discovery::NodeListStatus last;

 private:
  std::uint64_t RandomBelow(std::uint64_t below) { return random_() % below; }
  bool Chance(unsigned percent) { return RandomBelow(100) < percent; }

  void RandomStep() {
    if (Chance(40)) return Deliver();
    if (Chance(40)) return RandomChange();
    switch (RandomBelow(24)) {
      case 0:
        return Close("connection reset");
      case 1:
        registry_.history.compacted = registry_.history.revision - RandomBelow(registry_.history.revision);
        return;
      case 2:
        if (Chance(30)) Restore();
        return;
      case 3:
        registry_.behind[RandomBelow(3)] = Chance(60) ? 0 : RandomBelow(6);
        return;
      case 4:
        registry_.token = "token-" + std::to_string(RandomBelow(100));
        return;
      case 5:
        client_->StartFullRead(now_);
        return HandleOutput();
      case 6:
        reachable_ = Chance(80);
        return;
      case 7:
        drops_replies_ = Chance(20);
        return;
      case 8:
        now_ += RandomBelow(3) == 0 ? RandomBelow(20 * kSecond) : RandomBelow(2 * kSecond);
        return;
      case 9:
        if (Chance(30)) Flood();
        return;
      default:
        return ContinueWatch();
    }
  }
  void RandomChange() {
    const std::string name = "n" + std::to_string(RandomBelow(14));
    const std::string state = Chance(85) ? "ready" : Chance(60) ? "draining" : "gone";
    std::string value = EntryJson(name, state, RandomBelow(20));
    if (Chance(4)) value = Chance(50) ? "{" : R"({"name": "n", "address": 7})";
    if (Chance(1)) value = std::string(20'000, 'x');
    registry_.history.Add(prefix_ + name, value, Chance(15));
  }
  void Restore() {
    const std::uint64_t lost_revisions = RandomBelow(4);
    registry_.history.Restore(registry_.history.revision - lost_revisions, Chance(70));
  }
  void Flood() {
    const bool removed = Chance(30);
    for (int i = 0; i < 14; ++i) {
      const std::string name = "n" + std::to_string(i);
      registry_.history.Add(prefix_ + name, EntryJson(name, "ready", RandomBelow(20)), removed);
    }
  }

  // Carries out the client's actions and records its output. Replies are delivered by Deliver().
  void HandleOutput() {
    for (bool more = true; more;) {
      more = false;
      for (const discovery::ClientAction& action : std::exchange(client_->actions(), {})) {
        more = true;
        CarryOut(action);
      }
      for (const job_manager::NodeListEvent& event : client_->TakeEvents()) AddEvent(event);
      for (const auto& warning : client_->TakeWarnings()) {
        digest.Add(std::string_view(Describe(warning)));
        ++warnings;
      }
      AddStatus();
    }
  }
  void CarryOut(const discovery::ClientAction& action) {
    digest.Add(action.index());
    if (const auto* open = std::get_if<discovery::OpenConnection>(&action)) {
      digest.Add(std::string_view(open->address));
      endpoint_ = open->address[1] - '0';
      Reset();
      open_ = true;
      reader_ = std::make_unique<http::Reader>(http::Reader::Side::kRequests, 1 << 20);
      if (reachable_) return client_->Connected(now_);
      open_ = false;
      client_->Closed(now_, "connection rejected");
    } else if (const auto* send = std::get_if<discovery::SendBytes>(&action)) {
      digest.Add(std::string_view(send->bytes));
      if (open_) ReadRequests(send->bytes);
    } else {
      Reset();
    }
  }
  void ReadRequests(const std::string& bytes) {
    ASSERT_TRUE(reader_->Feed(bytes));
    while (!reader_->messages().empty()) {
      blocked_ = std::move(reader_->messages().front());
      reader_->messages().pop_front();
      watching_ = blocked_->path == "/v3/watch";
    }
  }
  // Delivers all or some of the bytes of a reply. Sometimes the connection closes afterwards.
  void Deliver() {
    if (!open_ || drops_replies_) return;
    if (blocked_ && (!registry_.Blocks(*blocked_) || Chance(5))) {
      const http::Message request = *std::exchange(blocked_, std::nullopt);
      incoming_ += registry_.Answer(endpoint_, request);
    }
    if (incoming_.empty()) return;
    const std::size_t size = Chance(70) ? incoming_.size() : 1 + RandomBelow(incoming_.size());
    const std::string part = incoming_.substr(0, size);
    incoming_.erase(0, size);
    client_->Received(now_, part);
    HandleOutput();
    if (Chance(2)) Close("broken in the middle");
  }
  void ContinueWatch() {
    if (!open_ || !watching_ || blocked_ || drops_replies_) return;
    incoming_ += registry_.ContinueWatch(endpoint_);
    Deliver();
  }
  void Close(const std::string& reason) {
    if (!open_) return;
    Reset();
    client_->Closed(now_, reason);
    HandleOutput();
  }
  void Reset() {
    open_ = watching_ = false;
    blocked_.reset();
    incoming_.clear();
  }

  void AddEvent(const job_manager::NodeListEvent& event) {
    ++events;
    digest.Add(event.kind);
    for (const job_manager::ListedNode& node : event.nodes) {
      for (const std::string* text : {&node.name, &node.address, &node.rack, &node.room, &node.kind}) {
        digest.Add(std::string_view(*text));
      }
      digest.Add(node.started);
      digest.Add(node.state);
      digest.Add(node.free_cores);
      digest.Add(node.free_memory);
    }
  }
  void AddStatus() {
    const discovery::NodeListStatus status = client_->Status(now_);
    last = status;
    digest.Add(status.known);
    digest.Add(status.current);
    digest.Add(std::string_view(status.endpoint));
    for (const std::uint64_t number :
         {status.revision, std::uint64_t{status.age}, std::uint64_t{status.nodes}, status.rereads,
          status.breaks, status.compactions, status.new_histories, status.skipped, status.emptied}) {
      digest.Add(number);
    }
    digest.Add(client_->NextTimer());
    digest.Add(client_->state().revision());
    digest.Add(client_->state().incarnations());
    for (const auto& [key, entry] : client_->state().entries()) {
      digest.Add(std::string_view(key));
      digest.Add(std::string_view(entry.value));
      digest.Add(entry.create_index);
      digest.Add(entry.modify_index);
    }
  }

  const std::string prefix_ = "mountflow/nodes/";
  std::mt19937_64 random_;
  RegistryProtocol protocol_;
  ScriptedRegistry registry_;
  std::unique_ptr<discovery::RegistryClient> client_;
  Micros now_ = 1000 * kSecond;
  std::size_t endpoint_ = 0;
  bool open_ = false, watching_ = false, reachable_ = true, drops_replies_ = false;
  std::unique_ptr<http::Reader> reader_;
  std::optional<http::Message> blocked_;  // the request that has no reply yet
  std::string incoming_;                  // bytes of replies that have not arrived yet
};

// Returns the digest over all seeds of one protocol. Checks that the runs include enough events of each kind.
std::uint64_t RunClients(RegistryProtocol protocol) {
  constexpr std::uint64_t kSeeds = 24;
  Digest all;
  discovery::NodeListStatus sum;
  std::size_t events = 0, warnings = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RandomClientRun run(protocol, seed);
    run.Run();
    all.Add(run.digest.Value());
    events += run.events, warnings += run.warnings;
    sum.rereads += run.last.rereads, sum.breaks += run.last.breaks;
    sum.compactions += run.last.compactions, sum.new_histories += run.last.new_histories;
    sum.skipped += run.last.skipped, sum.emptied += run.last.emptied;
  }
  EXPECT_GT(events, 1'000u);
  EXPECT_GT(warnings, 300u);
  EXPECT_GT(sum.rereads, 50u);
  EXPECT_GT(sum.breaks, 300u);
  EXPECT_GT(sum.new_histories, 10u);
  EXPECT_GT(sum.skipped, 50u);
  EXPECT_GT(sum.emptied, 10u);
  if (protocol == RegistryProtocol::kEtcd) {
    EXPECT_GT(sum.compactions, 50u);
  }
  return all.Value();
}

TEST(RecordedRegistryRuns, EtcdClientOutputMatchesTheRecording) {
  EXPECT_EQ(RunClients(RegistryProtocol::kEtcd), 4067701216816373699u);
}

TEST(RecordedRegistryRuns, ConsulKeysClientOutputMatchesTheRecording) {
  EXPECT_EQ(RunClients(RegistryProtocol::kConsulKeys), 16281103094635008492u);
}

TEST(RecordedRegistryRuns, ConsulHealthClientOutputMatchesTheRecording) {
  EXPECT_EQ(RunClients(RegistryProtocol::kConsulHealth), 16947526276678746312u);
}

// ---- The registrar ----

class RandomRegistrarRun {
 public:
  RandomRegistrarRun(RegistryProtocol protocol, std::uint64_t seed)
      : random_(seed), registrar_(Options(protocol, seed), seed) {}

  void Run() {
    for (int step = 0; step < 2000; ++step) {
      now_ += RandomBelow(5) == 0 ? RandomBelow(3 * kSecond) : RandomBelow(150 * kMs);
      if (Chance(8)) registrar_.SetEntry(now_, RandomEntry(), Chance(50));
      if (Chance(6)) registrar_.OnEntryMissing(now_ - RandomBelow(3 * kSecond));
      if (registrar_.IsOverdue(now_)) registrar_.OnFailure(now_, "no answer in time");
      HandleOutput();
      if (const auto request = registrar_.NextRequest(now_)) {
        in_flight_ = true;
        ++requests;
        digest.Add(std::string_view(request->endpoint));
        digest.Add(std::string_view(request->bytes));
        AddState();
      }
      if (in_flight_ && Chance(80)) Answer();
      HandleOutput();
    }
  }

  Digest digest;
  std::size_t requests = 0, warnings = 0;
  std::uint64_t leases = 0;

 private:
  static discovery::RegistrarOptions Options(RegistryProtocol protocol, std::uint64_t seed) {
    discovery::RegistrarOptions options;
    options.kind = protocol == RegistryProtocol::kEtcd ? discovery::RegistryKind::kEtcd
                                                       : discovery::RegistryKind::kConsul;
    options.endpoints = {"e0", "e1"};
    options.key = "mountflow/nodes/a b";
    if (protocol == RegistryProtocol::kConsulHealth) options.service = "nodes";
    if (seed % 2 == 0) options.user = "mountflow", options.password = "secret", options.token = "t";
    return options;
  }
  std::uint64_t RandomBelow(std::uint64_t below) { return random_() % below; }
  bool Chance(unsigned percent) { return RandomBelow(100) < percent; }
  std::string RandomEntry() {
    if (Chance(15)) return "";
    job_manager::ListedNode node;
    node.name = "a b", node.address = "10.0.0.1:15002", node.rack = "r1";
    node.free_cores = static_cast<double>(RandomBelow(8));
    return discovery::EncodeNodeEntry(node);
  }
  // Delivers a random reply, which may or may not match the request.
  void Answer() {
    in_flight_ = false;
    if (Chance(6)) return registrar_.OnFailure(now_, "connection reset");
    http::Message reply;
    reply.status = 200;
    const Json good = {
        {"ID", "session-" + std::to_string(RandomBelow(50))}, {"token", "token"}, {"TTL", "10"}};
    const Json lease = {
        {"result", {{"ID", std::to_string(1 + RandomBelow(90))}, {"TTL", Chance(90) ? "10" : "0"}}},
        {"ID", "session-5"},
        {"token", "token-" + std::to_string(RandomBelow(9))}};
    const bool is_lease = Chance(80);
    reply.body = (is_lease ? lease : good).dump();
    if (Chance(10)) reply.body += "x";  // no longer valid JSON
    if (Chance(5)) reply.body = "false";
    if (Chance(30)) reply.body = "true";
    if (Chance(10)) RandomRejection(&reply);
    registrar_.OnReply(now_, reply);
  }
  void RandomRejection(http::Message* reply) {
    reply->status = Chance(50) ? 404 : 500;
    const std::uint64_t kind = RandomBelow(4);
    if (kind == 0) reply->body = "Unknown check ID";
    if (kind == 1)
      reply->body = Json{{"code", 5}, {"message", "etcdserver: requested lease not found"}}.dump();
    if (kind == 2) reply->body = Json{{"code", 16}, {"message", "etcdserver: invalid auth token"}}.dump();
    if (kind == 3) reply->body = std::string(150, 'y');
  }
  void HandleOutput() {
    for (const auto& warning : registrar_.TakeWarnings()) {
      digest.Add(std::string_view(Describe(warning)));
      ++warnings;
    }
    AddState();
  }
  void AddState() {
    digest.Add(registrar_.HeldUntil());
    digest.Add(registrar_.incarnations());
    digest.Add(registrar_.IsUpToDate());
    digest.Add(registrar_.NextTimer());
    leases = registrar_.incarnations();
  }

  std::mt19937_64 random_;
  discovery::Registrar registrar_;
  Micros now_ = 1000 * kSecond;
  bool in_flight_ = false;
};

std::uint64_t RunRegistrars(RegistryProtocol protocol) {
  constexpr std::uint64_t kSeeds = 16;
  Digest all;
  std::size_t requests = 0, warnings = 0, leases = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RandomRegistrarRun run(protocol, seed);
    run.Run();
    all.Add(run.digest.Value());
    requests += run.requests, warnings += run.warnings, leases += run.leases;
  }
  EXPECT_GT(requests, 4'000u);
  EXPECT_GT(warnings, 500u);
  EXPECT_GT(leases, 200u);
  return all.Value();
}

TEST(RecordedRegistrarRuns, EtcdRegistrarOutputMatchesTheRecording) {
  EXPECT_EQ(RunRegistrars(RegistryProtocol::kEtcd), 11615342418467660389u);
}

TEST(RecordedRegistrarRuns, ConsulKeysRegistrarOutputMatchesTheRecording) {
  EXPECT_EQ(RunRegistrars(RegistryProtocol::kConsulKeys), 6537882882369136244u);
}

TEST(RecordedRegistrarRuns, ConsulServiceRegistrarOutputMatchesTheRecording) {
  EXPECT_EQ(RunRegistrars(RegistryProtocol::kConsulHealth), 5513731444025614748u);
}

}  // namespace
}  // namespace mountflow::testing
