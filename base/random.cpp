// Seeded random numbers from the standard library.
#include "base/random.h"

namespace papayaplank {

auto Random::Uniform() -> double {
  return std::uniform_real_distribution<double>(0, 1)(engine_);
}

auto Random::Index(std::size_t size) -> std::size_t {
  return std::uniform_int_distribution<std::size_t>(0, size - 1)(engine_);
}

}  // namespace papayaplank
