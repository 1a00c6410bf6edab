// A library call that fails here means a broken installation: there is nothing a
// caller could do, so it is a failed check.

#include "core/crypto.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include "core/check.h"

namespace figrack {
namespace {

auto bytesOf(std::string_view text) -> const unsigned char *
{
    return reinterpret_cast<const unsigned char *>(text.data());
}

auto bytesOf(std::string &text) -> unsigned char *
{
    return reinterpret_cast<unsigned char *>(text.data());
}

} // namespace

auto sha256(std::string_view data) -> std::string
{
    auto digest = std::string(sha256Bytes, '\0');
    const auto done
            = EVP_Digest(data.data(), data.size(), bytesOf(digest), nullptr, EVP_sha256(), nullptr);
    FIGRACK_CHECK(done == 1, "SHA-256 is available");
    return digest;
}

auto hmacSha256(std::string_view key, std::string_view data) -> std::string
{
    auto mac = std::string(sha256Bytes, '\0');
    const auto *done = HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), bytesOf(data),
                            data.size(), bytesOf(mac), nullptr);
    FIGRACK_CHECK(done != nullptr, "HMAC-SHA256 is available");
    return mac;
}

auto sameSecret(std::string_view a, std::string_view b) -> bool
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

auto secureRandom(std::size_t size) -> std::string
{
    auto bytes = std::string(size, '\0');
    FIGRACK_CHECK(RAND_bytes(bytesOf(bytes), static_cast<int>(size)) == 1,
                  "the system gives random bytes");
    return bytes;
}

} // namespace figrack
