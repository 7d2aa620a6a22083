// Events of the simulated fleet: ticks, messages, reads of target lists.
#include "tests/gateway/departure_fleet.h"

#include <algorithm>
#include <set>

namespace papayaplank {
namespace {

constexpr Duration kTick = milliseconds(100);
constexpr Duration kMessageLatency = milliseconds(3);
constexpr Duration kReadLatency = milliseconds(10);
// Average delay after a call that failed.
constexpr Duration kRetryDelay = milliseconds(1000);
// Of a watcher's calls for the operator's rows.
constexpr Duration kWatchPeriod = milliseconds(700);

auto DataCenter(int index) -> DataCenterId {
  return DataCenterId("dc" +
                      std::to_string(index % DepartureFleet::kDataCenters));
}

// One in thirteen instances is large.
auto Cores(int index) -> double {
  return index % 13 < DepartureFleet::kDataCenters ? 0.5 : 0.12;
}

auto MakeTable() -> std::shared_ptr<const RoutingTable> {
  RoutingDocument document;
  document.version = 1;
  Route route;
  route.name = "read";
  route.host = "shop.example";
  route.prefix = "/read/";
  route.kind = RequestKind::kIdempotent;
  route.pools = {{PoolId("targets"), 1}};
  document.routes = {route};
  Service service;
  service.id = PoolId("targets");
  document.services = {service};
  return std::make_shared<const RoutingTable>(document);
}

}  // namespace

DepartureFleet::DepartureFleet(int routers, std::uint64_t seed)
    : random_(seed) {
  for (int i = 0; i < kTargets; ++i) {
    TargetRow row;
    row.id = TargetId("t" + std::to_string(i));
    row.address = "127.0.0.1:" + std::to_string(9000 + i);
    row.pool = PoolId("targets");
    row.data_center = DataCenter(i);
    row.started_unix_ms = 1;
    rows_.push_back(row);
  }
  for (int i = 0; i < routers; ++i) {
    addresses_.push_back("10.0." + std::to_string(i / 250) + "." +
                         std::to_string(i % 250) + ":1");
    index_of_[addresses_.back()] = i;
  }
  for (int i = 0; i < routers; ++i) {
    // The routers' ticks are not in step.
    At(Scale(seconds(1), random_.Uniform()), [this, i] { Start(i); });
  }
}

auto DepartureFleet::At(Duration delay, std::function<void()> action) -> void {
  events_.push(Event{now_ + delay, ++event_count_, std::move(action)});
}

auto DepartureFleet::Run(Duration time) -> void {
  const auto end = now_ + time;
  while (!events_.empty() && events_.top().at <= end) {
    const auto event = events_.top();
    events_.pop();
    now_ = event.at;
    event.action();
  }
  now_ = end;
}

auto DepartureFleet::Start(int index) -> void {
  GatewayOptions options;
  options.peer_address = addresses_[static_cast<std::size_t>(index)];
  options.caller_address = "c" + options.peer_address;
  options.data_center = DataCenter(index);
  options.started_unix_ms = ++starts_;
  options.router =
      RouterId(options.peer_address + "#" + std::to_string(starts_));
  options.cores = Cores(index);
  options.seed = random_.Index(1'000'000'000);
  auto core = std::make_unique<GatewayCore>(options);
  core->SetTable(MakeTable());
  auto& router = routers_[index];
  router.core = std::move(core);
  router.incarnation = starts_;
  ReadRouters(index);
  ReadTargets(index);
  ReadOperatorRows(index);
  Tick(index, starts_);
}

auto DepartureFleet::ReadRouters(int index) -> void {
  auto& router = routers_.at(index);
  std::vector<PeerSeed> seeds;
  for (const auto& [address, peer] : index_of_) {
    if (peer != index) {
      seeds.push_back({address, DataCenter(peer), Cores(peer)});
    }
  }
  router.core->AddPeers(seeds, now_);
  router.routers_read_at = now_;
}

auto DepartureFleet::Leave(int index, Duration time) -> void {
  const auto incarnation = routers_.at(index).incarnation;
  routers_.at(index).core->BeginStop(now_);
  At(time, [this, index, incarnation] {
    const auto found = routers_.find(index);
    if (found != routers_.end() && found->second.incarnation == incarnation) {
      Kill(index);
    }
  });
}

auto DepartureFleet::Freeze(int index) -> void {
  routers_.at(index).is_frozen = true;
  routers_.at(index).frozen_at = now_;
}

auto DepartureFleet::Thaw(int index) -> void {
  const auto found = routers_.find(index);
  if (found == routers_.end()) return;
  auto& router = found->second;
  router.is_frozen = false;
  router.core->RecordPause(now_ - router.frozen_at, now_);
}

auto DepartureFleet::RecordRead() -> void {
  ++cost_.list_reads;
  const ReadGap gap{list_read_at_, now_ - list_read_at_};
  if (list_read_at_ != Time{} && gap.length > longest_read_gap_.length) {
    longest_read_gap_ = gap;
  }
  list_read_at_ = now_;
}

auto DepartureFleet::TakeLongestReadGap() -> ReadGap {
  return std::exchange(longest_read_gap_, {});
}

auto DepartureFleet::Tick(int index, int incarnation) -> void {
  const auto found = routers_.find(index);
  if (found == routers_.end()) return;
  auto& router = found->second;
  if (router.incarnation != incarnation) return;
  if (router.is_frozen) {
    At(kTick, [this, index, incarnation] { Tick(index, incarnation); });
    return;
  }
  router.core->ConfirmConfiguration(now_);
  if (!router.is_cut && !router.is_cut_from_store) {
    const auto period = router.core->RouterListPeriod(now_);
    if (now_ - router.routers_read_at > period) ReadRouters(index);
  }
  if (router.core->is_watcher(now_)) ReadOperatorRows(index);
  for (const auto& [message, recipients] :
       router.core->MakePeerMessages(now_)) {
    const auto bytes = EncodePeerMessage(message);
    for (const auto& address : recipients) {
      cost_.bytes += bytes.size();
      if (router.is_cut || random_.Uniform() < loss_) continue;
      At(kMessageLatency,
         [this, to = index_of_.at(address), bytes] { Deliver(to, bytes); });
    }
  }
  const auto demand = router.core->TakeListReadDemand();
  const auto is_retry_enough = router.is_retrying && demand &&
                               demand->reason != ListReadReason::kMissedNews;
  if (demand && !is_retry_enough) ScheduleRead(index, demand->delay);
  At(kTick, [this, index, incarnation] { Tick(index, incarnation); });
}

auto DepartureFleet::Deliver(int to, const std::string& bytes) -> void {
  const auto found = routers_.find(to);
  if (found == routers_.end()) return;
  if (found->second.is_cut || found->second.is_frozen) return;
  auto& core = *found->second.core;
  const auto message = DecodePeerMessage(bytes);
  if (const auto* report = std::get_if<PeerReport>(&*message)) {
    core.HandleReport(*report, now_);
  } else if (const auto* summary = std::get_if<FleetSummary>(&*message)) {
    core.HandleSummary(*summary, now_);
  } else if (const auto* statements = std::get_if<StatementReport>(&*message)) {
    core.HandleStatementReport(*statements, now_);
  }
}

auto DepartureFleet::ScheduleRead(int index, Duration delay) -> void {
  auto& router = routers_.at(index);
  if (router.read_due_at >= now_ && router.read_due_at <= now_ + delay) return;
  router.read_due_at = now_ + delay;
  const auto read = router.reads = ++reads_;
  At(delay, [this, index, read] {
    const auto found = routers_.find(index);
    // A later call has replaced this one.
    if (found == routers_.end() || found->second.reads != read) return;
    found->second.read_due_at = {};
    ReadTargets(index);
  });
}

auto DepartureFleet::ReadTargets(int index) -> void {
  const auto& router = routers_.at(index);
  if (router.is_frozen) return ScheduleRead(index, kTick);
  if (router.is_cut || router.is_cut_from_store) {
    routers_.at(index).core->RecordStoreFailure();
    routers_.at(index).is_retrying = true;
    const auto jitter = 0.5 + random_.Uniform();
    return ScheduleRead(index, Scale(kRetryDelay, jitter));
  }
  RecordRead();
  At(kReadLatency, [this, index, incarnation = routers_.at(index).incarnation,
                    rows = rows_, version = store_version_] {
    const auto found = routers_.find(index);
    if (found == routers_.end() || found->second.incarnation != incarnation) {
      return;
    }
    auto& core = *found->second.core;
    core.RecordStoreSuccess(now_);
    core.SetTargets(rows, version, now_);
    found->second.is_retrying = false;
  });
}

auto DepartureFleet::ReadOperatorRows(int index) -> void {
  auto& router = routers_.at(index);
  if (now_ - router.operator_rows_read_at < kWatchPeriod) return;
  router.operator_rows_read_at = now_;
  if (router.is_cut || router.is_cut_from_store) {
    return router.core->RecordStoreFailure();
  }
  std::vector<EvacuationRecord> rows;
  for (const auto& [data_center, record] : evacuated_) rows.push_back(record);
  At(kReadLatency, [this, index, incarnation = router.incarnation, rows,
                    version = store_version_] {
    const auto found = routers_.find(index);
    if (found == routers_.end() || found->second.incarnation != incarnation) {
      return;
    }
    found->second.core->RecordStoreSuccess(now_);
    found->second.core->SetEvacuated(rows, version, now_);
  });
}

auto DepartureFleet::SetEvacuated(int data_center, bool is_evacuated) -> void {
  ++store_version_;
  const auto id = DataCenter(data_center);
  if (is_evacuated) {
    evacuated_[id] = {id, store_version_, true};
  } else {
    evacuated_.erase(id);
  }
}

auto DepartureFleet::UsersOf(int data_center) const -> std::vector<int> {
  std::vector<int> users;
  const auto id = DataCenter(data_center);
  for (const auto& [index, router] : routers_) {
    const auto& serving = router.core->directory().Serving(PoolId("targets"));
    const auto is_used = std::any_of(
        serving.begin(), serving.end(),
        [&id](const TargetRow& row) { return row.data_center == id; });
    if (is_used) users.push_back(index);
  }
  return users;
}

auto DepartureFleet::NameAnyOf(const std::vector<int>& dead) const
    -> std::vector<int> {
  std::set<std::string> dead_addresses;
  for (const auto index : dead) {
    dead_addresses.insert("c" + addresses_[static_cast<std::size_t>(index)]);
  }
  std::vector<int> naming;
  for (const auto& [index, router] : routers_) {
    const auto named = router.core->CallerAddresses(
        DataCenter(index), "shop.example", "100.66.0.7", now_);
    const auto is_named =
        std::any_of(named.begin(), named.end(), [&](const auto& address) {
          return dead_addresses.count(address) != 0;
        });
    if (is_named) naming.push_back(index);
  }
  return naming;
}

auto DepartureFleet::Drain(int target) -> void {
  ++store_version_;
  const TargetId id("t" + std::to_string(target));
  for (auto& row : rows_) row.is_draining |= row.id == id;
}

auto DepartureFleet::Remove(int target) -> void {
  ++store_version_;
  const TargetId id("t" + std::to_string(target));
  std::erase_if(rows_, [&id](const TargetRow& row) { return row.id == id; });
}

auto DepartureFleet::Unaware(int target) const -> std::vector<int> {
  std::vector<int> unaware;
  const TargetId id("t" + std::to_string(target));
  for (const auto& [index, router] : routers_) {
    const auto& serving = router.core->directory().Serving(PoolId("targets"));
    const auto is_used =
        std::any_of(serving.begin(), serving.end(),
                    [&id](const TargetRow& row) { return row.id == id; });
    if (is_used) unaware.push_back(index);
  }
  return unaware;
}

auto DepartureFleet::Running() const -> std::vector<int> {
  std::vector<int> running;
  for (const auto& [index, router] : routers_) running.push_back(index);
  return running;
}

auto DepartureFleet::Watchers() const -> std::vector<int> {
  std::vector<int> watchers;
  for (const auto& [index, router] : routers_) {
    if (router.core->is_watcher(now_)) watchers.push_back(index);
  }
  return watchers;
}

auto DepartureFleet::Hubs() const -> std::vector<int> {
  std::vector<int> hubs;
  for (const auto& [index, router] : routers_) {
    if (router.core->exchange_role() == ExchangeRole::kHub) {
      hubs.push_back(index);
    }
  }
  return hubs;
}

}  // namespace papayaplank
