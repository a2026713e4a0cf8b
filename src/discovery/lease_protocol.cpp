#include "discovery/lease_protocol.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "discovery/etcd.hpp"
#include "discovery/health.hpp"

namespace mountflow::discovery {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;
constexpr std::size_t kMaxReasonBytes = 100;
constexpr Micros kMicrosPerSecond = 1'000'000;

std::uint64_t Seconds(Micros time) { return std::max<Micros>(1, time / kMicrosPerSecond); }

tl::unexpected<LeaseError> Fail(std::string reason, bool is_lease_lost = false) {
  return tl::unexpected(LeaseError{std::move(reason), is_lease_lost});
}

// Handles a reply whose status is an error. `detail` is the registry's error text.
tl::expected<LeaseReply, LeaseError> Reject(LeaseStep step, int status, bool is_lease_unknown,
                                            const std::string& detail) {
  // The entry to remove does not exist.
  if (step == LeaseStep::kRemove && status == kStatusNotFound) return LeaseReply{true, false, false};
  const bool uses_lease = step == LeaseStep::kRenew || step == LeaseStep::kWrite;
  const bool is_lease_lost = uses_lease && (is_lease_unknown || status == kStatusNotFound);
  return Fail("status " + std::to_string(status) + " " + detail, is_lease_lost);
}

bool MentionsUnknownCheck(const http::Message& reply) {
  return reply.body.find("nknown check") != std::string::npos;
}

// ---- etcd ----

// Stores the entry as a key under a lease.
class EtcdLeaseProtocol : public LeaseProtocol {
 public:
  explicit EtcdLeaseProtocol(const RegistrarOptions& options) : options_(options) {}

  [[nodiscard]] bool HasLease() const override { return lease_ != 0; }
  void DropLease() override { lease_ = 0; }
  [[nodiscard]] bool NeedsAuthentication() const override { return !options_.user.empty() && token_.empty(); }

  [[nodiscard]] std::string WriteRequest(LeaseStep step, const std::string& value) const override {
    switch (step) {
      case LeaseStep::kAuthenticate:
        return Post("/v3/auth/authenticate", WriteAuthenticate(options_.user, options_.password));
      case LeaseStep::kOpen:
        return Post("/v3/lease/grant", WriteLeaseGrant(0, Seconds(options_.time_to_live)));
      case LeaseStep::kRenew:
        return Post("/v3/lease/keepalive", WriteKeepAlive(lease_));
      case LeaseStep::kWrite:
        return Post("/v3/kv/put", WritePut(options_.key, value, lease_));
      case LeaseStep::kRemove:
        return Post("/v3/kv/deleterange", WriteDelete(options_.key));
      case LeaseStep::kNone:
        break;
    }
    return "";
  }

  [[nodiscard]] tl::expected<LeaseReply, LeaseError> ReceiveReply(LeaseStep step,
                                                                  const http::Message& reply) override {
    if (reply.status != kStatusOk) return ReceiveRejection(step, reply);
    switch (step) {
      case LeaseStep::kAuthenticate:
        if (!ReadToken(reply.body, &token_)) return Fail("expected a token");
        return LeaseReply{};
      case LeaseStep::kOpen:
      case LeaseStep::kRenew:
        return ReceiveLease(step, reply);
      case LeaseStep::kWrite:
        return LeaseReply{false, false, true};
      case LeaseStep::kRemove:
      case LeaseStep::kNone:
        break;
    }
    return LeaseReply{};
  }

 private:
  [[nodiscard]] std::string Post(const char* path, const std::string& body) const {
    http::HeaderFields headers = {{"Host", "registry"}, {"Content-Type", "application/json"}};
    if (!token_.empty()) headers.emplace_back("Authorization", token_);
    return http::WriteRequest("POST", path, headers, body);
  }

  tl::expected<LeaseReply, LeaseError> ReceiveLease(LeaseStep step, const http::Message& reply) {
    std::uint64_t id = 0;
    std::int64_t seconds_left = 0;
    if (!ReadLease(reply.body, &id, &seconds_left)) return Fail("expected a lease");
    if (step == LeaseStep::kRenew && seconds_left <= 0) return LeaseReply{true, false, false};
    lease_ = id;
    return LeaseReply{false, true, false};
  }

  tl::expected<LeaseReply, LeaseError> ReceiveRejection(LeaseStep step, const http::Message& reply) {
    EtcdError error;
    const bool has_error = ReadError(reply.body, &error);
    if (has_error && error.IsTokenInvalid()) token_.clear();
    const bool is_lease_unknown =
        MentionsUnknownCheck(reply) || (has_error && error.text.find("lease not found") != std::string::npos);
    return Reject(step, reply.status, is_lease_unknown,
                  has_error ? error.text : reply.body.substr(0, kMaxReasonBytes));
  }

  const RegistrarOptions options_;
  std::string token_;
  std::uint64_t lease_ = 0;  // 0: none
};

// ---- Consul ----

// Base class of the protocols for Consul.
class ConsulLeaseProtocol : public LeaseProtocol {
 public:
  explicit ConsulLeaseProtocol(const RegistrarOptions& options) : options_(options) {}

  [[nodiscard]] tl::expected<LeaseReply, LeaseError> ReceiveReply(LeaseStep step,
                                                                  const http::Message& reply) override {
    if (reply.status == kStatusOk) return ReceiveSuccess(step, reply);
    return Reject(step, reply.status, MentionsUnknownCheck(reply), reply.body.substr(0, kMaxReasonBytes));
  }

 protected:
  [[nodiscard]] virtual tl::expected<LeaseReply, LeaseError> ReceiveSuccess(LeaseStep step,
                                                                            const http::Message& reply) = 0;
  [[nodiscard]] const RegistrarOptions& options() const { return options_; }
  [[nodiscard]] std::string Request(const char* method, const std::string& target,
                                    const std::string& body) const {
    http::HeaderFields headers = {{"Host", "registry"}, {"Content-Type", "application/json"}};
    if (!options_.token.empty()) headers.emplace_back("X-Consul-Token", options_.token);
    return http::WriteRequest(method, target, headers, body);
  }

 private:
  const RegistrarOptions options_;
};

// Stores the entry as a key that is held by a session.
class ConsulSessionProtocol : public ConsulLeaseProtocol {
 public:
  using ConsulLeaseProtocol::ConsulLeaseProtocol;

  [[nodiscard]] bool HasLease() const override { return !session_.empty(); }
  void DropLease() override { session_.clear(); }

  [[nodiscard]] std::string WriteRequest(LeaseStep step, const std::string& value) const override {
    const std::string path = "/v1/kv/" + http::EncodeUrl(options().key);
    switch (step) {
      case LeaseStep::kOpen:
        return Request("PUT", "/v1/session/create", SessionBody());
      case LeaseStep::kRenew:
        return Request("PUT", "/v1/session/renew/" + session_, "");
      case LeaseStep::kWrite:
        return Request("PUT", path + "?acquire=" + session_, value);
      case LeaseStep::kRemove:
        return Request("DELETE", path, "");
      case LeaseStep::kAuthenticate:
      case LeaseStep::kNone:
        break;
    }
    return "";
  }

 protected:
  [[nodiscard]] tl::expected<LeaseReply, LeaseError> ReceiveSuccess(LeaseStep step,
                                                                    const http::Message& reply) override {
    if (step == LeaseStep::kOpen) return ReceiveSession(reply);
    if (step == LeaseStep::kRenew) return LeaseReply{false, true, false};
    if (step != LeaseStep::kWrite) return LeaseReply{};
    // Consul answers false if another session holds the key, for example that of an earlier process of this
    // node that has not expired yet.
    if (reply.body.find("true") == std::string::npos) return Fail("the key is held by another session");
    return LeaseReply{false, false, true};
  }

 private:
  [[nodiscard]] std::string SessionBody() const {
    return nlohmann::json{{"TTL", std::to_string(Seconds(options().time_to_live)) + "s"},
                          {"Behavior", "delete"},
                          {"LockDelay", "0s"}}
        .dump();
  }
  tl::expected<LeaseReply, LeaseError> ReceiveSession(const http::Message& reply) {
    const auto body = nlohmann::json::parse(reply.body, nullptr, false);
    if (!body.is_object() || !body.contains("ID") || !body["ID"].is_string()) {
      return Fail("expected a session's ID");
    }
    session_ = body["ID"].get<std::string>();
    return LeaseReply{false, true, false};
  }

  std::string session_;  // empty: none
};

// Stores the entry as an instance of a service with a TTL check. One registration request opens the lease and
// writes the entry.
class ConsulServiceProtocol : public ConsulLeaseProtocol {
 public:
  using ConsulLeaseProtocol::ConsulLeaseProtocol;

  [[nodiscard]] bool HasLease() const override { return is_registered_; }
  void DropLease() override { is_registered_ = false; }

  [[nodiscard]] std::string WriteRequest(LeaseStep step, const std::string& value) const override {
    const std::string& key = options().key;
    const std::string id = http::EncodeUrl(key.substr(key.rfind('/') + 1));
    switch (step) {
      case LeaseStep::kOpen:
      case LeaseStep::kWrite:
        return Request("PUT", "/v1/agent/service/register",
                       EncodeService(value, options().service, options().time_to_live));
      case LeaseStep::kRenew:
        return Request("PUT", "/v1/agent/check/pass/service:" + id, "");
      case LeaseStep::kRemove:
        return Request("PUT", "/v1/agent/service/deregister/" + id, "");
      case LeaseStep::kAuthenticate:
      case LeaseStep::kNone:
        break;
    }
    return "";
  }

 protected:
  [[nodiscard]] tl::expected<LeaseReply, LeaseError> ReceiveSuccess(LeaseStep step,
                                                                    const http::Message& /*reply*/) override {
    if (step == LeaseStep::kRemove || step == LeaseStep::kNone) return LeaseReply{};
    if (step != LeaseStep::kWrite) is_registered_ = true;
    return LeaseReply{false, true, step != LeaseStep::kRenew};
  }

 private:
  bool is_registered_ = false;
};

}  // namespace

std::unique_ptr<LeaseProtocol> MakeLeaseProtocol(const RegistrarOptions& options) {
  if (options.kind == RegistryKind::kEtcd) return std::make_unique<EtcdLeaseProtocol>(options);
  if (options.service.empty()) return std::make_unique<ConsulSessionProtocol>(options);
  return std::make_unique<ConsulServiceProtocol>(options);
}

}  // namespace mountflow::discovery
