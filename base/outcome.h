// Outcomes as values: a result or a typed error, never an exception.
#ifndef BASE_OUTCOME_H_
#define BASE_OUTCOME_H_

#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace papayaplank {

// What kind of fault an operation met.
enum class ErrorCode {
  kInvalidArgument,  // The caller passed a bad value.
  kNotFound,         // The named thing does not exist.
  kConflict,         // Somebody else changed the state first.
  kUnavailable,      // The other side did not answer or refused.
  kUnknownEffect,    // The answer was lost; the effect may have happened.
  kUnauthorized,     // The credentials are missing or wrong.
};

// Name of an error code, as it stands in answers and logs.
auto ErrorCodeName(ErrorCode code) -> std::string_view;

// A fault: its kind and a message that says what was wrong and what to do.
struct Error {
  ErrorCode code = ErrorCode::kInvalidArgument;
  std::string message;
};

// The empty result of an operation that only succeeds or fails.
struct Done {};

// A value of type T, or the error that prevented it.
template <typename T>
using Outcome = std::variant<T, Error>;

// Whether the outcome holds a value.
template <typename T>
auto IsOk(const Outcome<T>& outcome) -> bool {
  return std::holds_alternative<T>(outcome);
}

// The value of a successful outcome; the caller has checked `IsOk`.
template <typename T>
auto ValueOf(Outcome<T>& outcome) -> T& {
  return std::get<T>(outcome);
}
template <typename T>
auto ValueOf(const Outcome<T>& outcome) -> const T& {
  return std::get<T>(outcome);
}

// The error of a failed outcome; the caller has checked `IsOk`.
template <typename T>
auto ErrorOf(const Outcome<T>& outcome) -> const Error& {
  return std::get<Error>(outcome);
}

}  // namespace papayaplank

#endif  // BASE_OUTCOME_H_
