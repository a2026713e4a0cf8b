// The TLS state of one connection, with input and output in memory.
#ifndef MOUNTFLOW_TLS_SESSION_HPP_
#define MOUNTFLOW_TLS_SESSION_HPP_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "event_loop/connection_filter.hpp"
#include "tls/context.hpp"
#include "tls/openssl_pointers.hpp"

namespace mountflow::tls {

// Returns the end of a certificate's validity in seconds since 1970; 0 if `certificate` is null or its time
// cannot be read.
[[nodiscard]] std::int64_t ExpiryOf(const X509* certificate);

// A connection filter that encrypts and decrypts with TLS. After an error, it receives and sends nothing
// more. Not thread-safe.
class Session : public event_loop::ConnectionFilter {
 public:
  // After the handshake, sets `peer_expiry` to the earliest expiry in the peer's chain (seconds since 1970).
  Session(SslPointer ssl, Side side, std::shared_ptr<std::int64_t> peer_expiry);

  void Start(std::string* out) override;
  bool Receive(std::string_view bytes, std::string* plain, std::string* out) override;
  bool Send(std::string_view plain, std::string* out) override;
  void Finish(std::string* out) override;
  bool ready() const override { return ready_; }
  const std::string& error() const override { return error_; }

 private:
  void Handshake();
  void RecordPeerExpiry();
  void ReadPlain(std::string* plain);
  void TakeOutput(std::string* out);

  SslPointer ssl_;
  const Side side_;
  const std::shared_ptr<std::int64_t> peer_expiry_;
  BIO* received_ = nullptr;  // owned by ssl_, as is to_send_
  BIO* to_send_ = nullptr;
  bool ready_ = false;  // whether the handshake is complete
  std::string error_;
};

}  // namespace mountflow::tls

#endif  // MOUNTFLOW_TLS_SESSION_HPP_
