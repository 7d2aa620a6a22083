// Walks over the items with a stack of its own.
#include "gateway/cbor_structure.h"

#include <array>
#include <cstdint>
#include <optional>

namespace papayaplank {
namespace {

// Peer messages have at most four levels.
constexpr std::size_t kMaxDepth = 8;

// Kinds of items, in the first three bits of a head.
constexpr unsigned kBytes = 2;
constexpr unsigned kText = 3;
constexpr unsigned kArray = 4;
constexpr unsigned kMap = 5;
constexpr unsigned kTag = 6;
constexpr unsigned kKindShift = 5;
// The other bits are the argument, or tell how many bytes of it follow.
constexpr unsigned kArgumentMask = 31;
constexpr unsigned kOneByteFollows = 24;
constexpr unsigned kEightBytesFollow = 27;
constexpr unsigned kBitsPerByte = 8;

struct Head {
  unsigned kind = 0;
  std::uint64_t argument = 0;
};

// Takes a head from the front of `bytes`.
auto TakeHead(std::string_view& bytes) -> std::optional<Head> {
  if (bytes.empty()) return std::nullopt;
  const auto first = static_cast<unsigned char>(bytes.front());
  bytes.remove_prefix(1);
  const auto value = first & kArgumentMask;
  if (value > kEightBytesFollow) return std::nullopt;
  Head head{static_cast<unsigned>(first) >> kKindShift, value};
  if (value < kOneByteFollows) return head;
  const auto length = std::size_t{1} << (value - kOneByteFollows);
  if (bytes.size() < length) return std::nullopt;
  head.argument = 0;
  for (std::size_t i = 0; i < length; ++i) {
    head.argument =
        head.argument << kBitsPerByte | static_cast<unsigned char>(bytes[i]);
  }
  bytes.remove_prefix(length);
  return head;
}

}  // namespace

auto IsBoundedCbor(std::string_view bytes) -> bool {
  // Items that are still to come at each level; at the first, the whole.
  std::array<std::uint64_t, kMaxDepth + 1> left{1};
  std::size_t depth = 0;
  while (true) {
    while (left[depth] == 0) {
      if (depth == 0) return bytes.empty();
      --depth;
    }
    --left[depth];
    const auto head = TakeHead(bytes);
    if (!head || head->kind == kTag) return false;
    const auto is_string = head->kind == kBytes || head->kind == kText;
    const auto is_container = head->kind == kArray || head->kind == kMap;
    if (!is_string && !is_container) continue;
    if (head->argument > bytes.size()) return false;
    if (is_string) {
      bytes.remove_prefix(static_cast<std::size_t>(head->argument));
      continue;
    }
    if (depth == kMaxDepth) return false;
    left[++depth] = head->argument * (head->kind == kMap ? 2 : 1);
  }
}

}  // namespace papayaplank
