// Hashing through xxHash and libsodium.
#include "base/hash.h"

#include <sodium.h>
#include <xxhash.h>

#include <array>
#include <vector>

namespace papayaplank {
namespace {

auto Bytes(std::string_view text) -> const unsigned char* {
  return reinterpret_cast<const unsigned char*>(text.data());
}

auto ToHex(const unsigned char* bytes, std::size_t size) -> std::string {
  std::vector<char> hex(size * 2 + 1);
  sodium_bin2hex(hex.data(), hex.size(), bytes, size);
  return std::string(hex.data());
}

}  // namespace

auto StableHash(std::string_view text, std::uint64_t seed) -> std::uint64_t {
  return XXH64(text.data(), text.size(), seed);
}

auto Sha256Hex(std::string_view text) -> std::string {
  std::array<unsigned char, crypto_hash_sha256_BYTES> digest{};
  crypto_hash_sha256(digest.data(), Bytes(text), text.size());
  return ToHex(digest.data(), digest.size());
}

auto AuthenticationCode(std::string_view text, std::string_view secret)
    -> std::string {
  std::array<unsigned char, crypto_auth_KEYBYTES> key{};
  crypto_hash_sha256(key.data(), Bytes(secret), secret.size());
  std::string code(crypto_auth_BYTES, '\0');
  crypto_auth(reinterpret_cast<unsigned char*>(code.data()), Bytes(text),
              text.size(), key.data());
  return code;
}

auto IsEqualConstantTime(std::string_view a, std::string_view b) -> bool {
  if (a.size() != b.size()) return false;
  return sodium_memcmp(a.data(), b.data(), a.size()) == 0;
}

auto ToBase64(std::string_view bytes) -> std::string {
  std::vector<char> text(
      sodium_base64_encoded_len(bytes.size(), sodium_base64_VARIANT_ORIGINAL));
  sodium_bin2base64(text.data(), text.size(), Bytes(bytes), bytes.size(),
                    sodium_base64_VARIANT_ORIGINAL);
  return std::string(text.data());
}

auto FromBase64(std::string_view text) -> std::optional<std::string> {
  std::string bytes(text.size(), '\0');
  std::size_t size = 0;
  const auto result = sodium_base642bin(
      reinterpret_cast<unsigned char*>(bytes.data()), bytes.size(), text.data(),
      text.size(), nullptr, &size, nullptr, sodium_base64_VARIANT_ORIGINAL);
  if (result != 0) return std::nullopt;
  bytes.resize(size);
  return bytes;
}

auto RandomHex(std::size_t bytes) -> std::string {
  std::vector<unsigned char> buffer(bytes);
  randombytes_buf(buffer.data(), buffer.size());
  return ToHex(buffer.data(), buffer.size());
}

}  // namespace papayaplank
