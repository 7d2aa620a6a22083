// Schedules of reads of the configuration.
#include "relay/configuration_reader.h"

#include <algorithm>

namespace papayaplank {
namespace {

// Longest wait of a feed call. The answer confirms the keys as of the moment
// at which the call was sent, so it bounds how old that is.
constexpr Duration kFeedWait = milliseconds(700);
constexpr Duration kCallTimeout = milliseconds(1000);
constexpr Duration kFeedTimeout = kFeedWait + milliseconds(800);
// Peers are near; one that does not answer soon is replaced by another.
constexpr Duration kPeerTimeout = milliseconds(400);
// A router that is no watcher looks this often whether it has to act.
constexpr Duration kCheckPeriod = milliseconds(150);
// Age of the last confirmation at which peers are asked, and at which the
// store is read; together well below the bound on revoked keys.
constexpr Duration kQueryAge = milliseconds(1500);
constexpr Duration kReadAge = milliseconds(2800);
constexpr Duration kFirstBackoff = milliseconds(100);
constexpr Duration kMaxBackoff = milliseconds(600);
// A router that is no watcher leaves a failing store alone for this long, and
// goes on asking peers.
constexpr Duration kStorePause = milliseconds(1600);

constexpr int kOk = 200;
constexpr char kCallName[] = "configuration";

}  // namespace

ConfigurationReader::ConfigurationReader(asio::io_context& io,
                                         const std::string& store_address,
                                         const std::string& name,
                                         GatewayCore& core,
                                         StoreContact& contact, EventLog& log)
    : io_(io),
      core_(core),
      contact_(contact),
      log_(log),
      store_(io, store_address),
      timer_(io),
      random_(StableHash(name)) {}

auto ConfigurationReader::ReadNewest() -> void {
  const auto peer = core_.ChooseSnapshotSource(MonotonicClock::now());
  if (!peer.empty()) return ReadPeer(peer);
  ReadStore();
}

auto ConfigurationReader::ReadStore() -> void {
  const auto sent_at = MonotonicClock::now();
  store_.Call(ListRows(kOperatorTable, ""), kCallTimeout,
              [this, sent_at](const Outcome<HttpReply>& reply) {
                OnStoreReply(reply, sent_at);
              });
}

auto ConfigurationReader::FollowStore() -> void {
  const auto sent_at = MonotonicClock::now();
  store_.Call(FeedRows(kOperatorTable, store_version_, kFeedWait), kFeedTimeout,
              [this, sent_at](const Outcome<HttpReply>& reply) {
                OnStoreReply(reply, sent_at);
              });
}

auto ConfigurationReader::OnStoreReply(const Outcome<HttpReply>& reply,
                                       Time sent_at) -> void {
  if (IsOk(reply) && IsHistoryLost(ValueOf(reply).status)) return ReadStore();
  const auto rows = contact_.TakeRows(kCallName, reply);
  if (!rows) {
    store_failed_at_ = MonotonicClock::now();
    return ScheduleRetry();
  }
  backoff_ = {};
  TakeRows(*rows);
  store_version_ = std::max(store_version_, rows->version);
  if (core_.table() != nullptr) core_.ConfirmConfiguration(sent_at);
  ScheduleNext();
}

auto ConfigurationReader::ReadPeer(const std::string& address) -> void {
  peer_ = std::make_unique<HttpClient>(io_, address);
  peer_->Call(HttpCall{"GET", kSnapshotPath, ""}, kPeerTimeout,
              [this, address](const Outcome<HttpReply>& reply) {
                OnPeerReply(address, reply);
              });
}

auto ConfigurationReader::OnPeerReply(const std::string& address,
                                      const Outcome<HttpReply>& reply) -> void {
  const auto is_answer = IsOk(reply) && ValueOf(reply).status == kOk;
  const auto message = is_answer ? DecodePeerMessage(ValueOf(reply).body)
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
  TakeDocument(snapshot->configuration, address);
  const auto change = core_.ApplyTargetUpdates(snapshot->targets);
  if (on_change_) on_change_(change);
  // The version is not the newest one for sure before a peer confirms it.
  if (on_query_) on_query_();
  ScheduleNext();
}

auto ConfigurationReader::TakeRows(const StoreRows& rows) -> void {
  for (const auto& row : rows.rows) {
    if (row.key != kConfigurationKey || row.is_removed) continue;
    TakeDocument(row.value, "store");
  }
}

auto ConfigurationReader::TakeDocument(std::string_view text,
                                       std::string_view source) -> void {
  auto document = DecodeConfiguration(text);
  if (!IsOk(document)) {
    log_.Write(LogClass::kState, "configuration_rejected",
               {{"source", source}, {"cause", ErrorOf(document).message}});
    return;
  }
  const auto version = ValueOf(document).version;
  const auto table =
      std::make_shared<const RoutingTable>(std::move(ValueOf(document)));
  if (!core_.SetTable(table)) return;
  log_.Write(LogClass::kState, "configuration_in_force",
             {{"configuration", static_cast<std::int64_t>(version)},
              {"source", source}});
}

auto ConfigurationReader::ScheduleNext() -> void {
  if (core_.table() == nullptr || core_.is_watcher(MonotonicClock::now())) {
    return FollowStore();
  }
  ScheduleCheck(kCheckPeriod);
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
  if (age > kQueryAge && on_query_) on_query_();
  if (core_.is_watcher(now)) return ReadNewest();
  const auto must_read = core_.is_behind(now) || age > kReadAge;
  const auto may_read = !core_.is_store_failing() ||
                        now - store_failed_at_ >= kStorePause ||
                        !core_.ChooseSnapshotSource(now).empty();
  if (must_read && may_read) return ReadNewest();
  ScheduleCheck(kCheckPeriod);
}

}  // namespace papayaplank
