// Bounded buffer of the answer to one caller, between the task that reads from
// the target and the task that writes to the caller.
#ifndef TRANSPORT_ANSWER_BUFFER_H_
#define TRANSPORT_ANSWER_BUFFER_H_

#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/base.h"

namespace papayaplank {

// One header of a request or an answer.
struct HttpHeader {
  std::string name;
  std::string value;
};

// Status and headers of an answer.
struct AnswerHead {
  int status = 0;
  std::vector<HttpHeader> headers;
  // Length of the body if it is known in advance.
  std::optional<std::uint64_t> length;
};

// Copy of an answer, stored as the outcome of a request with an idempotency
// key.
struct RecordedAnswer {
  int status = 0;
  std::string content_type;
  std::string body;
  // The body was longer than the recorded part.
  bool is_truncated = false;
};

// Result of reading on the caller's side.
enum class ReadState {
  kData,     // At least one byte was read.
  kEmpty,    // No byte is available yet.
  kEnd,      // The answer is complete and was read to its end.
  kAborted,  // The answer will not be completed.
};

// State and number of bytes read.
struct ReadResult {
  ReadState state = ReadState::kEmpty;
  std::size_t bytes = 0;
};

// The answer to one request. Thread-safe: both sides may call it concurrently.
class AnswerBuffer {
 public:
  // Called with the buffer's lock held: it must not call the buffer.
  using Hook = std::function<void()>;

  // If `is_recorded`, the buffer keeps a copy of the answer for `recorded`.
  AnswerBuffer(RequestId id, bool is_recorded);

  // Target side. Once the answer has ended, `SetHead`, `Append`, `End` and
  // `Abort` do nothing, except that the copy of an aborted answer goes on.
  // Sets status and headers; only the first call has an effect.
  auto SetHead(AnswerHead head) -> void;
  // Adds bytes of the body, also if the buffer is full.
  auto Append(std::string_view bytes) -> void;
  // Marks the answer as complete.
  auto End() -> void;
  // Ends an answer that will not be completed.
  auto Abort() -> void;
  // Sets head and complete body in one step. Does nothing and returns false if
  // a head was set before or the answer has ended.
  auto SetCompleteAnswer(AnswerHead head, std::string_view body) -> bool;
  // Returns whether the buffer is full. If so, the writer must wait:
  // `on_writable` is called when the buffer is at most half full.
  auto SuspendWriterIfFull() -> bool;
  auto HasHead() const -> bool;
  // The copy of the answer so far, without that of `SetCompleteAnswer`; empty
  // unless the buffer was created with `is_recorded`.
  auto recorded() const -> RecordedAnswer;

  // Caller side.
  auto Head() const -> std::optional<AnswerHead>;
  // Removes up to `size` bytes. If there are none, calls `suspend` under the
  // lock, and later `on_readable` when there is data or the answer ends.
  auto Read(char* buffer, std::size_t size, const Hook& suspend) -> ReadResult;
  // Calls `suspend` under the lock unless the head is set or the answer was
  // aborted; returns whether it did.
  auto SuspendUntilHead(const Hook& suspend) -> bool;
  auto SetOnReadable(Hook hook) -> void;
  auto SetOnWritable(Hook hook) -> void;

  // Whether the answer has ended, by `End`, `Abort` or `SetCompleteAnswer`.
  auto IsFinished() const -> bool;
  auto id() const -> const RequestId& { return id_; }

 private:
  enum class State { kOpen, kEnded, kAborted };

  auto WakeReader() -> void;
  // Adds bytes to the copy; `mutex_` must be held.
  auto Record(std::string_view bytes) -> void;

  const RequestId id_;
  const bool is_recorded_;
  mutable std::mutex mutex_;
  // All members below are guarded by `mutex_`.
  State state_ = State::kOpen;
  std::optional<AnswerHead> head_;
  // The bytes from `read_offset_` on are unread. They are at most
  // `kBufferBytes` plus one chunk, because a chunk is appended as a whole.
  std::string buffer_;
  std::size_t read_offset_ = 0;
  bool is_reader_suspended_ = false;
  bool is_writer_suspended_ = false;
  Hook on_readable_;
  Hook on_writable_;
  RecordedAnswer recorded_;
};

}  // namespace papayaplank

#endif  // TRANSPORT_ANSWER_BUFFER_H_
