// Schedules of listings.
#include "relay/listing_reader.h"

#include <algorithm>

namespace papayaplank {
namespace {

constexpr Duration kCallTimeout = milliseconds(1000);
// Pause after a call that failed; it doubles. A router without targets serves
// nobody and asks more often.
constexpr Duration kFirstRetry = milliseconds(200);
constexpr Duration kLongestRetry = milliseconds(1600);
constexpr Duration kLongestRetryWithoutTargets = milliseconds(400);
constexpr std::size_t kMaxMalformedRemembered = 256;
constexpr int kOk = 200;

auto IsDone(const Outcome<HttpReply>& reply) -> bool {
  return IsOk(reply) && ValueOf(reply).status == kOk;
}

}  // namespace

ListingReader::ListingReader(asio::io_context& io,
                             const std::string& store_address, OwnRow own_row,
                             GatewayCore& core, StoreContact& contact,
                             TargetPool& pool, EventLog& log)
    : core_(core),
      contact_(contact),
      pool_(pool),
      log_(log),
      own_row_(std::move(own_row)),
      store_(io, store_address),
      timer_(io),
      random_(StableHash(own_row_.key)) {}

auto ListingReader::Schedule(Duration delay) -> void {
  timer_.expires_after(delay);
  timer_.async_wait([this](error_code error) {
    if (!error) MakeNextCall();
  });
}

auto ListingReader::ScheduleRetry() -> void {
  const auto longest = core_.directory().size() == 0
                           ? kLongestRetryWithoutTargets
                           : kLongestRetry;
  retry_ = std::clamp(retry_ * 2, kFirstRetry, longest);
  // Jitter keeps the routers apart when the store returns.
  const auto jitter = 0.5 + random_.Uniform();
  Schedule(Scale(retry_, jitter));
}

auto ListingReader::MakeNextCall() -> void {
  if (store_.is_busy()) return;
  const auto now = MonotonicClock::now();
  if (is_leaving_ && is_own_row_written_) return RemoveOwnRow();
  if (!is_own_row_written_ && !is_leaving_) return WriteOwnRow();
  if (routers_read_at_ == Time{} ||
      now - routers_read_at_ > core_.RouterListPeriod(now)) {
    return ReadRouters();
  }
  ReadTargets("");
}

auto ListingReader::ReadTargets(const std::string& after) -> void {
  if (after.empty()) {
    pages_.clear();
    listing_started_at_ = MonotonicClock::now();
  }
  store_.Call(ListRows(kTargetTable, after), kCallTimeout,
              [this](const Outcome<HttpReply>& reply) { OnTargets(reply); });
}

auto ListingReader::OnTargets(const Outcome<HttpReply>& reply) -> void {
  const auto rows = contact_.TakeRows("targets", reply);
  if (!rows) return ScheduleRetry();
  retry_ = {};
  for (const auto& row : rows->rows) TakeTargetRow(row);
  if (rows->is_truncated && !rows->rows.empty()) {
    return ReadTargets(rows->rows.back().key);
  }
  const auto now = MonotonicClock::now();
  TakeChange(core_.SetTargets(std::move(pages_), rows->version, now));
  pages_.clear();
  const auto elapsed = now - listing_started_at_;
  Schedule(std::max(Duration{}, core_.NextTargetListDelay(now) - elapsed));
}

auto ListingReader::TakeTargetRow(const StoreRow& row) -> void {
  if (row.is_removed) return;
  auto target = DecodeTargetRow(row.key, row.value);
  if (target) {
    pages_.push_back(std::move(*target));
    return;
  }
  if (malformed_rows_.size() >= kMaxMalformedRemembered) return;
  if (!malformed_rows_.insert(row.key).second) return;
  log_.Write(LogClass::kState, "target_row_malformed", {{"target", row.key}});
}

auto ListingReader::TakeChange(const DirectoryChange& change) -> void {
  for (const auto& target : change.left) {
    pool_.Drop(target);
    log_.Write(LogClass::kState, "target_left", {{"target", target.value()}});
  }
  for (const auto& target : change.restarted) {
    pool_.Drop(target);
    log_.Write(LogClass::kState, "target_restarted",
               {{"target", target.value()}});
  }
  for (const auto& target : change.joined) {
    log_.Write(LogClass::kState, "target_joined", {{"target", target.value()}});
  }
}

auto ListingReader::ReadRouters() -> void {
  store_.Call(ListRows(kRouterTable, ""), kCallTimeout,
              [this](const Outcome<HttpReply>& reply) { OnRouters(reply); });
}

auto ListingReader::OnRouters(const Outcome<HttpReply>& reply) -> void {
  const auto rows = contact_.TakeRows("routers", reply);
  if (!rows) return ScheduleRetry();
  routers_read_at_ = MonotonicClock::now();
  std::vector<PeerSeed> seeds;
  for (const auto& row : rows->rows) {
    if (row.is_removed || row.key == own_row_.key) continue;
    const auto router = DecodeRouterRow(row.value);
    if (IsOk(router)) {
      seeds.push_back(PeerSeed{ValueOf(router).peer_address});
      continue;
    }
    log_.Write(LogClass::kState, "router_row_malformed",
               {{"key", row.key}, {"cause", ErrorOf(router).message}});
  }
  core_.AddPeers(seeds, routers_read_at_);
  Schedule(Duration{});
}

auto ListingReader::WriteOwnRow() -> void {
  const StoreWrite write{kRouterTable, own_row_.key,
                         EncodeRouterRow(own_row_.row)};
  store_.Call(WriteRow(write), kCallTimeout,
              [this](const Outcome<HttpReply>& reply) {
                if (!IsDone(reply)) {
                  contact_.RecordFailure("own_row", "not written");
                  return ScheduleRetry();
                }
                is_own_row_written_ = true;
                Schedule(Duration{});
              });
}

auto ListingReader::RemoveOwnRow() -> void {
  store_.Call(RemoveRow(kRouterTable, own_row_.key), kCallTimeout,
              [this](const Outcome<HttpReply>& reply) {
                if (!IsDone(reply)) {
                  contact_.RecordFailure("own_row", "not removed");
                  return ScheduleRetry();
                }
                is_own_row_written_ = false;
                Schedule(Duration{});
              });
}

auto ListingReader::Leave() -> void {
  is_leaving_ = true;
  // A call that is under way is followed by the next one soon enough.
  if (!store_.is_busy()) Schedule(Duration{});
}

}  // namespace papayaplank
