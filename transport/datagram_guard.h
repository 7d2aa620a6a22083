// Authentication of datagrams between routers, and rejection of replays.
#ifndef TRANSPORT_DATAGRAM_GUARD_H_
#define TRANSPORT_DATAGRAM_GUARD_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/base.h"

namespace papayaplank {

// Signs and verifies datagrams. Layout: sender nonce (8 bytes, big endian),
// counter (8 bytes, big endian), body, and the first 16 bytes of the
// authentication code (`AuthenticationCode` of base/hash.h).
class DatagramGuard {
 public:
  // `nonce` is random and new at each start of the process.
  DatagramGuard(std::string secret, std::uint64_t nonce);

  // Adds nonce, counter and authentication code to a body.
  auto Seal(std::string_view body) -> std::string;

  // Returns the body, or nothing if the datagram is too short, its code is
  // wrong, or its counter was received before or is below the sender's window.
  auto Open(std::string_view datagram) -> std::optional<std::string>;

 private:
  // Counters received from one sender: the highest, and a bit for each of the
  // 64 below it. The lowest bit stands for `highest` - 1.
  struct Window {
    std::uint64_t highest = 0;
    std::uint64_t seen_below = 0;
  };

  // Returns false for a counter that was received before or is below the
  // window.
  auto RecordCounterIfNew(std::uint64_t nonce, std::uint64_t counter) -> bool;

  std::string secret_;
  std::uint64_t nonce_;
  std::uint64_t next_counter_ = 1;
  // By the sender's nonce.
  std::map<std::uint64_t, Window> windows_;
};

}  // namespace papayaplank

#endif  // TRANSPORT_DATAGRAM_GUARD_H_
