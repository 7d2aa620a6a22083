// The answer to one caller on its way from a target: a bounded buffer between
// the task that reads the target and the task that writes to the caller.
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

// A recorded answer, for the outcome of a request with an idempotency key.
struct RecordedAnswer {
  int status = 0;
  std::string content_type;
  std::string body;
  // The body was longer than what is recorded.
  bool is_truncated = false;
};

// What the caller's side finds.
enum class ReadState { kData, kEmpty, kEnd, kAborted };

struct ReadResult {
  ReadState state = ReadState::kEmpty;
  std::size_t bytes = 0;
};

// One answer. Both sides may call it at once.
class AnswerBuffer {
 public:
  // Called under the answer's lock: it must not call back.
  using Hook = std::function<void()>;

  AnswerBuffer(RequestId id, bool is_recorded);

  // Target side.
  auto SetHead(AnswerHead head) -> void;
  auto Append(std::string_view bytes) -> void;
  // The whole answer has been appended.
  auto End() -> void;
  // The rest of the answer will never come.
  auto Abort() -> void;
  // Answers with a whole body at once; ignored if a head was set before.
  // Returns whether the answer was taken.
  auto SetCompleteAnswer(AnswerHead head, std::string_view body) -> bool;
  // Whether the buffer is full. Then `on_writable` is called once it drains.
  auto SuspendWriterIfFull() -> bool;
  auto HasHead() const -> bool;
  auto recorded() const -> RecordedAnswer;

  // Caller side.
  auto Head() const -> std::optional<AnswerHead>;
  // Takes bytes. If there are none, calls `suspend` under the lock, and
  // `on_readable` when there is something again.
  auto Read(char* buffer, std::size_t size, const Hook& suspend) -> ReadResult;
  // Calls `suspend` under the lock unless the head is set or the answer is
  // broken; returns whether it did.
  auto SuspendUntilHead(const Hook& suspend) -> bool;
  auto SetOnReadable(Hook hook) -> void;
  auto SetOnWritable(Hook hook) -> void;

  // Whether `End` or `Break` was called.
  auto IsFinished() const -> bool;
  auto id() const -> const RequestId& { return id_; }

 private:
  enum class State { kOpen, kEnded, kAborted };

  auto WakeReader() -> void;
  auto AppendLocked(std::string_view bytes) -> void;

  const RequestId id_;
  const bool is_recorded_;
  mutable std::mutex mutex_;
  // All below are guarded by `mutex_`.
  State state_ = State::kOpen;
  std::optional<AnswerHead> head_;
  // Bytes from `read_offset_` on are not read yet; at most
  // `kBufferBytes` and one chunk.
  std::string buffer_;
  std::size_t read_offset_ = 0;
  bool is_reader_suspended_ = false;
  bool is_writer_waiting_ = false;
  Hook on_readable_;
  Hook on_writable_;
  RecordedAnswer recorded_;
};

}  // namespace papayaplank

#endif  // TRANSPORT_ANSWER_BUFFER_H_
