#ifndef CORNELSHORE_TEST_RPC_CERTIFICATES_HPP
#define CORNELSHORE_TEST_RPC_CERTIFICATES_HPP

#include <cstdio>
#include <filesystem>
#include <memory>
#include <string>

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <openssl/x509v3.h>
#include <unistd.h>

#include <cornelshore/rpc/types.hpp>

namespace cornelshore::rpc {

/** An authority and certificates that it signs, as PEM files for a test. */
class Certificates
{
public:
  explicit Certificates(const std::string& aName)
    : folder_(std::filesystem::temp_directory_path() /
              ("cornelshore_tls_" + aName + std::to_string(::getpid())))
    , key_(EVP_EC_gen("P-256"))
    , authority_(Sign("authority", key_, nullptr))
  {
    std::filesystem::create_directories(folder_);
    WriteCertificate("authority", authority_);
  }

  ~Certificates()
  {
    X509_free(authority_);
    EVP_PKEY_free(key_);
    std::filesystem::remove_all(folder_);
  }

  Certificates(const Certificates&) = delete;
  Certificates& operator=(const Certificates&) = delete;

  /** Files of a process or operator of that name. */
  TlsFiles Issue(const std::string& aName)
  {
    auto* const key = EVP_EC_gen("P-256");
    auto* const certificate = Sign(aName, key, authority_);
    WriteCertificate(aName, certificate);
    auto* const file = std::fopen(PathOf(aName + ".key").c_str(), "w");
    PEM_write_PrivateKey(file, key, nullptr, nullptr, 0, nullptr, nullptr);
    std::fclose(file);
    X509_free(certificate);
    EVP_PKEY_free(key);
    return { PathOf(aName), PathOf(aName + ".key"), PathOf("authority") };
  }

private:
  [[nodiscard]] std::string PathOf(const std::string& aName) const
  {
    return (folder_ / aName).string();
  }

  X509* Sign(const std::string& aName, EVP_PKEY* aKey, X509* aIssuer)
  {
    constexpr long kDaySeconds = 24 * 3600;
    auto* const certificate = X509_new();
    X509_set_version(certificate, X509_VERSION_3);
    ASN1_INTEGER_set(X509_get_serialNumber(certificate), ++serial_);
    X509_gmtime_adj(X509_getm_notBefore(certificate), -kDaySeconds);
    X509_gmtime_adj(X509_getm_notAfter(certificate), kDaySeconds);
    X509_set_pubkey(certificate, aKey);
    auto* const subject = X509_get_subject_name(certificate);
    X509_NAME_add_entry_by_txt(
      subject,
      "CN",
      MBSTRING_ASC,
      reinterpret_cast<const unsigned char*>(aName.c_str()),
      -1,
      -1,
      0);
    X509_set_issuer_name(certificate,
                         aIssuer == nullptr ? subject
                                            : X509_get_subject_name(aIssuer));
    if (aIssuer == nullptr) {
      auto* const extension = X509V3_EXT_conf_nid(
        nullptr, nullptr, NID_basic_constraints, "critical,CA:TRUE");
      X509_add_ext(certificate, extension, -1);
      X509_EXTENSION_free(extension);
    }
    X509_sign(certificate, key_, EVP_sha256());
    return certificate;
  }

  void WriteCertificate(const std::string& aName, X509* aCertificate)
  {
    auto* const file = std::fopen(PathOf(aName).c_str(), "w");
    PEM_write_X509(file, aCertificate);
    std::fclose(file);
  }

  long serial_{ 0 };
  std::filesystem::path folder_;
  EVP_PKEY* key_;
  X509* authority_;
};

} // namespace cornelshore::rpc

#endif
