// The few cryptographic functions that figrack needs, by OpenSSL.
//
// Guarantees: sameSecret() takes a time that depends on the lengths only.

#ifndef FIGRACK_CORE_CRYPTO_H
#define FIGRACK_CORE_CRYPTO_H

#include <string>
#include <string_view>

namespace figrack {

constexpr auto sha256Bytes = std::size_t { 32 };

/// @return the 32 bytes of the SHA-256 digest
auto sha256(std::string_view data) -> std::string;
/// @return the 32 bytes of the HMAC-SHA256 of data under key
auto hmacSha256(std::string_view key, std::string_view data) -> std::string;
/// Compares without telling by its time where two values differ.
auto sameSecret(std::string_view a, std::string_view b) -> bool;
/// @return bytes from the system's random source, fit for nonces and keys
auto secureRandom(std::size_t size) -> std::string;

} // namespace figrack

#endif // FIGRACK_CORE_CRYPTO_H
