// Errors of loading key files.
#ifndef MOUNTFLOW_TLS_TLS_ERROR_HPP_
#define MOUNTFLOW_TLS_TLS_ERROR_HPP_

#include <string>
#include <tl/expected.hpp>

namespace mountflow::tls {

enum class TlsErrorCode {
  kNoCa,            // a client has no CA file
  kBadCa,           // the CA file cannot be read or contains no PEM certificates
  kBadCertificate,  // the own certificate's file cannot be read or contains no PEM certificate
  kBadKey,          // the key cannot be read or does not match the certificate
};

// An error of loading key files.
struct TlsError {
  TlsErrorCode code = TlsErrorCode::kNoCa;
  std::string file;      // empty for kNoCa
  std::string expected;  // the expected content of the file
  std::string reason;    // OpenSSL's error text; may be empty
};

using TlsStatus = tl::expected<void, TlsError>;

// Returns the error as text: "FILE: expected X (REASON)".
[[nodiscard]] std::string Describe(const TlsError& error);

// Returns the text of OpenSSL's last error on this thread and clears its error queue. Never returns an empty
// string.
[[nodiscard]] std::string TakeOpenSslReason();

}  // namespace mountflow::tls

#endif  // MOUNTFLOW_TLS_TLS_ERROR_HPP_
