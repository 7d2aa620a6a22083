// Counting, and the choice of what is given up.
#include "admission/memory_budget.h"

#include <algorithm>

namespace papayaplank {
namespace {

// A request that has received nothing for this long has stopped. Packets that
// were lost are sent again within it.
constexpr Duration kStopped = milliseconds(700);
// The limit no longer binds if nothing was given up for this long.
constexpr Duration kBindingTime = seconds(2);
// What an ordinary request holds at most.
constexpr std::size_t kSmallRequest = 65536;
// Bytes of the key that a caller names; longer ones share an owner.
constexpr std::size_t kMaxOwnerBytes = 64;

}  // namespace

auto HeldKindName(HeldKind kind) -> std::string_view {
  switch (kind) {
    case HeldKind::kUnfinishedRequest:
      return "unfinished_request";
    case HeldKind::kBody:
      return "body";
    case HeldKind::kPipelined:
      return "pipelined";
    case HeldKind::kUnsentAnswer:
      return "unsent_answer";
  }
  return "";
}

auto MemoryBudget::Add(HeldKind kind, std::size_t bytes) -> void {
  held_by_kind_[static_cast<std::size_t>(kind)] += bytes;
  held_ += bytes;
}

auto MemoryBudget::Subtract(HeldKind kind, std::size_t bytes) -> void {
  held_by_kind_[static_cast<std::size_t>(kind)] -= bytes;
  held_ -= bytes;
}

auto MemoryBudget::Update(HolderId holder, std::string_view owner,
                          std::size_t bytes, Time now) -> void {
  const auto [entry, is_new] = holders_.try_emplace(holder);
  auto& known = entry->second;
  if (is_new) known.owner = owner.substr(0, kMaxOwnerBytes);
  // The key stands in the head, which may come in pieces.
  if (known.owner.empty() && !owner.empty()) {
    Remove(holder);
    return Update(holder, owner, bytes, now);
  }
  auto& of_owner = held_by_owner_[known.owner];
  of_owner += bytes - known.bytes;
  Add(HeldKind::kUnfinishedRequest, bytes - known.bytes);
  known.bytes = bytes;
  known.received_at = now;
}

auto MemoryBudget::Remove(HolderId holder) -> void {
  const auto found = holders_.find(holder);
  if (found == holders_.end()) return;
  const auto& [owner, bytes, received_at] = found->second;
  Subtract(HeldKind::kUnfinishedRequest, bytes);
  const auto of_owner = held_by_owner_.find(owner);
  of_owner->second -= bytes;
  if (of_owner->second == 0) held_by_owner_.erase(of_owner);
  holders_.erase(found);
}

auto MemoryBudget::ChooseVictim(Time now) -> std::optional<HolderId> {
  if (held_ <= limit_ || holders_.empty()) return std::nullopt;
  // Small requests of ordinary callers don't make room for what is complete.
  const auto complete = held_ - held(HeldKind::kUnfinishedRequest);
  const auto spares_small = complete > limit_ && held_ <= limit_ + reserve();
  const auto rank = [this, now](const auto& entry) {
    const auto& holder = entry.second;
    return std::make_tuple(now - holder.received_at > kStopped,
                           held_by_owner_.at(holder.owner), holder.bytes);
  };
  const auto victim = std::max_element(
      holders_.begin(), holders_.end(),
      [&rank](const auto& a, const auto& b) { return rank(a) < rank(b); });
  if (spares_small && victim->second.bytes <= kSmallRequest) {
    return std::nullopt;
  }
  ++given_up_;
  bound_at_ = now;
  if (!is_binding_) {
    is_binding_ = true;
    changes_.push_back({true, held_, limit_});
  }
  return victim->first;
}

auto MemoryBudget::FitsRequest(std::size_t bytes) const -> bool {
  const auto limit = bytes <= kSmallRequest ? limit_ + reserve() : limit_;
  return held_ <= limit;
}

auto MemoryBudget::Tick(Time now) -> void {
  if (!is_binding_ || now - bound_at_ < kBindingTime) return;
  is_binding_ = false;
  changes_.push_back({false, held_, limit_});
}

}  // namespace papayaplank
