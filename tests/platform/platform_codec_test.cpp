// The platform's wires, configuration and change log: whole messages from any split, bounds, bad input.
#include <rapidcheck.h>

#include <nlohmann/json.hpp>

#include "tests/support/platform_fixture.hpp"

namespace mountflow::testing {
namespace {

using OState = ClientMessageReader::State;
using MState = NodeMessageReader::State;

template <typename Reader, typename Message>
std::vector<Message> ReadInPieces(const std::string& bytes, std::size_t piece, bool* broken) {
  Reader reader;
  std::vector<Message> all;
  for (std::size_t at = 0; at < bytes.size() && !*broken; at += piece) {
    reader.Feed(std::string_view(bytes).substr(at, piece));
    Message one;
    for (;;) {
      const auto state = reader.Next(&one);
      if (state == Reader::State::kBroken) *broken = true;
      if (state != Reader::State::kMessage) break;
      all.push_back(one);
    }
  }
  return all;
}

std::string AnyText(std::size_t most) {
  const auto points =
      *rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange<std::uint32_t>(0, 0x2fff));
  std::string text;
  for (const std::uint32_t p : points) {
    if (text.size() + 3 > most) break;
    if (p < 0x80) {
      text += static_cast<char>(p);
    } else if (p < 0x800) {
      text += {static_cast<char>(0xc0 | p >> 6), static_cast<char>(0x80 | (p & 63))};
    } else {
      text += {static_cast<char>(0xe0 | p >> 12), static_cast<char>(0x80 | (p >> 6 & 63)),
               static_cast<char>(0x80 | (p & 63))};
    }
  }
  return text;
}

TEST(OwnerWire, RoundTripsInAnySplit) {
  EXPECT_TRUE(rc::check([] {
    std::vector<ClientMessage> written;
    std::string bytes;
    for (int i = *rc::gen::inRange(1, 5); i > 0; --i) {
      ClientMessage m;
      m.kind = static_cast<ClientMessageKind>(*rc::gen::inRange(0, 9));
      m.uid = *rc::gen::arbitrary<std::uint64_t>();
      for (int f = *rc::gen::inRange(0, 4); f > 0; --f) m.fields["f" + std::to_string(f)] = AnyText(40);
      if (*rc::gen::arbitrary<bool>()) m.cause = *rc::gen::inRange(0, 256);
      m.description = AnyText(200);
      bytes += EncodeClientMessage(m);
      written.push_back(m);
    }
    bool broken = false;
    const std::size_t piece = *rc::gen::inRange<std::size_t>(1, bytes.size() + 1);
    RC_ASSERT((ReadInPieces<ClientMessageReader, ClientMessage>(bytes, piece, &broken) == written));
    RC_ASSERT(!broken);
  }));
}

TEST(MachineWire, RoundTripsInAnySplitWithAnyBytes) {
  EXPECT_TRUE(rc::check([] {
    const std::vector<NodeMessageKind> kinds = {
        NodeMessageKind::kLaunch, NodeMessageKind::kAnswer,      NodeMessageKind::kStop,
        NodeMessageKind::kNote,   NodeMessageKind::kHealthCheck, NodeMessageKind::kHealthCheckReply};
    std::vector<NodeMessage> written;
    std::string bytes;
    for (int i = *rc::gen::inRange(1, 5); i > 0; --i) {
      NodeMessage m;
      m.kind = *rc::gen::elementOf(kinds);
      m.uid = *rc::gen::arbitrary<std::uint64_t>();
      if (*rc::gen::arbitrary<bool>()) m.cause = *rc::gen::arbitrary<std::uint8_t>();
      for (const std::uint8_t code : {kClass, kWait, kReport, kDescription}) {
        if (*rc::gen::arbitrary<bool>()) m.params[code] = *rc::gen::arbitrary<std::string>();
      }
      bytes += EncodeNodeMessage(m);
      written.push_back(m);
    }
    bool broken = false;
    const std::size_t piece = *rc::gen::inRange<std::size_t>(1, bytes.size() + 1);
    RC_ASSERT((ReadInPieces<NodeMessageReader, NodeMessage>(bytes, piece, &broken) == written));
    RC_ASSERT(!broken);
  }));
}

TEST(MachineWire, WritesAsThePagesSay) {
  const std::string bytes =
      NodeMessageBytes(NodeMessageKind::kStop, 0x9b1f03aa5c7e2d41u, 16, {{kClass, "batch"}});
  EXPECT_EQ(bytes, std::string("\x00\x15\x0c\x9b\x1f\x03\xaa\x5c\x7e\x2d\x41\x81\x00\x05"
                               "batch\xab\x00\x01\x10",
                               23));
}

struct BadBytes {
  const char* name;
  std::string bytes;
};

TEST(MachineWire, WhatCannotBeReadIsBrokenAtOnce) {
  const std::string good = NodeMessageBytes(NodeMessageKind::kAnswer, 7, -1, {{kDescription, "yes"}});
  const auto changed = [&](std::size_t at, char to) {
    std::string bytes = good;
    bytes[at] = to;
    return bytes;
  };
  const std::vector<BadBytes> rows = {
      {"no room for an id", std::string("\x00\x08\x09", 3)},
      {"over 16 KiB", std::string("\x7f\xff", 2)},
      {"unknown type", changed(2, '\x63')},
      {"a line of text", "HTTP/1.1 200 OK\r\n\r\n"},
      {"parameter longer than its message", changed(13, '\x7f')},
      {"parameter cut off", std::string("\x00\x0a\x09", 3) + std::string(8, 'i') + "\xae"},
      {"a cause of two bytes",
       std::string("\x00\x0e\x0c", 3) + std::string(8, 'i') + std::string("\xab\x00\x02zz", 5)},
      {"a parameter twice",
       std::string("\x00\x0f\x09", 3) + std::string(8, 'i') + std::string("\xae\x00\x00\xae\x00\x00", 6)},
  };
  for (const BadBytes& row : rows) {
    NodeMessageReader reader;
    NodeMessage message;
    reader.Feed(row.bytes);
    EXPECT_EQ(reader.Next(&message), MState::kBroken) << row.name;
    reader.Feed(good);
    EXPECT_EQ(reader.Next(&message), MState::kBroken) << row.name << ": and stays so";
  }
  EXPECT_EQ(NodeMessageBytes(NodeMessageKind::kLaunch, 1, -1, {{kDescription, std::string(16 << 10, 'x')}}),
            "");
}

TEST(OwnerWire, BadInputIsAValue) {
  const std::vector<std::pair<std::string, OState>> rows = {
      {"hello\n", OState::kBroken},
      {"\n", OState::kBroken},
      {"[1]\n", OState::kBroken},
      {"{\"kind\":\"launch\"}\n", OState::kBroken},
      {"{\"kind\":\"launch\",\"uid\":7}\n", OState::kBroken},
      {"{\"kind\":\"launch\",\"uid\":\"9B1F03AA5C7E2D41\"}\n", OState::kBroken},
      {"{\"kind\":\"launch\",\"uid\":\"9b1f03aa5c7e2d4\"}\n", OState::kBroken},
      {"{\"kind\":\"launch\",\"uid\":\"9b1f03aa5c7e2d41\",\"body\":\"\xff\"}\n", OState::kBroken},
      {std::string(20, '\0') + "\n", OState::kBroken},
      {std::string(16 << 10, '['), OState::kMore},
      {std::string((16 << 10) + 1, '['), OState::kBroken},
      {"{\"uid\":\"9b1f03aa5c7e2d41\"}\n", OState::kUnusable},
      {"{\"kind\":\"dance\",\"uid\":\"9b1f03aa5c7e2d41\"}\n", OState::kUnusable},
      {"{\"kind\":\"stop\",\"uid\":\"9b1f03aa5c7e2d41\",\"reason\":-1}\n", OState::kUnusable},
      {"{\"kind\":\"stop\",\"uid\":\"9b1f03aa5c7e2d41\",\"reason\":1e99}\n", OState::kUnusable},
      {"{\"kind\":\"launch\",\"uid\":\"9b1f03aa5c7e2d41\",\"meta\":{\"left\":[1]}}\n", OState::kUnusable},
      {"{\"kind\":\"launch\",\"uid\":\"9b1f03aa5c7e2d41\",\"meta\":7}\n", OState::kUnusable},
      {"{\"kind\":\"launch\",\"uid\":\"9b1f03aa5c7e2d41\",\"body\":7}\n", OState::kUnusable},
      {"{\"kind\":\"launch\",\"uid\":\"9b1f03aa5c7e2d41\",\"meta\":{\"left\":1500}}\n", OState::kMessage},
  };
  for (const auto& [bytes, expected] : rows) {
    ClientMessageReader reader;
    ClientMessage message;
    reader.Feed(bytes);
    EXPECT_EQ(reader.Next(&message), expected) << bytes.substr(0, 80);
    if (expected == OState::kUnusable) {
      EXPECT_EQ(message.uid, 0x9b1f03aa5c7e2d41u);
    }
  }
}

// ---- Configuration ----

TEST(PlatformConfig, BothFormsOfTheSettingsGiveTheSame) {
  const auto json = nlohmann::json::parse(kPlatformConfig);
  const std::string lines = LayOutSettings(json["settings"]);
  // As the simulator's first message words them.
  for (const char* line :
       {"profiles.count=2\n", "profiles.1.name=batch\n", "bounds.cancel=true\n", "orgs.count=2\n",
        "domain.spread_by=silent,cell\n", "stats.names=x0,x1,pending,cpu_share\n", "kinds=big\n",
        "domain.report_x0=cores_of_the_machine__not_asked_for\n", "domain.kind_cores=32\n"}) {
    EXPECT_NE(lines.find(line), std::string::npos) << line;
  }
  const settings::WireSettings s = ReadPlatformConfig(kPlatformConfig, nullptr, nullptr).wire;
  const settings::WireSettings text = settings::ParseSettings(
      "profiles.count=2\nprofiles.0.name=service\nprofiles.0.effect=keyed\nprofiles.0.key_scope=cell\n"
      "profiles.0.window_us=5000000\nprofiles.0.hard_limit_us=3000000\nprofiles.1.effect=safe\n"
      "domain.spread_by=silent,cell\ndomain.together_max=0,3\nstats.names=x0,x1,pending,cpu_share\n"
      "domain.kind_cores=32\ndomain.mem_of_kind=64.0\nbounds.max_attempts=4\n");
  ASSERT_EQ(s.settings.classes.size(), text.settings.classes.size());
  for (std::size_t i = 0; i < 2; ++i) {
    EXPECT_EQ(s.settings.classes[i].idempotency, text.settings.classes[i].idempotency);
    EXPECT_EQ(s.settings.classes[i].deduplication_scope, text.settings.classes[i].deduplication_scope);
    EXPECT_EQ(s.settings.classes[i].deduplication_window, text.settings.classes[i].deduplication_window);
    EXPECT_EQ(s.settings.classes[i].topology_spread, text.settings.classes[i].topology_spread);
    EXPECT_EQ(s.settings.classes[i].max_per_domain, text.settings.classes[i].max_per_domain);
  }
  EXPECT_EQ(s.report_names, text.report_names);
  EXPECT_EQ(s.settings.node_kinds[0].memory, text.settings.node_kinds[0].memory);
  EXPECT_EQ(s.settings.max_attempts, text.settings.max_attempts);
  EXPECT_EQ(s.tenant_names, (std::vector<std::string>{"acme", "zen"}));
  EXPECT_EQ(s.longest_deadline, 3'200'000u);
}

TEST(PlatformConfig, NamesTheKeyAndWhatWasExpected) {
  const std::vector<std::pair<std::string, std::string>> rows = {
      {"/seed", "seed: expected 16 hex digits"},
      {"/changelog", "changelog: expected a string"},
      {"/limits/sockets", "limits.sockets: expected a number of 1 or more"},
      {"/known", "known: expected the events"},
      {"/settings", "settings: expected an object"},
      {"/settings/profiles", "settings.profiles: expected at least one class"},
      {"/settings/kinds", "settings.kinds: expected"},
  };
  for (const auto& [path, expected] : rows) {
    auto json = nlohmann::json::parse(kPlatformConfig);
    const nlohmann::json::json_pointer pointer(path);
    json[pointer.parent_pointer()].erase(pointer.back());
    const PlatformConfig config = ReadPlatformConfig(json.dump(), nullptr, nullptr);
    bool found = false;
    for (const std::string& error : config.errors) found |= error.rfind(expected, 0) == 0;
    EXPECT_TRUE(found) << path;
  }
  auto json = nlohmann::json::parse(kPlatformConfig);
  json["settings"]["bounds"]["max_attempts"] = "many";
  EXPECT_FALSE(ReadPlatformConfig(json.dump(), nullptr, nullptr).ok());
  EXPECT_FALSE(ReadPlatformConfig("{", nullptr, nullptr).ok());
  EXPECT_EQ(ReadPlatformConfig(kPlatformConfig, "n9", "127.0.0.1:9").listen, "127.0.0.1:9");
  std::string error;
  EXPECT_EQ(ReadChangeLogAddress(R"({"changelog":"1.2.3.4:5"})", &error), "1.2.3.4:5");
  EXPECT_EQ(ReadChangeLogAddress(R"({"changelog":"1.2.3.4"})", &error), "");
  EXPECT_EQ(error, "changelog: expected IP:PORT");
}

// The smallest limits: a third of 256 is the owners' by right, and as much again is for those that say
// nothing.
TEST(PlatformConfig, DescriptorsAreSplit) {
  const Descriptors split = SplitDescriptors(256);
  EXPECT_GE(split.owners, 256u / 3 + 64);
  EXPECT_GE(split.machines, 64u);
  EXPECT_LT(split.owners + split.machines, 256u - 8);
}

// ---- The change log ----

std::string Event(int number, const std::string& name, bool whole = false, const char* status = "ready") {
  return R"({"seq":)" + std::to_string(number) + R"(,"fleet":{"index":1,"snapshot":)" +
         (whole ? "true" : "false") + R"(,"endpoints":[{"name":")" + name +
         R"(","address":"10.0.0.9:1","zone":"left","type":"big","group":3,"status":")" + status +
         R"(","since_ms":5,"free":[1.5,2]}]}})";
}
std::string Reply(const std::string& events, int last) {
  const std::string body = R"({"seq":)" + std::to_string(last) + R"(,"results":[)" + events + "]}";
  return http::WriteReply(200, {}, body, true);
}

struct LogRig {
  FakeTransport port;
  Micros now = kSec;
  NodeWatch log{"a:1", 4, &port};
  ConnId Up(const std::string& address = "a:1") {
    log.Tick(now);
    const ConnId conn = port.ConnTo(address);
    log.OnConnected(now, conn);
    return conn;
  }
  std::string Asked(ConnId conn) {
    const std::string sent = port.Sent(conn);
    return sent.substr(0, sent.find(' ', 5));
  }
};

// The danger: an event taken in part, or one lost between two connections.
TEST(NodeWatch, ACutAtEveryByteLosesNothingAndTakesNoHalf) {
  const std::string reply = Reply(Event(5, "x") + "," + Event(6, "y"), 6);
  for (std::size_t cut = 0; cut <= reply.size(); ++cut) {
    LogRig rig;
    ConnId conn = rig.Up();
    EXPECT_EQ(rig.Asked(conn), "GET /changes?since=4&timeout=1000");
    rig.log.OnBytes(rig.now, conn, std::string_view(reply).substr(0, cut));
    auto taken = rig.log.Take();
    EXPECT_EQ(taken.size(), cut == reply.size() ? 2u : 0u) << cut;
    rig.port.outgoing.erase(conn);
    rig.log.OnClosed(rig.now, conn);
    conn = rig.Up();  // asked again at once
    ASSERT_NE(conn, 0u) << cut;
    EXPECT_EQ(rig.Asked(conn), cut == reply.size() ? "GET /changes?since=6&timeout=1000"
                                                   : "GET /changes?since=4&timeout=1000");
    if (cut < reply.size()) {
      rig.log.OnBytes(rig.now, conn, reply);
      EXPECT_EQ(rig.log.Take().size(), 2u);
    }
  }
}

TEST(NodeWatch, SilenceIsABreakAfterTheAskedWait) {
  LogRig rig;
  const ConnId conn = rig.Up();
  rig.log.OnBytes(rig.now, conn, Reply("", 4).substr(0, 30));
  rig.now += kAskedWait + kLate - 1;
  rig.log.Tick(rig.now);
  EXPECT_TRUE(rig.port.closed.empty());
  rig.now += 1;
  rig.log.Tick(rig.now);
  EXPECT_EQ(rig.port.closed, std::vector<ConnId>{conn});
  EXPECT_NE(rig.Up(), 0u);
}

TEST(NodeWatch, NumbersThatRepeatOrSkip) {
  LogRig rig;
  ConnId conn = rig.Up();
  rig.log.OnBytes(rig.now, conn, Reply(Event(3, "old") + "," + Event(5, "x") + "," + Event(5, "x"), 5));
  EXPECT_EQ(rig.log.Take().size(), 1u);
  EXPECT_EQ(rig.log.last(), 5u);
  rig.log.OnBytes(rig.now, conn, Reply(Event(7, "z"), 7));  // 6 is missing
  EXPECT_TRUE(rig.log.Take().empty());
  conn = rig.Up();
  EXPECT_EQ(rig.Asked(conn), "GET /changes?since=5&timeout=1000");
  rig.log.OnBytes(rig.now, conn, Reply(Event(9, "all", true), 9));  // a whole list needs nothing before it
  const auto taken = rig.log.Take();
  ASSERT_EQ(taken.size(), 1u);
  EXPECT_TRUE(taken[0].whole);
  EXPECT_EQ(taken[0].nodes[0].rack, 3u);
  EXPECT_EQ(taken[0].nodes[0].started_at, 5000u);
  EXPECT_EQ(taken[0].nodes[0].free_cores, 1.5);
  EXPECT_EQ(rig.log.last(), 9u);
}

TEST(NodeWatch, ANewAddressIsFollowedAtOnceAndTheOldOneIsNotHeard) {
  LogRig rig;
  const ConnId old = rig.Up();
  rig.log.Follow(rig.now, "b:2");
  const ConnId conn = rig.port.ConnTo("b:2");
  ASSERT_NE(conn, 0u);
  rig.log.OnBytes(rig.now, old, Reply(Event(5, "x"), 5));
  EXPECT_TRUE(rig.log.Take().empty());
  rig.log.OnConnected(rig.now, conn);
  EXPECT_EQ(rig.Asked(conn), "GET /changes?since=4&timeout=1000");  // the numbering goes on
}

TEST(NodeWatch, WhatCannotBeUsedIsAskedForAgainEverLater) {
  LogRig rig;
  for (const std::string& bad :
       {http::WriteReply(500, {}, "no", true), http::WriteReply(200, {}, "{\"results\":7}", true),
        std::string("\x01junk")}) {
    const ConnId conn = rig.Up();
    ASSERT_NE(conn, 0u);
    rig.log.OnBytes(rig.now, conn, bad);
    EXPECT_TRUE(rig.port.outgoing.empty());
    EXPECT_LE(rig.log.NextDue(), rig.now + kAskMost);
    rig.now = rig.log.NextDue();
  }
}

}  // namespace
}  // namespace mountflow::testing
