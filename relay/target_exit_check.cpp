// Schedule and handling of the reads.
#include "relay/target_exit_check.h"

#include <algorithm>
#include <utility>

namespace papayaplank {
namespace {

constexpr Duration kCallTimeout = milliseconds(500);
// Between two reads of a row.
constexpr Duration kReadPeriod = milliseconds(200);

}  // namespace

TargetExitCheck::TargetExitCheck(asio::io_context& io,
                                 const std::string& store_address,
                                 GatewayCore& core, StoreHealth& store_health)
    : core_(core),
      store_health_(store_health),
      store_client_(io, store_address),
      timer_(io) {}

auto TargetExitCheck::Start(const TargetRow& target, Time ended_at,
                            ResultHook on_result) -> void {
  auto& inquiry = inquiries_[target.id];
  if (inquiry.hooks.empty()) {
    inquiry.target = target;
    inquiry.ended_at = ended_at;
  }
  inquiry.hooks.push_back(std::move(on_result));
  if (!store_client_.is_busy()) ReadNext();
}

auto TargetExitCheck::Schedule(Duration delay) -> void {
  timer_.expires_after(delay);
  timer_.async_wait([this](error_code error) {
    if (!error && !store_client_.is_busy()) ReadNext();
  });
}

auto TargetExitCheck::ReadNext() -> void {
  const auto next = std::min_element(inquiries_.begin(), inquiries_.end(),
                                     [](const auto& one, const auto& other) {
                                       return one.second.next_read_at <
                                              other.second.next_read_at;
                                     });
  if (next == inquiries_.end()) return;
  auto& inquiry = next->second;
  const auto now = MonotonicClock::now();
  if (inquiry.next_read_at > now) return Schedule(inquiry.next_read_at - now);
  inquiry.next_read_at = now + kReadPeriod;
  store_client_.Call(
      ReadRow(kTargetTable, next->first.value()), kCallTimeout,
      [this, target = next->first](const Outcome<HttpReply>& reply) {
        HandleRow(target, reply);
      });
}

auto TargetExitCheck::DecodeRow(const TargetRow& target,
                                const Outcome<HttpReply>& reply) -> ExitRow {
  const auto rows = store_health_.DecodeRows("target", reply);
  if (!rows) return ExitRow::kUnknown;
  const auto row = std::find_if(
      rows->rows.begin(), rows->rows.end(), [&target](const StoreRow& each) {
        return each.key == target.id.value() && !each.is_removed;
      });
  if (row == rows->rows.end()) return ExitRow::kAbsent;
  const auto decoded = DecodeTargetRow(row->key, row->value);
  const auto is_other = IsOk(decoded) && ValueOf(decoded).started_unix_ms !=
                                             target.started_unix_ms;
  return is_other ? ExitRow::kOtherProcess : ExitRow::kPresent;
}

auto TargetExitCheck::HandleRow(const TargetId& target,
                                const Outcome<HttpReply>& reply) -> void {
  const auto found = inquiries_.find(target);
  const auto& inquiry = found->second;
  const auto row = DecodeRow(inquiry.target, reply);
  const auto verdict = core_.JudgeExit(inquiry.target, inquiry.ended_at, row,
                                       MonotonicClock::now());
  if (verdict == ExitVerdict::kUndecided) return ReadNext();
  const auto hooks = std::move(found->second.hooks);
  inquiries_.erase(found);
  for (const auto& hook : hooks) hook(verdict == ExitVerdict::kPlanned);
  if (!store_client_.is_busy()) ReadNext();
}

}  // namespace papayaplank
