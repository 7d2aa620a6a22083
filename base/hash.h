// Hashing through libraries: placement by xxHash, secrets by libsodium.
#ifndef BASE_HASH_H_
#define BASE_HASH_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace papayaplank {

// 64-bit hash of `text` under `seed`; stable between releases and machines.
auto StableHash(std::string_view text, std::uint64_t seed = 0) -> std::uint64_t;

// SHA-256 of `text` in lower-case hexadecimal; API keys are stored so.
auto Sha256Hex(std::string_view text) -> std::string;

// Authentication code (HMAC-SHA-512/256, 32 bytes) of `text` under a key
// derived from `secret`.
auto AuthenticationCode(std::string_view text, std::string_view secret)
    -> std::string;

// Compares two byte strings in a time that depends on their length only.
auto IsEqualConstantTime(std::string_view a, std::string_view b) -> bool;

// Base64 text of any bytes, and back; nothing if the text is not base64.
auto ToBase64(std::string_view bytes) -> std::string;
auto FromBase64(std::string_view text) -> std::optional<std::string>;

// `bytes` random bytes from the operating system, in hexadecimal. Only shells
// call it; the decision libraries take their randomness as a seed.
auto RandomHex(std::size_t bytes) -> std::string;

}  // namespace papayaplank

#endif  // BASE_HASH_H_
