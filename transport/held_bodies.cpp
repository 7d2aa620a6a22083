// Counting of request bodies under a lock.
#include "transport/held_bodies.h"

#include <utility>

namespace papayaplank {
namespace {

// Bodies up to this size cost no more than their connection and are limited
// with it, so that small requests are served while large bodies fill the limit.
constexpr std::size_t kUncountedBytes = 4096;

}  // namespace

auto HeldBodies::Update(HolderId holder, std::string_view owner,
                        std::size_t bytes) -> std::vector<HolderId> {
  if (bytes <= kUncountedBytes) return {};
  const auto now = MonotonicClock::now();
  std::vector<HolderId> victims;
  std::vector<BudgetChange> changes;
  {
    const std::lock_guard lock(mutex_);
    budget_.Update(holder, owner, bytes, now);
    while (const auto victim = budget_.ChooseVictim(now)) {
      budget_.Remove(*victim);
      victims.push_back(*victim);
    }
    changes = budget_.TakeChanges();
  }
  Report(changes);
  return victims;
}

auto HeldBodies::Remove(HolderId holder) -> void {
  const std::lock_guard lock(mutex_);
  budget_.Remove(holder);
}

auto HeldBodies::Complete(HolderId holder, std::string body)
    -> std::shared_ptr<const std::string> {
  const auto bytes = body.capacity();
  if (bytes <= kUncountedBytes) {
    return std::make_shared<const std::string>(std::move(body));
  }
  {
    const std::lock_guard lock(mutex_);
    budget_.Remove(holder);
    budget_.Add(HeldKind::kBody, bytes);
  }
  return {new std::string(std::move(body)),
          [self = shared_from_this(), bytes](const std::string* released) {
            delete released;
            self->Release(bytes);
          }};
}

auto HeldBodies::Tick() -> void {
  std::vector<BudgetChange> changes;
  {
    const std::lock_guard lock(mutex_);
    budget_.Tick(MonotonicClock::now());
    changes = budget_.TakeChanges();
  }
  Report(changes);
}

auto HeldBodies::held(HeldKind kind) const -> std::size_t {
  const std::lock_guard lock(mutex_);
  return budget_.held(kind);
}

auto HeldBodies::given_up() const -> std::uint64_t {
  const std::lock_guard lock(mutex_);
  return budget_.given_up();
}

auto HeldBodies::Release(std::size_t bytes) -> void {
  const std::lock_guard lock(mutex_);
  budget_.Subtract(HeldKind::kBody, bytes);
}

auto HeldBodies::Report(const std::vector<BudgetChange>& changes) const
    -> void {
  if (!on_change_) return;
  for (const auto& change : changes) on_change_(change);
}

}  // namespace papayaplank
