// Errors of loading key files.
#ifndef MOUNTFLOW_TLS_TLS_ERROR_HPP_
#define MOUNTFLOW_TLS_TLS_ERROR_HPP_

#include <string>
#include <tl/expected.hpp>

namespace mountflow::tls {

enum class TlsErrorCode {
  kNoCa,            // a client without a CA's file
  kBadCa,           // the CA's file cannot be read or has no PEM certificates
  kBadCertificate,  // likewise the own certificate
  kBadKey,          // the key cannot be read or is not the certificate's
};

struct TlsError {
  TlsErrorCode code = TlsErrorCode::kNoCa;
  std::string file;      // empty for kNoCa
  std::string expected;  // what was expected in it
  std::string reason;    // of OpenSSL; may be empty
};

using TlsStatus = tl::expected<void, TlsError>;

// "FILE: expected X (REASON)"
[[nodiscard]] std::string Describe(const TlsError& error);

// The text of OpenSSL's last error on this thread, which is cleared. Never empty.
[[nodiscard]] std::string TakeOpenSslReason();

}  // namespace mountflow::tls

#endif  // MOUNTFLOW_TLS_TLS_ERROR_HPP_
