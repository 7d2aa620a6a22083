// Seeded pseudo-random numbers for decisions such as jitter and probe order.
#ifndef BASE_RANDOM_H_
#define BASE_RANDOM_H_

#include <cstddef>
#include <cstdint>
#include <random>

namespace papayaplank {

// A seeded source of random numbers; the same seed gives the same sequence.
class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}

  // A number in [0, 1).
  auto Uniform() -> double;

  // An index in [0, size); `size` is at least 1.
  auto Index(std::size_t size) -> std::size_t;

 private:
  std::mt19937_64 engine_;
};

}  // namespace papayaplank

#endif  // BASE_RANDOM_H_
