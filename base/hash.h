// Hashing: xxHash where no secret is involved, such as for placement, libsodium
// for secrets; base64 and random bytes.
#ifndef BASE_HASH_H_
#define BASE_HASH_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace papayaplank {

// 64-bit hash of `text` with `seed`; the same in all releases and on all
// machines.
auto StableHash(std::string_view text, std::uint64_t seed = 0) -> std::uint64_t;

// SHA-256 of `text` in lower-case hexadecimal; configurations of the config
// library have API keys in this form.
auto Sha256Hex(std::string_view text) -> std::string;

// Authentication code (HMAC-SHA-512/256, 32 bytes) of `text` under a key
// derived from `secret`.
auto AuthenticationCode(std::string_view text, std::string_view secret)
    -> std::string;

// Compares two byte strings in time that depends only on their lengths.
auto IsEqualConstantTime(std::string_view a, std::string_view b) -> bool;

// Encodes bytes as base64, and decodes it; nothing if the text isn't base64.
auto ToBase64(std::string_view bytes) -> std::string;
auto FromBase64(std::string_view text) -> std::optional<std::string>;

// `bytes` random bytes from the operating system, in hexadecimal. For the I/O
// layer only: the decision libraries get a seed, so that tests can reproduce
// their decisions.
auto RandomHex(std::size_t bytes) -> std::string;

}  // namespace papayaplank

#endif  // BASE_HASH_H_
