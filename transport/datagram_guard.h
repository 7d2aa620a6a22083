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

// Seals and opens datagrams. Layout: sender nonce (8 bytes), counter (8
// bytes, big endian), body, authentication code (first 16 bytes).
class DatagramGuard {
 public:
  // `nonce` is random and new at each start of the process.
  DatagramGuard(std::string secret, std::uint64_t nonce);

  // Adds nonce, counter and authentication code.
  auto Seal(std::string_view body) -> std::string;

  // The body, or nothing if the code is wrong or the counter was seen.
  auto Open(std::string_view datagram) -> std::optional<std::string>;

 private:
  // Counters seen of one sender: the highest and the 64 below it.
  struct Window {
    std::uint64_t highest = 0;
    std::uint64_t seen_below = 0;
  };

  auto RecordCounterIfNew(std::uint64_t nonce, std::uint64_t counter) -> bool;

  std::string secret_;
  std::uint64_t nonce_;
  std::uint64_t next_counter_ = 1;
  std::map<std::uint64_t, Window> windows_;
};

}  // namespace papayaplank

#endif  // TRANSPORT_DATAGRAM_GUARD_H_
