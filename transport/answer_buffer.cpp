// Bounded buffer of one answer.
#include "transport/answer_buffer.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace papayaplank {
namespace {

constexpr std::size_t kBufferBytes = 65536;
constexpr std::size_t kMaxRecordedBytes = 65536;

}  // namespace

AnswerBuffer::AnswerBuffer(RequestId id, bool is_recorded)
    : id_(std::move(id)), is_recorded_(is_recorded) {}

auto AnswerBuffer::WakeReader() -> void {
  if (!is_reader_suspended_) return;
  is_reader_suspended_ = false;
  if (on_readable_) on_readable_();
}

auto AnswerBuffer::SetHead(AnswerHead head) -> void {
  const std::lock_guard lock(mutex_);
  if (head_ || state_ == State::kEnded) return;
  if (is_recorded_) {
    recorded_.status = head.status;
    for (const auto& header : head.headers) {
      if (header.name == "Content-Type") recorded_.content_type = header.value;
    }
  }
  if (state_ != State::kOpen) return;
  head_ = std::move(head);
  WakeReader();
}

auto AnswerBuffer::Record(std::string_view bytes) -> void {
  if (!is_recorded_) return;
  const auto room = kMaxRecordedBytes - recorded_.body.size();
  recorded_.body.append(bytes.substr(0, room));
  recorded_.is_truncated |= bytes.size() > room;
}

auto AnswerBuffer::Append(std::string_view bytes) -> void {
  const std::lock_guard lock(mutex_);
  if (state_ == State::kEnded) return;
  Record(bytes);
  if (state_ != State::kOpen) return;
  buffer_.append(bytes);
  WakeReader();
}

auto AnswerBuffer::End() -> void {
  const std::lock_guard lock(mutex_);
  if (state_ == State::kOpen) state_ = State::kEnded;
  WakeReader();
}

auto AnswerBuffer::Abort() -> void {
  const std::lock_guard lock(mutex_);
  if (state_ == State::kOpen) state_ = State::kAborted;
  WakeReader();
  // The answer may still be recorded, and nobody reads any more.
  if (std::exchange(is_writer_suspended_, false) && on_writable_) {
    on_writable_();
  }
}

auto AnswerBuffer::SetCompleteAnswer(AnswerHead head, std::string_view body)
    -> bool {
  const std::lock_guard lock(mutex_);
  if (head_ || state_ != State::kOpen) return false;
  head.length = body.size();
  head_ = std::move(head);
  buffer_.append(body);
  state_ = State::kEnded;
  WakeReader();
  return true;
}

auto AnswerBuffer::SuspendWriterIfFull() -> bool {
  const std::lock_guard lock(mutex_);
  if (state_ != State::kOpen) return false;
  is_writer_suspended_ = buffer_.size() - read_offset_ >= kBufferBytes;
  return is_writer_suspended_;
}

auto AnswerBuffer::HasHead() const -> bool {
  const std::lock_guard lock(mutex_);
  return head_.has_value();
}

auto AnswerBuffer::recorded() const -> RecordedAnswer {
  const std::lock_guard lock(mutex_);
  return recorded_;
}

auto AnswerBuffer::Head() const -> std::optional<AnswerHead> {
  const std::lock_guard lock(mutex_);
  return head_;
}

auto AnswerBuffer::Read(char* buffer, std::size_t size, const Hook& suspend)
    -> ReadResult {
  const std::lock_guard lock(mutex_);
  const auto unread = buffer_.size() - read_offset_;
  // Unread bytes of an aborted answer are dropped, so that the caller notices
  // at once that the answer is incomplete.
  if (state_ == State::kAborted) return {ReadState::kAborted, 0};
  if (unread == 0) {
    if (state_ == State::kEnded) return {ReadState::kEnd, 0};
    is_reader_suspended_ = true;
    suspend();
    return {ReadState::kEmpty, 0};
  }
  const auto count = std::min(size, unread);
  std::memcpy(buffer, buffer_.data() + read_offset_, count);
  read_offset_ += count;
  if (read_offset_ == buffer_.size()) {
    buffer_.clear();
    read_offset_ = 0;
  }
  const auto left = buffer_.size() - read_offset_;
  if (is_writer_suspended_ && left <= kBufferBytes / 2) {
    is_writer_suspended_ = false;
    if (on_writable_) on_writable_();
  }
  return {ReadState::kData, count};
}

auto AnswerBuffer::SuspendUntilHead(const Hook& suspend) -> bool {
  const std::lock_guard lock(mutex_);
  if (head_ || state_ == State::kAborted) return false;
  is_reader_suspended_ = true;
  suspend();
  return true;
}

auto AnswerBuffer::SetOnReadable(Hook hook) -> void {
  const std::lock_guard lock(mutex_);
  on_readable_ = std::move(hook);
}

auto AnswerBuffer::SetOnWritable(Hook hook) -> void {
  const std::lock_guard lock(mutex_);
  on_writable_ = std::move(hook);
}

auto AnswerBuffer::IsFinished() const -> bool {
  const std::lock_guard lock(mutex_);
  return state_ != State::kOpen;
}

}  // namespace papayaplank
