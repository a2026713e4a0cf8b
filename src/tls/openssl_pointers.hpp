// Owning pointers to OpenSSL objects. Only the sources of this package include this header.
#ifndef MOUNTFLOW_TLS_OPENSSL_POINTERS_HPP_
#define MOUNTFLOW_TLS_OPENSSL_POINTERS_HPP_

#include <openssl/ssl.h>

#include <memory>

namespace mountflow::tls {

struct OpenSslDeleter {
  void operator()(SSL_CTX* context) const { SSL_CTX_free(context); }
  void operator()(SSL* ssl) const { SSL_free(ssl); }
};
using SslContextPointer = std::unique_ptr<SSL_CTX, OpenSslDeleter>;
using SslPointer = std::unique_ptr<SSL, OpenSslDeleter>;

}  // namespace mountflow::tls

#endif  // MOUNTFLOW_TLS_OPENSSL_POINTERS_HPP_
