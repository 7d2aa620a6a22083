// Schedules of reads.
#include "relay/store_reader.h"

#include <algorithm>

namespace papayaplank {
namespace {

constexpr int kOk = 200;
// Longest wait of a feed call. The answer confirms the keys as of the moment
// at which the call was sent, so it bounds how old that is.
constexpr Duration kFeedWait = milliseconds(700);
constexpr Duration kCallTimeout = milliseconds(1000);
constexpr Duration kFeedTimeout = kFeedWait + milliseconds(800);
// A router that is no watcher looks this often whether it has to act.
constexpr Duration kCheckPeriod = milliseconds(150);
// Age of the last confirmation at which peers are asked, and at which the
// store is read; together well below the bound on revoked keys.
constexpr Duration kQueryAge = milliseconds(1500);
constexpr Duration kReadAge = milliseconds(2800);
constexpr Duration kFirstBackoff = milliseconds(100);
constexpr Duration kMaxBackoff = milliseconds(600);
constexpr std::size_t kMaxMalformedRemembered = 256;

}  // namespace

StoreReader::StoreReader(asio::io_context& io, const std::string& address,
                         OwnRow own_row, GatewayCore& core, TargetPool& pool,
                         EventLog& log)
    : core_(core),
      pool_(pool),
      log_(log),
      own_row_(std::move(own_row)),
      feed_(io, address),
      listing_(io, address),
      feed_timer_(io),
      listing_timer_(io),
      random_(StableHash(own_row_.key)) {}

auto StoreReader::Start() -> void {
  ReadConfiguration();
  ReadTargets("");
}

auto StoreReader::NoteReachable(bool is_reachable, std::string_view call,
                                std::string_view cause) -> void {
  if (is_reachable) {
    core_.RecordStoreSuccess(FleetClock::now());
  } else {
    core_.RecordStoreFailure();
  }
  if (is_reachable == is_reachable_) return;
  is_reachable_ = is_reachable;
  log_.Write(LogClass::kState, is_reachable ? "store_regained" : "store_lost",
             {{"call", call}, {"cause", cause}});
}

auto StoreReader::ReadConfiguration() -> void {
  const auto sent_at = FleetClock::now();
  feed_.Call(ListRows(kOperatorTable, ""), kCallTimeout,
             [this, sent_at](const Outcome<StoreReply>& reply) {
               OnConfigurationReply(reply, sent_at);
             });
}

auto StoreReader::FollowConfiguration() -> void {
  const auto sent_at = FleetClock::now();
  feed_.Call(FeedRows(kOperatorTable, feed_version_, kFeedWait), kFeedTimeout,
             [this, sent_at](const Outcome<StoreReply>& reply) {
               OnConfigurationReply(reply, sent_at);
             });
}

auto StoreReader::OnConfigurationReply(const Outcome<StoreReply>& reply,
                                       Time sent_at) -> void {
  if (!IsOk(reply)) {
    NoteReachable(false, "configuration", ErrorOf(reply).message);
    return RetryConfiguration();
  }
  const auto& answer = ValueOf(reply);
  if (IsHistoryLost(answer.status)) return ReadConfiguration();
  if (answer.status != kOk) {
    NoteReachable(false, "configuration",
                  "status " + std::to_string(answer.status));
    return RetryConfiguration();
  }
  const auto rows = DecodeStoreRows(answer.body);
  if (!IsOk(rows)) {
    NoteReachable(false, "configuration", ErrorOf(rows).message);
    return RetryConfiguration();
  }
  feed_backoff_ = {};
  NoteReachable(true, "configuration", "");
  TakeConfiguration(ValueOf(rows));
  feed_version_ = std::max(feed_version_, ValueOf(rows).version);
  if (core_.table() != nullptr) core_.ConfirmConfiguration(sent_at);
  ScheduleConfiguration();
}

auto StoreReader::ScheduleConfiguration() -> void {
  const auto now = FleetClock::now();
  if (core_.table() == nullptr || core_.is_watcher(now)) {
    return FollowConfiguration();
  }
  feed_timer_.expires_after(kCheckPeriod);
  feed_timer_.async_wait([this](error_code error) {
    if (!error) CheckConfiguration();
  });
}

auto StoreReader::CheckConfiguration() -> void {
  const auto now = FleetClock::now();
  const auto age = core_.key_age(now);
  if (core_.is_behind(now) || age > kReadAge) return ReadConfiguration();
  if (age > kQueryAge && on_query_) on_query_();
  ScheduleConfiguration();
}

auto StoreReader::TakeConfiguration(const StoreRows& rows) -> void {
  for (const auto& row : rows.rows) {
    if (row.key != kConfigurationKey || row.is_removed) continue;
    auto document = DecodeConfiguration(row.value);
    if (!IsOk(document)) {
      log_.Write(LogClass::kState, "configuration_rejected",
                 {{"cause", ErrorOf(document).message}});
      continue;
    }
    const auto version = ValueOf(document).version;
    const auto table =
        std::make_shared<const RoutingTable>(std::move(ValueOf(document)));
    if (!core_.SetTable(table)) continue;
    log_.Write(LogClass::kState, "configuration_in_force",
               {{"configuration", static_cast<std::int64_t>(version)}});
  }
}

auto StoreReader::RetryConfiguration() -> void {
  feed_backoff_ = std::clamp(feed_backoff_ * 2, kFirstBackoff, kMaxBackoff);
  const auto jitter = 0.5 + random_.Uniform();
  feed_timer_.expires_after(Duration(static_cast<Duration::rep>(
      static_cast<double>(feed_backoff_.count()) * jitter)));
  feed_timer_.async_wait([this](error_code error) {
    if (error) return;
    if (core_.table() == nullptr || core_.is_watcher(FleetClock::now())) {
      return ReadConfiguration();
    }
    CheckConfiguration();
  });
}

auto StoreReader::ScheduleListing(Duration delay) -> void {
  listing_timer_.expires_after(delay);
  listing_timer_.async_wait([this](error_code error) {
    if (!error) NextListing();
  });
}

auto StoreReader::NextListing() -> void {
  if (listing_.is_busy()) return;
  const auto now = FleetClock::now();
  if (is_leaving_ && is_own_row_written_) return RemoveOwnRow();
  if (!is_own_row_written_ && !is_leaving_) return WriteOwnRow();
  if (routers_read_at_ == Time{} ||
      now - routers_read_at_ > core_.RouterListingPeriod(now)) {
    return ReadRouters();
  }
  ReadTargets("");
}

auto StoreReader::ReadTargets(const std::string& after) -> void {
  if (after.empty()) {
    pages_.clear();
    listing_started_at_ = FleetClock::now();
  }
  listing_.Call(ListRows(kTargetTable, after), kCallTimeout,
                [this](const Outcome<StoreReply>& reply) { OnTargets(reply); });
}

auto StoreReader::OnTargets(const Outcome<StoreReply>& reply) -> void {
  const auto is_answer = IsOk(reply) && ValueOf(reply).status == kOk;
  if (!is_answer) {
    NoteReachable(false, "targets",
                  IsOk(reply)
                      ? "status " + std::to_string(ValueOf(reply).status)
                      : ErrorOf(reply).message);
    return ScheduleListing(kFirstBackoff * 2);
  }
  const auto rows = DecodeStoreRows(ValueOf(reply).body);
  if (!IsOk(rows)) {
    NoteReachable(false, "targets", ErrorOf(rows).message);
    return ScheduleListing(kFirstBackoff * 2);
  }
  for (const auto& row : ValueOf(rows).rows) {
    if (row.is_removed) continue;
    auto target = DecodeTargetRow(row.key, row.value);
    if (target) {
      pages_.push_back(std::move(*target));
      continue;
    }
    if (malformed_rows_.size() >= kMaxMalformedRemembered) continue;
    if (!malformed_rows_.insert(row.key).second) continue;
    log_.Write(LogClass::kState, "target_row_malformed", {{"target", row.key}});
  }
  if (ValueOf(rows).is_truncated && !ValueOf(rows).rows.empty()) {
    return ReadTargets(ValueOf(rows).rows.back().key);
  }
  const auto now = FleetClock::now();
  NoteReachable(true, "targets", "");
  TakeChange(core_.SetTargets(std::move(pages_), ValueOf(rows).version, now));
  pages_.clear();
  const auto elapsed = now - listing_started_at_;
  ScheduleListing(std::max(Duration{}, core_.NextListingDelay(now) - elapsed));
}

auto StoreReader::TakeChange(const DirectoryChange& change) -> void {
  for (const auto& target : change.left) {
    pool_.Drop(target);
    log_.Write(LogClass::kState, "target_left", {{"target", target.value()}});
  }
  for (const auto& target : change.restarted) pool_.Drop(target);
  for (const auto& target : change.joined) {
    log_.Write(LogClass::kState, "target_joined", {{"target", target.value()}});
  }
}

auto StoreReader::ReadRouters() -> void {
  listing_.Call(ListRows(kRouterTable, ""), kCallTimeout,
                [this](const Outcome<StoreReply>& reply) { OnRouters(reply); });
}

auto StoreReader::OnRouters(const Outcome<StoreReply>& reply) -> void {
  const auto is_answer = IsOk(reply) && ValueOf(reply).status == kOk;
  const auto rows = is_answer
                        ? DecodeStoreRows(ValueOf(reply).body)
                        : Outcome<StoreRows>(Error{ErrorCode::kUnavailable,
                                                   "no listing of routers"});
  if (!IsOk(rows)) {
    NoteReachable(false, "routers", ErrorOf(rows).message);
    return ScheduleListing(kFirstBackoff * 2);
  }
  routers_read_at_ = FleetClock::now();
  std::vector<PeerSeed> seeds;
  for (const auto& row : ValueOf(rows).rows) {
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
  ScheduleListing(Duration{});
}

auto StoreReader::WriteOwnRow() -> void {
  listing_.Call(WriteRow(StoreWrite{kRouterTable, own_row_.key,
                                    EncodeRouterRow(own_row_.row)}),
                kCallTimeout, [this](const Outcome<StoreReply>& reply) {
                  const auto is_written =
                      IsOk(reply) && ValueOf(reply).status == kOk;
                  if (!is_written) {
                    NoteReachable(false, "own_row", "not written");
                    return ScheduleListing(kFirstBackoff * 2);
                  }
                  is_own_row_written_ = true;
                  ScheduleListing(Duration{});
                });
}

auto StoreReader::RemoveOwnRow() -> void {
  listing_.Call(RemoveRow(kRouterTable, own_row_.key), kCallTimeout,
                [this](const Outcome<StoreReply>& reply) {
                  const auto is_removed =
                      IsOk(reply) && ValueOf(reply).status == kOk;
                  if (!is_removed) {
                    NoteReachable(false, "own_row", "not removed");
                    return ScheduleListing(kFirstBackoff * 2);
                  }
                  is_own_row_written_ = false;
                  ScheduleListing(Duration{});
                });
}

auto StoreReader::Leave() -> void {
  is_leaving_ = true;
  // A call that is under way is followed by the next one soon enough.
  if (!listing_.is_busy()) ScheduleListing(Duration{});
}

}  // namespace papayaplank
