// Hashes: content digests, keyed digests of caller keys, and rendezvous scores.
#ifndef LYCHEEWELL_CORE_DIGEST_H_
#define LYCHEEWELL_CORE_DIGEST_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace lycheewell::core {

// SHA-256 of `bytes` as 64 lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view bytes);

// HMAC-SHA-256 of `bytes` under `secret` as 64 lower-case hexadecimal digits.
std::string HmacSha256Hex(std::string_view secret, std::string_view bytes);

// Compares two strings in a time that depends on their lengths only.
bool EqualInConstantTime(std::string_view left, std::string_view right);

// Stable 64-bit hash, equal in every process and build.
std::uint64_t StableHash(std::string_view bytes, std::uint64_t seed = 0);

// `byte_count` random bytes from the system's generator, in hexadecimal.
std::string RandomHex(std::size_t byte_count);

}  // namespace lycheewell::core

#endif  // LYCHEEWELL_CORE_DIGEST_H_
