// Message queue of a task (a thread); tasks communicate only through these.
#ifndef BASE_MAILBOX_H_
#define BASE_MAILBOX_H_

#include <condition_variable>
#include <deque>
#include <mutex>
#include <utility>

#include "base/units.h"

namespace papayaplank {

// An unbounded, thread-safe queue with many senders and one receiver. The
// senders limit the number of messages; see the queue limits of the fairness
// library.
template <typename Message>
class Mailbox {
 public:
  // Adds a message and wakes the receiver.
  auto Post(Message message) -> void {
    {
      const std::lock_guard lock(mutex_);
      messages_.push_back(std::move(message));
    }
    ready_.notify_one();
  }

  // Removes and returns all messages; waits up to `max_wait` if there is none.
  auto ReceiveAll(Duration max_wait) -> std::deque<Message> {
    std::unique_lock lock(mutex_);
    ready_.wait_for(lock, max_wait, [this] { return !messages_.empty(); });
    return std::exchange(messages_, {});
  }

 private:
  std::mutex mutex_;
  std::condition_variable ready_;
  // Guarded by `mutex_`; oldest first.
  std::deque<Message> messages_;
};

}  // namespace papayaplank

#endif  // BASE_MAILBOX_H_
