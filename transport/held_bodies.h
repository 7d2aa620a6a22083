// Limits the sum of the request bodies that callers make the router hold. Load
// pattern: crowds whose large bodies stop just short of their end, beside
// ordinary callers.
#ifndef TRANSPORT_HELD_BODIES_H_
#define TRANSPORT_HELD_BODIES_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "admission/admission.h"

namespace papayaplank {

// Counts unfinished bodies, which may be given up, and complete ones, which may
// have been passed on and are kept until their last user releases them.
// Thread-safe.
class HeldBodies : public std::enable_shared_from_this<HeldBodies> {
 public:
  // Called without the lock when the limit begins or ceases to bind.
  using ChangeHook = std::function<void(const BudgetChange&)>;

  HeldBodies(std::size_t limit, ChangeHook on_change)
      : on_change_(std::move(on_change)), budget_(limit) {}

  // The unfinished body of `holder` has grown to so many allocated bytes.
  // Returns the holders whose bodies must be dropped to keep the limit.
  [[nodiscard]] auto Update(HolderId holder, std::string_view owner,
                            std::size_t bytes) -> std::vector<HolderId>;
  // The unfinished body of `holder` has been dropped.
  auto Remove(HolderId holder) -> void;
  // The body is complete: it is counted until its last reference is gone.
  auto Complete(HolderId holder, std::string body)
      -> std::shared_ptr<const std::string>;

  // Called periodically; notices that the limit has ceased to bind.
  auto Tick() -> void;

  auto held(HeldKind kind) const -> std::size_t;
  // Unfinished bodies that were given up since the start of the process.
  auto given_up() const -> std::uint64_t;

 private:
  auto Release(std::size_t bytes) -> void;
  auto Report(const std::vector<BudgetChange>& changes) const -> void;

  const ChangeHook on_change_;
  mutable std::mutex mutex_;
  // Guarded by `mutex_`.
  MemoryBudget budget_;
};

}  // namespace papayaplank

#endif  // TRANSPORT_HELD_BODIES_H_
