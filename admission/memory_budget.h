// Limits what a router holds for others in memory, and decides which unfinished
// request is given up when the limit is reached. Load pattern: crowds that send
// large bodies and stop just short of their end, beside ordinary callers.
//
// Requests that are complete are never given up: they may have been passed on.
#ifndef ADMISSION_MEMORY_BUDGET_H_
#define ADMISSION_MEMORY_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/base.h"

namespace papayaplank {

// What is held.
enum class HeldKind {
  kUnfinishedRequest,  // Received bytes of requests that are not complete.
  kBody,               // Bodies of complete requests.
  kPipelined,          // Received bytes that follow a request in progress.
  kUnsentAnswer,       // Answers that callers have not read yet.
};
inline constexpr std::size_t kHeldKinds = 4;
auto HeldKindName(HeldKind kind) -> std::string_view;

// Names the holder of an unfinished request, unique among the open ones.
using HolderId = StrongId<struct HolderIdTag, std::uint64_t>;

// The limit began or ceased to bind, to be logged.
struct BudgetChange {
  bool is_binding = false;
  std::size_t held = 0;
  std::size_t limit = 0;
};

// Counts bytes by kind, and unfinished requests one by one.
class MemoryBudget {
 public:
  explicit MemoryBudget(std::size_t limit) : limit_(limit) {}

  // Bytes that are held beside unfinished requests.
  auto Add(HeldKind kind, std::size_t bytes) -> void;
  auto Subtract(HeldKind kind, std::size_t bytes) -> void;

  // An unfinished request has received bytes and now holds so many. `owner` is
  // what the caller names as its key, whether or not it is valid.
  auto Update(HolderId holder, std::string_view owner, std::size_t bytes,
              Time now) -> void;
  // The request is complete, refused or gone.
  auto Remove(HolderId holder) -> void;

  // The unfinished request to give up next; nothing while the limit is kept or
  // if there is none. Those that have stopped come first. Among them the owner
  // that holds most loses its largest one, so that ordinary callers come last.
  auto ChooseVictim(Time now) -> std::optional<HolderId>;
  // Whether a complete request that holds so many bytes, which are counted
  // already, may stay. Small ones may use the reserve as well.
  auto FitsRequest(std::size_t bytes) const -> bool;
  // Whether so many more bytes fit.
  auto Fits(std::size_t bytes) const -> bool {
    return held() + bytes <= limit_;
  }

  auto limit() const -> std::size_t { return limit_; }
  // Beyond the limit, for small requests only.
  auto reserve() const -> std::size_t { return limit_ / 4; }
  auto held() const -> std::size_t { return held_; }
  auto held(HeldKind kind) const -> std::size_t {
    return held_by_kind_[static_cast<std::size_t>(kind)];
  }
  // Requests that were given up since the start of the process.
  auto given_up() const -> std::uint64_t { return given_up_; }
  // Changes since the last call.
  auto TakeChanges() -> std::vector<BudgetChange> {
    return std::exchange(changes_, {});
  }
  // Notes that the limit has ceased to bind; called periodically.
  auto Tick(Time now) -> void;

 private:
  struct Holder {
    std::string owner;
    std::size_t bytes = 0;
    Time received_at{};
  };

  std::size_t limit_ = 0;
  // Sum of `held_by_kind_`.
  std::size_t held_ = 0;
  std::array<std::size_t, kHeldKinds> held_by_kind_{};
  std::unordered_map<HolderId, Holder> holders_;
  // By owner, the sum over `holders_`.
  std::unordered_map<std::string, std::size_t> held_by_owner_;
  std::uint64_t given_up_ = 0;
  Time bound_at_{};
  bool is_binding_ = false;
  std::vector<BudgetChange> changes_;
};

}  // namespace papayaplank

#endif  // ADMISSION_MEMORY_BUDGET_H_
