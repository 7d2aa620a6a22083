// Schedule and handling of the store calls for targets and routers.
#include "relay/service_registry_reader.h"

#include <algorithm>
#include <utility>

namespace papayaplank {
namespace {

constexpr Duration kCallTimeout = milliseconds(1000);
// Delay after a failed call; it doubles with each further failure. A router
// without targets can't serve any caller, so it retries more often.
constexpr Duration kFirstRetryDelay = milliseconds(200);
constexpr Duration kMaxRetryDelay = milliseconds(1600);
constexpr Duration kMaxRetryDelayWithoutTargets = milliseconds(400);

}  // namespace

ServiceRegistryReader::ServiceRegistryReader(asio::io_context& io,
                                             const std::string& store_address,
                                             OwnRow own_row, GatewayCore& core,
                                             StoreHealth& store_health,
                                             TargetConnectionPool& connections,
                                             EventLog& log)
    : core_(core),
      store_health_(store_health),
      connections_(connections),
      log_(log),
      own_row_(std::move(own_row)),
      store_client_(io, store_address),
      timer_(io),
      random_(StableHash(own_row_.key)),
      malformed_targets_(log, "target_row_malformed"),
      malformed_routers_(log, "router_row_malformed") {}

auto ServiceRegistryReader::Schedule(Duration delay) -> void {
  timer_.expires_after(delay);
  is_call_waiting_ = true;
  timer_.async_wait([this](error_code error) {
    if (error) return;
    is_call_waiting_ = false;
    MakeNextCall();
  });
}

auto ServiceRegistryReader::ScheduleRetry() -> void {
  const auto longest = core_.directory().size() == 0
                           ? kMaxRetryDelayWithoutTargets
                           : kMaxRetryDelay;
  retry_delay_ = std::clamp(retry_delay_ * 2, kFirstRetryDelay, longest);
  // Jitter spreads the calls of the routers when the store recovers.
  const auto jitter = 0.5 + random_.Uniform();
  read_reason_ = "retry";
  Schedule(Scale(retry_delay_, jitter));
}

auto ServiceRegistryReader::ReadWhenDue(const ListReadDemand& demand) -> void {
  const auto is_new_era = demand.reason == ListReadReason::kNewEra;
  if (is_new_era) BeginEraChecks();
  // A call on its way may be older than what was missed.
  const auto must_be_newer =
      is_new_era || demand.reason == ListReadReason::kMissedNews;
  const auto is_retrying = retry_delay_ > Duration{};
  if (!must_be_newer && (is_reading_targets_ || is_retrying)) return;
  read_reason_ = ListReadReasonName(demand.reason);
  if (store_client_.is_busy()) {
    must_read_again_ = true;
    return;
  }
  is_target_list_next_ = true;
  const auto is_sooner =
      is_call_waiting_ &&
      timer_.expiry() - asio::steady_timer::clock_type::now() <= demand.delay;
  if (!is_sooner) Schedule(demand.delay);
}

auto ServiceRegistryReader::BeginEraChecks() -> void {
  must_check_own_row_ = true;
  const auto now = MonotonicClock::now();
  // By then a router that has started again under a name has told of itself.
  if (!core_.is_watcher(now) || core_.store_eras().IsSettling(now)) return;
  must_find_left_rows_ = true;
  routers_read_at_ = Time{};
}

auto ServiceRegistryReader::IsRouterListDue(Time now) const -> bool {
  return routers_read_at_ == Time{} ||
         now - routers_read_at_ > core_.RouterListPeriod(now);
}

auto ServiceRegistryReader::MakeNextCall() -> void {
  if (store_client_.is_busy()) return;
  const auto now = MonotonicClock::now();
  if (is_deregistering_ && (is_own_row_written_ || must_check_own_row_)) {
    return RemoveOwnRow();
  }
  if (std::exchange(is_target_list_next_, false)) return ReadTargets({});
  if (!is_own_row_written_ && !is_deregistering_) return WriteOwnRow();
  if (must_check_own_row_) return CheckOwnRow();
  if (!left_rows_.empty()) return RemoveLeftRow();
  if (IsRouterListDue(now)) return ReadRouters({});
  ReadTargets({});
}

auto ServiceRegistryReader::ReadTargets(const PageStart& after) -> void {
  if (!after) {
    listed_targets_.clear();
    list_started_at_ = MonotonicClock::now();
    is_reading_targets_ = true;
  }
  store_client_.Call(ListRows(kTargetTable, after), kCallTimeout,
                     [this, after](const Outcome<HttpReply>& reply) {
                       HandleTargetRows(reply, after);
                     });
}

auto ServiceRegistryReader::HandleTargetRows(const Outcome<HttpReply>& reply,
                                             const PageStart& after) -> void {
  const auto rows = store_health_.DecodeRows("targets", reply, after);
  if (!rows) {
    is_reading_targets_ = false;
    return ScheduleRetry();
  }
  retry_delay_ = {};
  const auto era = core_.store_eras().current();
  if (!after) list_era_ = era;
  // Pages of two eras are no list.
  if (list_era_ != era) return ReadTargets({});
  for (const auto& row : rows->rows) AddTargetRow(row);
  if (rows->next_after) return ReadTargets(rows->next_after);
  is_reading_targets_ = false;
  const auto now = MonotonicClock::now();
  LogTargetList(now);
  ApplyTargetChange(
      core_.SetTargets(std::move(listed_targets_), rows->version, now),
      "store");
  list_read_at_ = now;
  listed_targets_.clear();
  ScheduleNext();
}

auto ServiceRegistryReader::ScheduleNext() -> void {
  // Other calls come after the targets, so that these are read at each turn.
  const auto has_other_calls =
      must_check_own_row_ || !left_rows_.empty() ||
      (is_deregistering_
           ? is_own_row_written_
           : !is_own_row_written_ || IsRouterListDue(MonotonicClock::now()));
  const auto is_list_owed = retry_delay_ > Duration{};
  if (std::exchange(must_read_again_, false)) is_target_list_next_ = true;
  if (is_target_list_next_ || is_list_owed || has_other_calls) {
    Schedule(Duration{});
  }
}

auto ServiceRegistryReader::LogTargetList(Time now) -> void {
  const auto age = list_read_at_ == Time{} ? Duration{} : now - list_read_at_;
  log_.Write(LogClass::kRoutine, "target_list_read",
             {{"reason", read_reason_},
              {"targets", static_cast<std::int64_t>(listed_targets_.size())},
              {"took_ms", (now - list_started_at_).count() / 1000},
              {"previous_age_ms", age.count() / 1000},
              {"role", ExchangeRoleName(core_.exchange_role())}});
  read_reason_ = "follow_up";
}

auto ServiceRegistryReader::AddTargetRow(const StoreRow& row) -> void {
  if (row.is_removed) return;
  auto target = DecodeTargetRow(row.key, row.value);
  if (!IsOk(target)) {
    return malformed_targets_.Log(row.key, ErrorOf(target).message);
  }
  listed_targets_.push_back(std::move(ValueOf(target)));
  listed_targets_.back().version = row.version;
}

auto ServiceRegistryReader::LogTargetChange(std::string_view event,
                                            const TargetId& target,
                                            std::string_view source) -> void {
  const auto now = MonotonicClock::now();
  const auto list_age =
      list_read_at_ == Time{} ? Duration{} : now - list_read_at_;
  log_.Write(LogClass::kState, event,
             {{"target", target.value()},
              {"source", source},
              {"role", ExchangeRoleName(core_.exchange_role())},
              {"list_age_ms", list_age.count() / 1000}});
}

auto ServiceRegistryReader::ApplyTargetChange(const DirectoryChange& change,
                                              std::string_view source) -> void {
  for (const auto& target : change.left) {
    connections_.CloseTarget(target);
    LogTargetChange("target_left", target, source);
  }
  for (const auto& target : change.restarted) {
    connections_.CloseTarget(target);
    LogTargetChange("target_restarted", target, source);
  }
  for (const auto& target : change.joined) {
    LogTargetChange("target_joined", target, source);
  }
}

auto ServiceRegistryReader::ReadRouters(const PageStart& after) -> void {
  if (!after) listed_routers_.clear();
  store_client_.Call(ListRows(kRouterTable, after), kCallTimeout,
                     [this, after](const Outcome<HttpReply>& reply) {
                       HandleRouterRows(reply, after);
                     });
}

auto ServiceRegistryReader::AddRouterRow(const StoreRow& row) -> void {
  if (row.is_removed || row.key == own_row_.key) return;
  const auto router = DecodeRouterRow(row.value);
  if (!IsOk(router)) {
    return malformed_routers_.Log(row.key, ErrorOf(router).message);
  }
  const auto& value = ValueOf(router);
  if (must_find_left_rows_ &&
      core_.HasLeft(value.peer_address, MonotonicClock::now())) {
    left_rows_.emplace_back(row.key, row.version);
    return;
  }
  listed_routers_.push_back(
      PeerSeed{value.peer_address, value.data_center, value.cores});
}

auto ServiceRegistryReader::HandleRouterRows(const Outcome<HttpReply>& reply,
                                             const PageStart& after) -> void {
  const auto rows = store_health_.DecodeRows("routers", reply, after);
  if (!rows) {
    is_target_list_next_ = true;
    return ScheduleRetry();
  }
  for (const auto& row : rows->rows) AddRouterRow(row);
  if (rows->next_after) return ReadRouters(rows->next_after);
  must_find_left_rows_ = false;
  routers_read_at_ = MonotonicClock::now();
  core_.AddPeers(listed_routers_, routers_read_at_);
  listed_routers_.clear();
  const auto has_targets = core_.directory().size() > 0;
  if (!has_targets) return Schedule(Duration{});
  ScheduleNext();
}

auto ServiceRegistryReader::WriteOwnRow() -> void {
  const StoreWrite write{kRouterTable, own_row_.key,
                         EncodeRouterRow(own_row_.row)};
  store_client_.Call(WriteRow(write), kCallTimeout,
                     [this](const Outcome<HttpReply>& reply) {
                       if (!store_health_.IsConfirmed("own_row", reply)) {
                         is_target_list_next_ = true;
                         return ScheduleRetry();
                       }
                       is_own_row_written_ = true;
                       Schedule(Duration{});
                     });
}

auto ServiceRegistryReader::CheckOwnRow() -> void {
  must_check_own_row_ = false;
  store_client_.Call(
      ReadRow(kRouterTable, own_row_.key), kCallTimeout,
      [this](const Outcome<HttpReply>& reply) { HandleOwnRow(reply); });
}

auto ServiceRegistryReader::HandleOwnRow(const Outcome<HttpReply>& reply)
    -> void {
  const auto rows = store_health_.DecodeRows("own_row", reply);
  if (!rows) {
    must_check_own_row_ = true;
    is_target_list_next_ = true;
    return ScheduleRetry();
  }
  const auto value = EncodeRouterRow(own_row_.row);
  is_own_row_written_ =
      std::any_of(rows->rows.begin(), rows->rows.end(), [&](const auto& row) {
        return row.key == own_row_.key && !row.is_removed && row.value == value;
      });
  Schedule(Duration{});
}

auto ServiceRegistryReader::RemoveOwnRow() -> void {
  must_check_own_row_ = false;
  store_client_.Call(RemoveRow(kRouterTable, own_row_.key), kCallTimeout,
                     [this](const Outcome<HttpReply>& reply) {
                       if (!store_health_.IsConfirmed("own_row", reply)) {
                         is_own_row_written_ = true;
                         return ScheduleRetry();
                       }
                       is_own_row_written_ = false;
                       Schedule(Duration{});
                     });
}

auto ServiceRegistryReader::RemoveLeftRow() -> void {
  const auto [key, version] = left_rows_.back();
  left_rows_.pop_back();
  log_.Write(
      LogClass::kState, "router_row_removed",
      {{"router", key}, {"store_version", static_cast<std::int64_t>(version)}});
  // If it fails, the row has changed or stays as that of a crashed router does.
  store_client_.Call(RemoveRowOfVersion(kRouterTable, key, version),
                     kCallTimeout, [this](const Outcome<HttpReply>& reply) {
                       if (IsOk(reply)) {
                         store_health_.IsOfCurrentEra("left_row",
                                                      ValueOf(reply));
                       }
                       ScheduleNext();
                     });
}

auto ServiceRegistryReader::Deregister() -> void {
  is_deregistering_ = true;
  // The end of a call in flight schedules the next one.
  if (!store_client_.is_busy()) Schedule(Duration{});
}

}  // namespace papayaplank
