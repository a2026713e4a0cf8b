// Certificates made for a test: a CA and leaves with chosen names and times.
#ifndef MOUNTFLOW_TESTS_SUPPORT_TLS_FIXTURE_HPP_
#define MOUNTFLOW_TESTS_SUPPORT_TLS_FIXTURE_HPP_

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include <filesystem>
#include <string>

namespace mountflow::testing {

class Authority {
 public:
  explicit Authority(const std::string& name = "test CA") {
    char made[] = "/tmp/mountflow-tls-XXXXXX";
    folder_ = mkdtemp(made);
    key_ = EVP_EC_gen("P-256");
    certificate_ = Make(key_, name, "", time(nullptr) - 86'400, time(nullptr) + 3650 * 86'400L, true);
    Write("ca", certificate_, nullptr);
  }
  ~Authority() {
    X509_free(certificate_);
    EVP_PKEY_free(key_);
    std::filesystem::remove_all(folder_);
  }
  Authority(const Authority&) = delete;
  Authority& operator=(const Authority&) = delete;

  std::string File(const std::string& name) const { return folder_ + "/" + name; }
  std::string ca() const { return File("ca.pem"); }
  // Writes NAME.pem and NAME.key. `alt`: "IP:127.0.0.1" or "DNS:registry". Times in seconds from now.
  void Issue(const std::string& name, const std::string& alt, long from = -3600, long to = 365 * 86'400L) {
    EVP_PKEY* key = EVP_EC_gen("P-256");
    X509* leaf = Make(key, name, alt, time(nullptr) + from, time(nullptr) + to, false);
    Write(name, leaf, key);
    X509_free(leaf);
    EVP_PKEY_free(key);
  }

 private:
  X509* Make(EVP_PKEY* key, const std::string& name, const std::string& alt, time_t from, time_t to,
             bool ca) {
    X509* x = X509_new();
    X509_set_version(x, 2);
    ASN1_INTEGER_set(X509_get_serialNumber(x), ++serial_);
    ASN1_TIME_set(X509_getm_notBefore(x), from);
    ASN1_TIME_set(X509_getm_notAfter(x), to);
    X509_set_pubkey(x, key);
    X509_NAME_add_entry_by_txt(X509_get_subject_name(x), "CN", MBSTRING_ASC,
                               reinterpret_cast<const unsigned char*>(name.c_str()), -1, -1, 0);
    X509_set_issuer_name(x, X509_get_subject_name(ca ? x : certificate_));
    Extend(x, ca ? x : certificate_, NID_basic_constraints, ca ? "critical,CA:TRUE" : "CA:FALSE");
    if (!alt.empty()) Extend(x, certificate_, NID_subject_alt_name, alt.c_str());
    X509_sign(x, key_, EVP_sha256());
    return x;
  }
  static void Extend(X509* x, X509* issuer, int kind, const char* value) {
    X509V3_CTX ctx;
    X509V3_set_ctx(&ctx, issuer, x, nullptr, nullptr, 0);
    X509_EXTENSION* extension = X509V3_EXT_conf_nid(nullptr, &ctx, kind, value);
    X509_add_ext(x, extension, -1);
    X509_EXTENSION_free(extension);
  }
  void Write(const std::string& name, X509* certificate, EVP_PKEY* key) {
    FILE* f = fopen(File(name + ".pem").c_str(), "w");
    PEM_write_X509(f, certificate);
    fclose(f);
    if (key == nullptr) return;
    f = fopen(File(name + ".key").c_str(), "w");
    PEM_write_PrivateKey(f, key, nullptr, nullptr, 0, nullptr, nullptr);
    fclose(f);
  }
  std::string folder_;
  EVP_PKEY* key_ = nullptr;
  X509* certificate_ = nullptr;
  long serial_ = 0;
};

}  // namespace mountflow::testing

#endif  // MOUNTFLOW_TESTS_SUPPORT_TLS_FIXTURE_HPP_
