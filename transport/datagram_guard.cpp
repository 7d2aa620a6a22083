// Authentication codes by libsodium, and a sliding replay window.
#include "transport/datagram_guard.h"

#include <utility>

namespace papayaplank {
namespace {

constexpr std::size_t kIntegerBytes = 8;
constexpr std::size_t kCodeBytes = 16;
constexpr std::size_t kOverheadBytes = 2 * kIntegerBytes + kCodeBytes;
constexpr std::uint64_t kWindowBits = 64;
// Maximum number of senders whose counters are kept; above it, the one with the
// lowest nonce is forgotten. Each process start is a new sender, and a day has
// fewer starts than this.
constexpr std::size_t kMaxSenders = 8192;

auto AppendInteger(std::string& out, std::uint64_t value) -> void {
  for (int shift = 56; shift >= 0; shift -= 8) {
    out.push_back(static_cast<char>((value >> shift) & 0xff));
  }
}

auto ReadInteger(std::string_view bytes) -> std::uint64_t {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < kIntegerBytes; ++i) {
    value = (value << 8) | static_cast<unsigned char>(bytes[i]);
  }
  return value;
}

}  // namespace

DatagramGuard::DatagramGuard(std::string secret, std::uint64_t nonce)
    : secret_(std::move(secret)), nonce_(nonce) {}

auto DatagramGuard::Seal(std::string_view body) -> std::string {
  std::string datagram;
  datagram.reserve(body.size() + kOverheadBytes);
  AppendInteger(datagram, nonce_);
  AppendInteger(datagram, next_counter_++);
  datagram.append(body);
  datagram += AuthenticationCode(datagram, secret_).substr(0, kCodeBytes);
  return datagram;
}

auto DatagramGuard::Open(std::string_view datagram)
    -> std::optional<std::string> {
  if (datagram.size() < kOverheadBytes) return std::nullopt;
  const auto signed_part = datagram.substr(0, datagram.size() - kCodeBytes);
  const auto expected =
      AuthenticationCode(signed_part, secret_).substr(0, kCodeBytes);
  if (!IsEqualConstantTime(datagram.substr(signed_part.size()), expected)) {
    return std::nullopt;
  }
  const auto nonce = ReadInteger(signed_part);
  const auto counter = ReadInteger(signed_part.substr(kIntegerBytes));
  if (!RecordCounterIfNew(nonce, counter)) return std::nullopt;
  return std::string(signed_part.substr(2 * kIntegerBytes));
}

auto DatagramGuard::RecordCounterIfNew(std::uint64_t nonce,
                                       std::uint64_t counter) -> bool {
  if (windows_.size() >= kMaxSenders && windows_.count(nonce) == 0) {
    windows_.erase(windows_.begin());
  }
  auto& window = windows_[nonce];
  if (counter > window.highest) {
    const auto shift = counter - window.highest;
    window.seen_below = shift >= kWindowBits ? 0 : window.seen_below << shift;
    // The previous highest counter is now below the new one.
    if (window.highest != 0 && shift <= kWindowBits) {
      window.seen_below |= std::uint64_t{1} << (shift - 1);
    }
    window.highest = counter;
    return true;
  }
  const auto distance = window.highest - counter;
  if (distance == 0 || distance > kWindowBits) return false;
  const auto bit = std::uint64_t{1} << (distance - 1);
  if ((window.seen_below & bit) != 0) return false;
  window.seen_below |= bit;
  return true;
}

}  // namespace papayaplank
