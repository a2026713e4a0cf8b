// Certificates for tests: a CA, and leaf certificates with given names and validity periods.
#ifndef MOUNTFLOW_TESTS_SUPPORT_TLS_FIXTURE_HPP_
#define MOUNTFLOW_TESTS_SUPPORT_TLS_FIXTURE_HPP_

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <filesystem>
#include <string>

namespace mountflow::testing {

constexpr long kCertificateDay = 86'400;  // seconds

// A CA that writes its files to a temporary directory, which it removes on destruction.
class Authority {
 public:
  explicit Authority(const std::string& name = "test CA") {
    char directory[] = "/tmp/mountflow-tls-XXXXXX";
    directory_ = mkdtemp(directory);
    key_ = EVP_EC_gen("P-256");
    const time_t now = time(nullptr);
    certificate_ = MakeCertificate(key_, name, "", now - kCertificateDay, now + 3650 * kCertificateDay, true);
    WriteFiles("ca", certificate_, nullptr);
  }
  ~Authority() {
    X509_free(certificate_);
    EVP_PKEY_free(key_);
    std::filesystem::remove_all(directory_);
  }
  Authority(const Authority&) = delete;
  Authority& operator=(const Authority&) = delete;

  std::string File(const std::string& name) const { return directory_ + "/" + name; }
  std::string ca() const { return File("ca.pem"); }
  // Issues a certificate and writes NAME.pem and NAME.key. `alternative_name` is the subject alternative
  // name, such as "IP:127.0.0.1" or "DNS:registry"; none if empty. Times are in seconds from now.
  void Issue(const std::string& name, const std::string& alternative_name, long not_before = -3600,
             long not_after = 365 * kCertificateDay) {
    EVP_PKEY* key = EVP_EC_gen("P-256");
    const time_t now = time(nullptr);
    X509* leaf = MakeCertificate(key, name, alternative_name, now + not_before, now + not_after, false);
    WriteFiles(name, leaf, key);
    X509_free(leaf);
    EVP_PKEY_free(key);
  }

 private:
  X509* MakeCertificate(EVP_PKEY* key, const std::string& name, const std::string& alternative_name,
                        time_t not_before, time_t not_after, bool is_ca) {
    constexpr long kVersion3 = 2;
    X509* certificate = X509_new();
    X509* issuer = is_ca ? certificate : certificate_;
    X509_set_version(certificate, kVersion3);
    ASN1_INTEGER_set(X509_get_serialNumber(certificate), ++last_serial_);
    ASN1_TIME_set(X509_getm_notBefore(certificate), not_before);
    ASN1_TIME_set(X509_getm_notAfter(certificate), not_after);
    X509_set_pubkey(certificate, key);
    X509_NAME_add_entry_by_txt(X509_get_subject_name(certificate), "CN", MBSTRING_ASC,
                               reinterpret_cast<const unsigned char*>(name.c_str()), -1, -1, 0);
    X509_set_issuer_name(certificate, X509_get_subject_name(issuer));
    AddExtension(certificate, issuer, NID_basic_constraints, is_ca ? "critical,CA:TRUE" : "CA:FALSE");
    if (!alternative_name.empty())
      AddExtension(certificate, certificate_, NID_subject_alt_name, alternative_name.c_str());
    X509_sign(certificate, key_, EVP_sha256());
    return certificate;
  }
  static void AddExtension(X509* certificate, X509* issuer, int kind, const char* value) {
    X509V3_CTX context;
    X509V3_set_ctx(&context, issuer, certificate, nullptr, nullptr, 0);
    X509_EXTENSION* extension = X509V3_EXT_conf_nid(nullptr, &context, kind, value);
    X509_add_ext(certificate, extension, -1);
    X509_EXTENSION_free(extension);
  }
  void WriteFiles(const std::string& name, X509* certificate, EVP_PKEY* key) {
    FILE* file = std::fopen(File(name + ".pem").c_str(), "w");
    PEM_write_X509(file, certificate);
    std::fclose(file);
    if (key == nullptr) return;
    file = std::fopen(File(name + ".key").c_str(), "w");
    PEM_write_PrivateKey(file, key, nullptr, nullptr, 0, nullptr, nullptr);
    std::fclose(file);
  }

  std::string directory_;
  EVP_PKEY* key_ = nullptr;
  X509* certificate_ = nullptr;
  long last_serial_ = 0;
};

}  // namespace mountflow::testing

#endif  // MOUNTFLOW_TESTS_SUPPORT_TLS_FIXTURE_HPP_
