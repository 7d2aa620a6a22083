// Numbers in messages between routers: conversions that reject what is out of
// range, where the library would convert it, whatever comes of it.
#ifndef GATEWAY_MESSAGE_NUMBERS_H_
#define GATEWAY_MESSAGE_NUMBERS_H_

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <type_traits>
#include <utility>

#include "base/base.h"

namespace papayaplank {

// Of loads, rates and cores; larger ones would lose whole numbers.
inline constexpr double kLargestNumber = 1e15;

// Throws like the library if `json` is not a number of that type and range. The
// library itself converts other numbers, whatever comes of it.
template <typename Number>
auto ReadNumber(const nlohmann::json& json) -> Number {
  if constexpr (std::is_integral_v<Number>) {
    if (json.is_number_unsigned()) {
      const auto value = json.get<std::uint64_t>();
      if (std::in_range<Number>(value)) return static_cast<Number>(value);
    } else if (json.is_number_integer()) {
      const auto value = json.get<std::int64_t>();
      if (std::in_range<Number>(value)) return static_cast<Number>(value);
    }
  } else if (json.is_number()) {
    const auto value = json.get<double>();
    if (value >= 0 && value <= kLargestNumber) return value;
  }
  throw nlohmann::json::other_error::create(0, "not a number of this range",
                                            &json);
}

// A peer drops a whole message for one number out of range.
inline auto Rounded(double value) -> std::int64_t {
  return value > 0 ? std::lround(std::min(value, kLargestNumber)) : 0;
}

// Durations are encoded in milliseconds.
inline auto WriteDuration(Duration duration) -> std::int64_t {
  return std::clamp<std::int64_t>(
      std::chrono::duration_cast<milliseconds>(duration).count(), 0,
      std::numeric_limits<std::uint32_t>::max());
}

inline auto ReadDuration(const nlohmann::json& json) -> Duration {
  return milliseconds(ReadNumber<std::uint32_t>(json));
}

}  // namespace papayaplank

#endif  // GATEWAY_MESSAGE_NUMBERS_H_
