#include "tls/context.hpp"

#include <openssl/err.h>
#include <openssl/ssl.h>
#include <openssl/x509v3.h>

#include <utility>

#include "tls/openssl_pointers.hpp"
#include "tls/session.hpp"

namespace mountflow::tls {
namespace {

tl::unexpected<TlsError> FileError(TlsErrorCode code, const std::string& file, std::string expected) {
  return tl::unexpected(TlsError{code, file, std::move(expected), TakeOpenSslReason()});
}

TlsStatus LoadCa(const std::string& file, SSL_CTX* context) {
  if (SSL_CTX_load_verify_file(context, file.c_str()) != 1)
    return FileError(TlsErrorCode::kBadCa, file, "PEM certificates of the CA");
  SSL_CTX_set_verify(context, SSL_VERIFY_PEER | SSL_VERIFY_FAIL_IF_NO_PEER_CERT, nullptr);
  return {};
}

TlsStatus LoadCertificate(const Options& options, SSL_CTX* context) {
  if (SSL_CTX_use_certificate_chain_file(context, options.certificate.c_str()) != 1)
    return FileError(TlsErrorCode::kBadCertificate, options.certificate, "a PEM certificate");
  if (SSL_CTX_use_PrivateKey_file(context, options.key.c_str(), SSL_FILETYPE_PEM) != 1 ||
      SSL_CTX_check_private_key(context) != 1)
    return FileError(TlsErrorCode::kBadKey, options.key, "the PEM key of " + options.certificate);
  return {};
}

bool IsIpAddress(const std::string& name) {
  ASN1_OCTET_STRING* address = a2i_IPADDRESS(name.c_str());
  ASN1_OCTET_STRING_free(address);
  return address != nullptr;
}

// Makes the handshake fail unless the peer's certificate contains this name.
void RequirePeerName(SSL* ssl, const std::string& name) {
  X509_VERIFY_PARAM* verification = SSL_get0_param(ssl);
  if (IsIpAddress(name)) {
    X509_VERIFY_PARAM_set1_ip_asc(verification, name.c_str());
  } else {
    SSL_set_tlsext_host_name(ssl, name.c_str());
    X509_VERIFY_PARAM_set1_host(verification, name.c_str(), name.size());
  }
}

}  // namespace

struct Context::Loaded {
  SslContextPointer context;    // null before the first successful Load
  std::int64_t own_expiry = 0;  // seconds since 1970; 0: no certificate
  std::shared_ptr<std::int64_t> peer_expiry =
      std::make_shared<std::int64_t>(0);  // seconds since 1970; 0: no handshake yet
};

Context::Context(Side side, Options options)
    : side_(side), options_(std::move(options)), loaded_(std::make_unique<Loaded>()) {}
Context::~Context() = default;

TlsStatus Context::Load() {
  ERR_clear_error();
  SslContextPointer context(SSL_CTX_new(side_ == Side::kClient ? TLS_client_method() : TLS_server_method()));
  SSL_CTX_set_min_proto_version(context.get(), TLS1_2_VERSION);
  if (side_ == Side::kClient && options_.ca.empty())
    return tl::unexpected(TlsError{TlsErrorCode::kNoCa, "", "a CA's file", ""});
  if (!options_.ca.empty()) {
    if (TlsStatus status = LoadCa(options_.ca, context.get()); !status) return status;
  }
  std::int64_t own_expiry = 0;
  if (!options_.certificate.empty()) {
    if (TlsStatus status = LoadCertificate(options_, context.get()); !status) return status;
    own_expiry = ExpiryOf(SSL_CTX_get0_certificate(context.get()));
  }
  loaded_->context = std::move(context);
  loaded_->own_expiry = own_expiry;
  return {};
}

std::unique_ptr<event_loop::ConnectionFilter> Context::NewSession(const std::string& host) {
  if (!loaded_->context) return nullptr;
  SslPointer ssl(SSL_new(loaded_->context.get()));
  if (side_ == Side::kClient) RequirePeerName(ssl.get(), options_.name.empty() ? host : options_.name);
  return std::make_unique<Session>(std::move(ssl), side_, loaded_->peer_expiry);
}

std::vector<Expiry> Context::Expiries() const {
  std::vector<Expiry> expiries;
  if (loaded_->own_expiry != 0)
    expiries.push_back({"certificate " + options_.certificate, loaded_->own_expiry});
  if (*loaded_->peer_expiry != 0)
    expiries.push_back({"the peer's certificate or its CA", *loaded_->peer_expiry});
  return expiries;
}

}  // namespace mountflow::tls
