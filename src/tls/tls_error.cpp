#include "tls/tls_error.hpp"

#include <openssl/err.h>

namespace mountflow::tls {

std::string Describe(const TlsError& error) {
  std::string text = error.file;
  if (!text.empty()) text += ": ";
  text += "expected " + error.expected;
  if (!error.reason.empty()) text += " (" + error.reason + ")";
  return text;
}

std::string TakeOpenSslReason() {
  const unsigned long code = ERR_peek_last_error();
  const char* text = code == 0 ? nullptr : ERR_reason_error_string(code);
  ERR_clear_error();
  return text == nullptr ? "TLS failed" : text;
}

}  // namespace mountflow::tls
