// Schedule of the reads, long polling of the store, and backoff.
#include "relay/configuration_reader.h"

#include <algorithm>

namespace papayaplank {
namespace {

// Longest wait of a long-poll call. Its answer confirms the API keys as of the
// moment the call was sent, so this bounds the age of that confirmation.
constexpr Duration kWatchWait = milliseconds(700);
constexpr Duration kListTimeout = milliseconds(1000);
constexpr Duration kWatchSlack = milliseconds(800);
// The same for a router that waits for the first configuration.
constexpr Duration kFirstWatchWait = milliseconds(2500);
// Shortest time between two long-poll calls, however soon they are answered.
constexpr Duration kWatchSpacing = milliseconds(250);
// Short, since peers are close on the network. After this time the store is
// read instead; a later read may ask another peer.
constexpr Duration kSnapshotTimeout = milliseconds(400);
// How often a router that is not a watcher checks whether a read is due.
constexpr Duration kCheckPeriod = milliseconds(150);
// Age of the last confirmation of the keys after which peers are asked, and age
// after which the store is read. Both stay well below `revocation_bound`, the
// time within which a revoked key must be rejected.
constexpr Duration kPeerQueryAge = milliseconds(1500);
constexpr Duration kStoreReadAge = milliseconds(2800);
// Delay after the first of several failed calls to the store, and the longest.
constexpr Duration kFirstBackoff = milliseconds(100);
constexpr Duration kMaxBackoff = milliseconds(600);
// After a failed call, a router that is not a watcher makes no call to the
// store for this long; meanwhile it asks peers.
constexpr Duration kStoreFailurePause = milliseconds(1600);

// After a return of the store from a copy, the routers list the operator's rows
// at random times within this one.
constexpr Duration kEraListTime = milliseconds(800);

constexpr int kOk = 200;
// Name of the store calls in the log.
constexpr char kStoreCallName[] = "configuration";

}  // namespace

ConfigurationReader::ConfigurationReader(asio::io_context& io,
                                         const std::string& store_address,
                                         const std::string& name,
                                         GatewayCore& core,
                                         StoreHealth& store_health,
                                         EventLog& log)
    : io_(io),
      core_(core),
      store_health_(store_health),
      log_(log),
      store_client_(io, store_address),
      timer_(io),
      random_(StableHash(name)) {}

auto ConfigurationReader::ReadNewest() -> void {
  const auto peer = core_.ChooseSnapshotSource(MonotonicClock::now());
  if (!peer.empty()) return ReadPeer(peer);
  ReadStore();
}

auto ConfigurationReader::ReadStore(const PageStart& after) -> void {
  if (!after) {
    listed_evacuations_.clear();
    has_listed_configuration_ = false;
    list_sent_at_ = MonotonicClock::now();
    known_version_ = core_.NewestConfiguration(list_sent_at_);
  }
  store_client_.Call(ListRows(kOperatorTable, after), kListTimeout,
                     [this, after](const Outcome<HttpReply>& reply) {
                       HandleListReply(reply, after);
                     });
}

auto ConfigurationReader::WatchStore() -> void {
  const auto sent_at = MonotonicClock::now();
  watched_at_ = sent_at;
  known_version_ = core_.NewestConfiguration(sent_at);
  // Without a configuration there are no keys to confirm.
  auto wait = core_.table() == nullptr ? kFirstWatchWait : kWatchWait;
  // The first read after an era has settled confirms the keys again.
  const auto settling = core_.store_eras().SettlingTimeLeft(sent_at);
  if (settling > Duration{}) wait = std::min(wait, settling);
  store_client_.Call(WatchRows(kOperatorTable, store_version_, wait),
                     wait + kWatchSlack,
                     [this, sent_at](const Outcome<HttpReply>& reply) {
                       HandleWatchReply(reply, sent_at);
                     });
}

auto ConfigurationReader::HandleListReply(const Outcome<HttpReply>& reply,
                                          const PageStart& after) -> void {
  const auto rows = store_health_.DecodeRows(kStoreCallName, reply, after);
  if (!rows) {
    store_failed_at_ = MonotonicClock::now();
    return ScheduleRetry();
  }
  // A store without any history must not be listed in a loop.
  if (!is_history_lost_) backoff_ = {};
  const auto era = core_.store_eras().current();
  if (!after) {
    // Rows may change between two pages: the list is as old as its first one.
    list_version_ = rows->version;
    list_era_ = era;
  }
  // Pages of two eras are no list.
  if (list_era_ != era) return ReadStore();
  ApplyRows(*rows);
  for (const auto& row : rows->rows) {
    const auto data_center = FindEvacuated(row);
    if (!data_center || row.is_removed) continue;
    const auto version = row.version == 0 ? rows->version : row.version;
    listed_evacuations_.push_back({*data_center, version, true});
  }
  if (rows->next_after) return ReadStore(rows->next_after);
  const auto now = MonotonicClock::now();
  core_.SetEvacuated(listed_evacuations_, list_version_, now);
  if (!has_listed_configuration_) shown_version_ = 0;
  if (!core_.store_eras().IsSettling(list_sent_at_)) settled_era_ = era;
  store_version_ = list_version_;
  store_era_ = era;
  ConfirmRows(list_version_, list_sent_at_);
}

auto ConfigurationReader::HandleWatchReply(const Outcome<HttpReply>& reply,
                                           Time sent_at) -> void {
  const auto is_history_lost =
      IsOk(reply) && IsHistoryLost(ValueOf(reply).status) &&
      store_health_.IsOfCurrentEra(kStoreCallName, ValueOf(reply));
  if (is_history_lost) return HandleLostHistory("refused");
  const auto rows = store_health_.DecodeRows(kStoreCallName, reply);
  if (!rows) {
    store_failed_at_ = MonotonicClock::now();
    return ScheduleRetry();
  }
  // The version that was asked for is not of this era.
  if (store_era_ != core_.store_eras().current()) return ReadStore();
  // Nor is it one that the store has, whether or not the store says so.
  if (rows->version < store_version_) {
    return HandleLostHistory("lower_version");
  }
  is_history_lost_ = false;
  backoff_ = {};
  ApplyRows(*rows);
  for (const auto& row : rows->rows) {
    const auto data_center = FindEvacuated(row);
    if (!data_center) continue;
    const auto version = row.version == 0 ? rows->version : row.version;
    core_.SetEvacuation({*data_center, version, !row.is_removed},
                        MonotonicClock::now());
  }
  ConfirmRows(rows->version, sent_at);
}

auto ConfigurationReader::HandleLostHistory(std::string_view answer) -> void {
  log_.Write(LogClass::kRoutine, "watch_lost",
             {{"answer", answer},
              {"store_version", static_cast<std::int64_t>(store_version_)}});
  if (std::exchange(is_history_lost_, true)) return ScheduleRetry();
  ReadStore();
}

auto ConfigurationReader::ConfirmRows(std::uint64_t version, Time sent_at)
    -> void {
  store_version_ = std::max(store_version_, version);
  if (core_.table() != nullptr && IsNewest(sent_at)) {
    core_.ConfirmConfiguration(sent_at);
  }
  ScheduleNext();
}

auto ConfigurationReader::IsNewest(Time sent_at) const -> bool {
  // A configuration that the store has lost may have revoked keys.
  if (core_.store_eras().IsSettling(sent_at)) return false;
  return !shown_version_ || *shown_version_ >= known_version_;
}

auto ConfigurationReader::IsEraListDue(Time now) -> bool {
  const auto& eras = core_.store_eras();
  if (eras.changes() == 0 || settled_era_ == eras.current() ||
      eras.IsSettling(now)) {
    era_list_due_at_.reset();
    return false;
  }
  if (!era_list_due_at_) {
    const auto delay = core_.is_watcher(now)
                           ? Duration{}
                           : Scale(kEraListTime, random_.Uniform());
    era_list_due_at_ = now + delay;
  }
  return now >= *era_list_due_at_;
}

auto ConfigurationReader::ReadPeer(const std::string& address) -> void {
  snapshot_client_ = std::make_unique<HttpClient>(io_, address);
  snapshot_client_->Call(HttpCall{"GET", kSnapshotPath, ""}, kSnapshotTimeout,
                         [this, address](const Outcome<HttpReply>& reply) {
                           HandlePeerReply(address, reply);
                         });
}

auto ConfigurationReader::HandlePeerReply(const std::string& address,
                                          const Outcome<HttpReply>& reply)
    -> void {
  const auto has_ok_status = IsOk(reply) && ValueOf(reply).status == kOk;
  const auto message = has_ok_status ? DecodePeerMessage(ValueOf(reply).body)
                                     : std::optional<PeerMessage>();
  const auto* snapshot =
      message ? std::get_if<PeerSnapshot>(&*message) : nullptr;
  if (snapshot == nullptr) {
    const std::string cause =
        IsOk(reply) ? "no snapshot in the answer" : ErrorOf(reply).message;
    log_.Write(LogClass::kRoutine, "snapshot_failed",
               {{"peer", address}, {"cause", cause}});
    return ReadStore();
  }
  ApplyDocument(snapshot->configuration, address);
  core_.HandleEvacuations(snapshot->evacuations, snapshot->store_era,
                          MonotonicClock::now());
  const auto change = core_.ApplyTargetUpdates(
      snapshot->targets, snapshot->store_era, MonotonicClock::now());
  if (on_target_change_) on_target_change_(change);
  // The peer's version may be outdated, so other peers are asked to confirm it.
  if (on_query_) on_query_();
  ScheduleNext();
}

auto ConfigurationReader::ApplyRows(const StoreRows& rows) -> void {
  for (const auto& row : rows.rows) {
    if (row.key != kConfigurationKey || row.is_removed) continue;
    has_listed_configuration_ = true;
    shown_version_ = ApplyDocument(row.value, "store");
  }
}

auto ConfigurationReader::ApplyDocument(std::string_view text,
                                        std::string_view source)
    -> std::optional<std::uint64_t> {
  auto document = DecodeConfiguration(text);
  if (!IsOk(document)) {
    log_.Write(LogClass::kState, "configuration_rejected",
               {{"source", source}, {"cause", ErrorOf(document).message}});
    return std::nullopt;
  }
  const auto version = ValueOf(document).version;
  const auto table =
      std::make_shared<const RoutingTable>(std::move(ValueOf(document)));
  if (!core_.SetTable(table)) return version;
  log_.Write(LogClass::kState, "configuration_in_force",
             {{"configuration", static_cast<std::int64_t>(version)},
              {"source", source}});
  return version;
}

auto ConfigurationReader::ScheduleNext() -> void {
  const auto now = MonotonicClock::now();
  if (core_.table() == nullptr || core_.is_watcher(now)) {
    const auto must_list = store_era_ != core_.store_eras().current();
    return must_list || IsEraListDue(now) ? ReadStore() : ScheduleWatch(now);
  }
  ScheduleCheck(kCheckPeriod);
}

auto ConfigurationReader::ScheduleWatch(Time now) -> void {
  const auto due_at = watched_at_ + kWatchSpacing;
  if (watched_at_ == Time{} || due_at <= now) return WatchOrList();
  timer_.expires_after(due_at - now);
  timer_.async_wait([this](error_code error) {
    if (!error) WatchOrList();
  });
}

auto ConfigurationReader::WatchOrList() -> void {
  const auto now = MonotonicClock::now();
  const auto* table = core_.table().get();
  // Another router was shown what the watch should have shown.
  const auto has_missed_change =
      table != nullptr && core_.NewestConfiguration(now) > table->version();
  if (!has_missed_change) return WatchStore();
  watched_at_ = now;
  ReadStore();
}

auto ConfigurationReader::ScheduleRetry() -> void {
  backoff_ = std::clamp(backoff_ * 2, kFirstBackoff, kMaxBackoff);
  const auto jitter = 0.5 + random_.Uniform();
  ScheduleCheck(Scale(backoff_, jitter));
}

auto ConfigurationReader::ScheduleCheck(Duration delay) -> void {
  timer_.expires_after(delay);
  timer_.async_wait([this](error_code error) {
    if (!error) Check();
  });
}

auto ConfigurationReader::Check() -> void {
  const auto now = MonotonicClock::now();
  const auto age = core_.key_age(now);
  if (age > kPeerQueryAge && on_query_) on_query_();
  if (core_.is_watcher(now)) return ReadNewest();
  const auto must_read =
      core_.must_read_configuration(now) || age > kStoreReadAge;
  const auto may_call =
      !core_.is_store_failing() || now - store_failed_at_ >= kStoreFailurePause;
  if (IsEraListDue(now) && may_call) return ReadStore();
  const auto may_read = may_call || !core_.ChooseSnapshotSource(now).empty();
  if (must_read && may_read) return ReadNewest();
  ScheduleCheck(kCheckPeriod);
}

}  // namespace papayaplank
