#include "tls/context.hpp"

#include <openssl/err.h>
#include <openssl/ssl.h>
#include <openssl/x509v3.h>
#include <time.h>

#include <algorithm>
#include <utility>

namespace mountflow::tls {
namespace {

struct Freed {
  void operator()(SSL_CTX* c) const { SSL_CTX_free(c); }
  void operator()(SSL* s) const { SSL_free(s); }
};
using CtxPtr = std::unique_ptr<SSL_CTX, Freed>;
using SslPtr = std::unique_ptr<SSL, Freed>;

std::int64_t EndOf(const X509* certificate) {
  tm t{};
  if (certificate == nullptr || ASN1_TIME_to_tm(X509_get0_notAfter(certificate), &t) != 1) return 0;
  return timegm(&t);
}

std::string Reason() {
  const unsigned long code = ERR_peek_last_error();
  const char* text = code == 0 ? nullptr : ERR_reason_error_string(code);
  ERR_clear_error();
  return text == nullptr ? "TLS failed" : text;
}

bool IsIp(const std::string& name) {
  ASN1_OCTET_STRING* ip = a2i_IPADDRESS(name.c_str());
  ASN1_OCTET_STRING_free(ip);
  return ip != nullptr;
}

class Session : public event_loop::ConnectionFilter {
 public:
  Session(SslPtr ssl, Side side, std::shared_ptr<std::int64_t> peer_end)
      : ssl_(std::move(ssl)), side_(side), peer_end_(std::move(peer_end)) {
    in_ = BIO_new(BIO_s_mem());
    out_ = BIO_new(BIO_s_mem());
    BIO_set_mem_eof_return(in_, -1);  // empty: wait for more
    SSL_set_bio(ssl_.get(), in_, out_);
    side_ == Side::kClient ? SSL_set_connect_state(ssl_.get()) : SSL_set_accept_state(ssl_.get());
  }

  void Start(std::string* out) override {
    if (side_ == Side::kClient) Shake();
    Drain(out);
  }

  bool Receive(std::string_view bytes, std::string* plain, std::string* out) override {
    if (!error_.empty()) return false;
    BIO_write(in_, bytes.data(), static_cast<int>(bytes.size()));
    if (!ready_) Shake();
    if (ready_) Read(plain);
    Drain(out);  // an alert, too
    return error_.empty();
  }

  bool Send(std::string_view plain, std::string* out) override {
    if (!ready_ || !error_.empty()) return false;
    ERR_clear_error();
    // The out side is memory: all is taken at once, in records of at most 16 KiB.
    while (!plain.empty()) {
      const int n = SSL_write(ssl_.get(), plain.data(),
                              static_cast<int>(std::min<std::size_t>(plain.size(), std::size_t{1} << 30)));
      if (n <= 0) {
        error_ = Reason();
        break;
      }
      plain.remove_prefix(static_cast<std::size_t>(n));
    }
    Drain(out);
    return error_.empty();
  }

  void Finish(std::string* out) override {
    if (!ready_ || !error_.empty()) return;
    SSL_shutdown(ssl_.get());
    Drain(out);
  }

  bool ready() const override { return ready_; }
  const std::string& error() const override { return error_; }

 private:
  void Shake() {
    ERR_clear_error();
    const int done = SSL_do_handshake(ssl_.get());
    if (done == 1) {
      ready_ = true;
      std::int64_t soonest = 0;
      const STACK_OF(X509)* chain = SSL_get0_verified_chain(ssl_.get());
      for (int i = 0; chain != nullptr && i < sk_X509_num(chain); ++i) {
        const std::int64_t end = EndOf(sk_X509_value(chain, i));
        if (soonest == 0 || end < soonest) soonest = end;
      }
      *peer_end_ = soonest;
      return;
    }
    if (SSL_get_error(ssl_.get(), done) == SSL_ERROR_WANT_READ) return;
    const long verified = SSL_get_verify_result(ssl_.get());
    error_ = "TLS: " + (verified != X509_V_OK ? std::string("the other side's certificate: ") +
                                                    X509_verify_cert_error_string(verified)
                                              : Reason());
    ERR_clear_error();
  }

  void Read(std::string* plain) {
    char buffer[16384];
    for (;;) {
      ERR_clear_error();
      const int n = SSL_read(ssl_.get(), buffer, sizeof buffer);
      if (n > 0) {
        plain->append(buffer, static_cast<std::size_t>(n));
        continue;
      }
      const int why = SSL_get_error(ssl_.get(), n);
      if (why == SSL_ERROR_ZERO_RETURN) {
        error_ = "closed by peer";
      } else if (why != SSL_ERROR_WANT_READ) {
        error_ = "TLS: " + Reason();
      }
      return;
    }
  }

  void Drain(std::string* out) {
    char buffer[16384];
    for (int n = 0; (n = BIO_read(out_, buffer, sizeof buffer)) > 0;) {
      out->append(buffer, static_cast<std::size_t>(n));
    }
  }

  SslPtr ssl_;
  Side side_;
  std::shared_ptr<std::int64_t> peer_end_;
  BIO* in_ = nullptr;  // both belong to ssl_
  BIO* out_ = nullptr;
  bool ready_ = false;
  std::string error_;
};

}  // namespace

struct Context::Impl {
  CtxPtr ctx;
  std::int64_t own_end = 0;
  std::shared_ptr<std::int64_t> peer_end = std::make_shared<std::int64_t>(0);
};

Context::Context(Side side, Options options)
    : side_(side), options_(std::move(options)), impl_(std::make_unique<Impl>()) {}
Context::~Context() = default;

bool Context::Load(std::string* error) {
  ERR_clear_error();
  CtxPtr ctx(SSL_CTX_new(side_ == Side::kClient ? TLS_client_method() : TLS_server_method()));
  SSL_CTX_set_min_proto_version(ctx.get(), TLS1_2_VERSION);
  const auto fail = [error](std::string text) {
    *error = std::move(text) + " (" + Reason() + ")";
    return false;
  };
  if (side_ == Side::kClient && options_.ca.empty()) {
    *error = "expected a CA's file";
    return false;
  }
  if (!options_.ca.empty()) {
    if (SSL_CTX_load_verify_file(ctx.get(), options_.ca.c_str()) != 1)
      return fail(options_.ca + ": expected PEM certificates of the CA");
    SSL_CTX_set_verify(ctx.get(), SSL_VERIFY_PEER | SSL_VERIFY_FAIL_IF_NO_PEER_CERT, nullptr);
  }
  std::int64_t own_end = 0;
  if (!options_.certificate.empty()) {
    if (SSL_CTX_use_certificate_chain_file(ctx.get(), options_.certificate.c_str()) != 1)
      return fail(options_.certificate + ": expected a PEM certificate");
    if (SSL_CTX_use_PrivateKey_file(ctx.get(), options_.key.c_str(), SSL_FILETYPE_PEM) != 1 ||
        SSL_CTX_check_private_key(ctx.get()) != 1)
      return fail(options_.key + ": expected the PEM key of " + options_.certificate);
    own_end = EndOf(SSL_CTX_get0_certificate(ctx.get()));
  }
  impl_->ctx = std::move(ctx);
  impl_->own_end = own_end;
  return true;
}

std::unique_ptr<event_loop::ConnectionFilter> Context::NewSession(const std::string& host) {
  if (!impl_->ctx) return nullptr;
  SslPtr ssl(SSL_new(impl_->ctx.get()));
  X509_VERIFY_PARAM* check = SSL_get0_param(ssl.get());
  if (side_ == Side::kClient) {
    const std::string& name = options_.name.empty() ? host : options_.name;
    if (IsIp(name)) {
      X509_VERIFY_PARAM_set1_ip_asc(check, name.c_str());
    } else {
      SSL_set_tlsext_host_name(ssl.get(), name.c_str());
      X509_VERIFY_PARAM_set1_host(check, name.c_str(), name.size());
    }
  }
  return std::make_unique<Session>(std::move(ssl), side_, impl_->peer_end);
}

std::vector<Expiry> Context::Expiries() const {
  std::vector<Expiry> all;
  if (impl_->own_end != 0) all.push_back({"certificate " + options_.certificate, impl_->own_end});
  if (*impl_->peer_end != 0) all.push_back({"the other side's certificate or its CA", *impl_->peer_end});
  return all;
}

}  // namespace mountflow::tls
