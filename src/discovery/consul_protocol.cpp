#include "discovery/consul_protocol.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

#include "discovery/health.hpp"

namespace mountflow::discovery {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;
constexpr std::size_t kMaxReasonBytes = 200;
constexpr Micros kMicrosPerMillisecond = 1000;

// Returns the value of a numeric header, or 0 if it is absent or not a number.
std::uint64_t HeaderNumber(const http::Message& reply, const char* name) {
  const std::string text = reply.Header(name);
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

ProtocolEvent Reject(std::string reason) { return ReadFailed{std::move(reason), true}; }

}  // namespace

void ConsulProtocol::StartRead(const ReadStep& step) {
  http::HeaderFields headers = {{"Host", "registry"}};
  if (!options_.token.empty()) headers.emplace_back("X-Consul-Token", options_.token);
  event_ = SendRequest{http::WriteRequest("GET", Target(step), headers, "")};
}

std::string ConsulProtocol::Target(const ReadStep& step) {
  std::string target = options_.service.empty()
                           ? "/v1/kv/" + http::EncodeUrl(options_.prefix) + "?recurse=true"
                           : "/v1/health/service/" + http::EncodeUrl(options_.service) + "?";
  if (options_.mode == ConsulMode::kStale) target += "&stale=true";
  if (options_.mode == ConsulMode::kConsistent) target += "&consistent=true";
  if (step.kind == ReadKind::kFollow) {
    const Micros longest = step.is_brief ? std::min(options_.brief_wait, options_.wait) : options_.wait;
    target += "&index=" + std::to_string(step.after_revision) +
              "&wait=" + std::to_string(RandomizeWait(longest) / kMicrosPerMillisecond) + "ms";
  }
  return target;
}

// Many daemons start at the same time. Without randomized waits their blocking reads would always end
// together.
Micros ConsulProtocol::RandomizeWait(Micros longest) {
  constexpr std::uint64_t kMultiplier = 6364136223846793005U;  // Knuth's MMIX generator
  constexpr std::uint64_t kIncrement = 1442695040888963407U;
  constexpr unsigned kDiscardedLowBits = 33;
  constexpr Micros kMaxReductionDivisor = 8;
  random_ = random_ * kMultiplier + kIncrement;
  return longest - (random_ >> kDiscardedLowBits) % (longest / kMaxReductionDivisor + 1);
}

void ConsulProtocol::ReceiveReply(const http::Message& reply) { event_ = DecodeReply(reply); }

std::optional<ProtocolEvent> ConsulProtocol::NextEvent() { return std::exchange(event_, std::nullopt); }

ProtocolEvent ConsulProtocol::DecodeReply(const http::Message& reply) const {
  const bool is_missing = reply.status == kStatusNotFound;
  if (reply.status != kStatusOk && !is_missing) {
    return Reject("status " + std::to_string(reply.status) + " " + reply.body.substr(0, kMaxReasonBytes));
  }
  if (reply.Header("x-consul-knownleader") == "false") return Reject("it knows no leader");
  const Micros last_contact = HeaderNumber(reply, "x-consul-lastcontact") * kMicrosPerMillisecond;
  if (options_.mode == ConsulMode::kStale && last_contact > options_.max_staleness) {
    return Reject("its last contact with the leader is too long ago");
  }
  const std::uint64_t index = HeaderNumber(reply, "x-consul-index");
  if (index == 0) return Reject("expected an X-Consul-Index");
  const bool reads_service = !options_.service.empty();
  if (reads_service && is_missing) return Reject("status 404");
  if (is_missing) return FullRead{index, {}};  // no key has the prefix
  auto pairs = reads_service ? DecodeHealth(reply.body) : DecodeKeyValues(reply.body);
  if (!pairs) return Reject("expected " + Describe(pairs.error()));
  return FullRead{index, std::move(*pairs)};
}

}  // namespace mountflow::discovery
