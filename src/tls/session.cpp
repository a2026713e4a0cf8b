#include "tls/session.hpp"

#include <openssl/err.h>
#include <openssl/x509v3.h>

#include <algorithm>
#include <ctime>
#include <utility>

namespace mountflow::tls {
namespace {

constexpr std::size_t kBufferSize = 16'384;                  // bytes; the maximum size of a TLS record
constexpr std::size_t kMaxWriteSize = std::size_t{1} << 30;  // SSL_write takes an int

}  // namespace

std::int64_t ExpiryOf(const X509* certificate) {
  tm time{};
  if (certificate == nullptr || ASN1_TIME_to_tm(X509_get0_notAfter(certificate), &time) != 1) return 0;
  return timegm(&time);
}

Session::Session(SslPointer ssl, Side side, std::shared_ptr<std::int64_t> peer_expiry)
    : ssl_(std::move(ssl)),
      side_(side),
      peer_expiry_(std::move(peer_expiry)),
      received_(BIO_new(BIO_s_mem())),
      to_send_(BIO_new(BIO_s_mem())) {
  BIO_set_mem_eof_return(received_, -1);  // an empty BIO means retry later, not end of file
  SSL_set_bio(ssl_.get(), received_, to_send_);
  if (side_ == Side::kClient) {
    SSL_set_connect_state(ssl_.get());
  } else {
    SSL_set_accept_state(ssl_.get());
  }
}

void Session::Start(std::string* out) {
  if (side_ == Side::kClient) Handshake();
  TakeOutput(out);
}

bool Session::Receive(std::string_view bytes, std::string* plain, std::string* out) {
  if (!error_.empty()) return false;
  BIO_write(received_, bytes.data(), static_cast<int>(bytes.size()));
  if (!ready_) Handshake();
  if (ready_) ReadPlain(plain);
  TakeOutput(out);  // after an error, the output is an alert
  return error_.empty();
}

bool Session::Send(std::string_view plain, std::string* out) {
  if (!ready_ || !error_.empty()) return false;
  ERR_clear_error();
  // The output is a memory BIO, which accepts everything at once, in records of at most 16 KiB.
  while (!plain.empty()) {
    const auto size = static_cast<int>(std::min(plain.size(), kMaxWriteSize));
    const int written = SSL_write(ssl_.get(), plain.data(), size);
    if (written <= 0) {
      error_ = TakeOpenSslReason();
      break;
    }
    plain.remove_prefix(static_cast<std::size_t>(written));
  }
  TakeOutput(out);
  return error_.empty();
}

void Session::Finish(std::string* out) {
  if (!ready_ || !error_.empty()) return;
  SSL_shutdown(ssl_.get());
  TakeOutput(out);
}

void Session::Handshake() {
  ERR_clear_error();
  const int result = SSL_do_handshake(ssl_.get());
  if (result == 1) {
    ready_ = true;
    RecordPeerExpiry();
    return;
  }
  if (SSL_get_error(ssl_.get(), result) == SSL_ERROR_WANT_READ) return;
  const long verified = SSL_get_verify_result(ssl_.get());
  if (verified == X509_V_OK) {
    error_ = "TLS: " + TakeOpenSslReason();
  } else {
    error_ = std::string("TLS: the peer's certificate: ") + X509_verify_cert_error_string(verified);
  }
  ERR_clear_error();
}

void Session::RecordPeerExpiry() {
  std::int64_t earliest = 0;
  const STACK_OF(X509)* chain = SSL_get0_verified_chain(ssl_.get());
  for (int i = 0; chain != nullptr && i < sk_X509_num(chain); ++i) {
    const std::int64_t expiry = ExpiryOf(sk_X509_value(chain, i));
    if (earliest == 0 || expiry < earliest) earliest = expiry;
  }
  *peer_expiry_ = earliest;
}

void Session::ReadPlain(std::string* plain) {
  char buffer[kBufferSize];
  for (;;) {
    ERR_clear_error();
    const int count = SSL_read(ssl_.get(), buffer, sizeof buffer);
    if (count > 0) {
      plain->append(buffer, static_cast<std::size_t>(count));
      continue;
    }
    const int error = SSL_get_error(ssl_.get(), count);
    if (error == SSL_ERROR_ZERO_RETURN) {
      error_ = "closed by peer";
    } else if (error != SSL_ERROR_WANT_READ) {
      error_ = "TLS: " + TakeOpenSslReason();
    }
    return;
  }
}

void Session::TakeOutput(std::string* out) {
  char buffer[kBufferSize];
  for (int count = 0; (count = BIO_read(to_send_, buffer, sizeof buffer)) > 0;)
    out->append(buffer, static_cast<std::size_t>(count));
}

}  // namespace mountflow::tls
