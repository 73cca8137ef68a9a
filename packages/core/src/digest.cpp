#include "lycheewell/core/digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>
#include <boost/algorithm/hex.hpp>
#include <iterator>
#include <stdexcept>
#include <vector>

namespace lycheewell::core {
namespace {

std::string Hex(const unsigned char* bytes, std::size_t count) {
  std::string text;
  text.reserve(count * 2);
  boost::algorithm::hex_lower(bytes, bytes + count, std::back_inserter(text));
  return text;
}

}  // namespace

std::string Sha256Hex(std::string_view bytes) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int length = 0;
  EVP_Digest(bytes.data(), bytes.size(), digest.data(), &length, EVP_sha256(),
             nullptr);
  return Hex(digest.data(), length);
}

std::string HmacSha256Hex(std::string_view secret, std::string_view bytes) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int length = 0;
  HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
       reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
       digest.data(), &length);
  return Hex(digest.data(), length);
}

bool EqualInConstantTime(std::string_view left, std::string_view right) {
  if (left.size() != right.size()) {
    return false;
  }
  return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::uint64_t StableHash(std::string_view bytes, std::uint64_t seed) {
  constexpr std::uint64_t kFnvOffset = 0xcbf29ce484222325ULL;
  constexpr std::uint64_t kFnvPrime = 0x100000001b3ULL;
  std::uint64_t hash = kFnvOffset ^ (seed * 0x9e3779b97f4a7c15ULL);
  for (const char byte : bytes) {
    hash ^= static_cast<unsigned char>(byte);
    hash *= kFnvPrime;
  }
  // Final mix of the splitmix64 generator: spreads the low-entropy FNV state.
  hash ^= hash >> 30;
  hash *= 0xbf58476d1ce4e5b9ULL;
  hash ^= hash >> 27;
  hash *= 0x94d049bb133111ebULL;
  return hash ^ (hash >> 31);
}

std::string RandomHex(std::size_t byte_count) {
  std::vector<unsigned char> bytes(byte_count);
  if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
    throw std::runtime_error("the system's random generator failed");
  }
  return Hex(bytes.data(), bytes.size());
}

}  // namespace lycheewell::core
