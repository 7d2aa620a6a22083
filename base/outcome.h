// Results of operations that can fail: a value or a typed error; no exceptions.
#ifndef BASE_OUTCOME_H_
#define BASE_OUTCOME_H_

#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace papayaplank {

// Kind of an error.
enum class ErrorCode {
  kInvalidArgument,  // The caller passed a bad value.
  kNotFound,         // The named thing does not exist.
  kConflict,         // Another writer changed the state first.
  kUnavailable,      // The other side did not answer or refused.
  kUnknownEffect,    // No complete answer; the operation may have run.
  kUnauthorized,     // The credentials are missing or wrong.
};

// Name of an error code, for answers and logs.
auto ErrorCodeName(ErrorCode code) -> std::string_view;

// An error: its kind, and a message that says what is wrong and what to do.
struct Error {
  ErrorCode code = ErrorCode::kInvalidArgument;
  std::string message;
};

// Empty value for an operation that succeeds without a result.
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
