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
// Of an answer of the store that comes late.
constexpr Duration kLongestLatency = seconds(3);
// Within which the operator and the targets write again.
constexpr Duration kWriteAgainTime = seconds(2);
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
    row.version = store_.version;
    store_.targets[row.id] = wanted_targets_[row.id] = row;
  }
  copies_.emplace_back(now_, store_);
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
  recent_reads_.push_back(now_);
  while (now_ - recent_reads_.front() > seconds(1)) recent_reads_.pop_front();
  cost_.most_reads =
      std::max(cost_.most_reads, static_cast<int>(recent_reads_.size()));
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
  const auto& eras = router.core->store_eras();
  const auto is_era_list_due = eras.changes() > 0 && !eras.IsSettling(now_) &&
                               router.settled_era != eras.current();
  if (router.core->is_watcher(now_) || is_era_list_due) ReadOperatorRows(index);
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
                               demand->reason != ListReadReason::kMissedNews &&
                               demand->reason != ListReadReason::kNewEra;
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
  if (!IsReachable(router)) {
    routers_.at(index).core->RecordStoreFailure();
    routers_.at(index).is_retrying = true;
    const auto jitter = 0.5 + random_.Uniform();
    return ScheduleRead(index, Scale(kRetryDelay, jitter));
  }
  RecordRead();
  std::vector<TargetRow> rows;
  for (const auto& [id, row] : store_.targets) rows.push_back(row);
  At(ReadLatency(), [this, index, incarnation = routers_.at(index).incarnation,
                     rows, version = store_.version, era = era_,
                     sent_at = now_] {
    const auto found = routers_.find(index);
    if (found == routers_.end() || found->second.incarnation != incarnation) {
      return;
    }
    auto& core = *found->second.core;
    if (!core.RecordStoreEra(era, sent_at, now_)) {
      return ScheduleRead(index, kRetryDelay);
    }
    core.RecordStoreVersion(version);
    core.RecordStoreSuccess(now_);
    core.SetTargets(rows, version, now_);
    found->second.is_retrying = false;
  });
}

auto DepartureFleet::ReadOperatorRows(int index) -> void {
  auto& router = routers_.at(index);
  if (now_ - router.operator_rows_read_at < kWatchPeriod) return;
  router.operator_rows_read_at = now_;
  if (!IsReachable(router)) return router.core->RecordStoreFailure();
  std::vector<EvacuationRecord> rows;
  for (const auto& [id, record] : store_.evacuated) rows.push_back(record);
  At(ReadLatency(), [this, index, incarnation = router.incarnation, rows,
                     version = store_.version, era = era_, sent_at = now_] {
    const auto found = routers_.find(index);
    if (found == routers_.end() || found->second.incarnation != incarnation) {
      return;
    }
    auto& core = *found->second.core;
    if (!core.RecordStoreEra(era, sent_at, now_)) return;
    core.RecordStoreVersion(version);
    core.RecordStoreSuccess(now_);
    core.SetEvacuated(rows, version, now_);
    if (!core.store_eras().IsSettling(sent_at)) {
      found->second.settled_era = era;
    }
  });
}

auto DepartureFleet::ReadLatency() -> Duration {
  // Without a share nothing is drawn: the seeds of other tests stay as they
  // are.
  if (late_share_ <= 0 || random_.Uniform() >= late_share_) {
    return kReadLatency;
  }
  return Scale(kLongestLatency, random_.Uniform());
}

auto DepartureFleet::WriteTarget(const TargetId& target) -> void {
  if (is_store_away_) return;  // Written once it is back.
  const auto wanted = wanted_targets_.find(target);
  ++store_.version;
  if (wanted == wanted_targets_.end()) {
    store_.targets.erase(target);
  } else {
    auto& row = store_.targets[target] = wanted->second;
    row.version = store_.version;
  }
  copies_.emplace_back(now_, store_);
}

auto DepartureFleet::WriteEvacuation(const DataCenterId& data_center) -> void {
  if (is_store_away_) return;
  ++store_.version;
  if (wanted_evacuated_.count(data_center) != 0) {
    store_.evacuated[data_center] = {data_center, store_.version, true};
  } else {
    store_.evacuated.erase(data_center);
  }
  copies_.emplace_back(now_, store_);
}

auto DepartureFleet::ReturnFromCopy(Duration away, Duration age) -> void {
  const auto copied_at = now_ - age;
  const auto later = std::find_if(
      copies_.begin(), copies_.end(),
      [copied_at](const auto& each) { return each.first > copied_at; });
  const auto copy = later == copies_.begin() ? *later : *std::prev(later);
  is_store_away_ = true;
  At(away, [this, copy] {
    is_store_away_ = false;
    store_ = copy.second;
    copies_ = {{now_, store_}};
    era_ = StoreEra(era_.value() + 1);
    WriteAgain();
  });
}

auto DepartureFleet::WriteAgain() -> void {
  const auto within = [this] {
    return Scale(kWriteAgainTime, random_.Uniform());
  };
  std::set<TargetId> targets;
  for (const auto& [id, row] : store_.targets) targets.insert(id);
  for (const auto& [id, row] : wanted_targets_) targets.insert(id);
  for (const auto& id : targets) {
    At(within(), [this, id] { WriteTarget(id); });
  }
  for (int i = 0; i < kDataCenters; ++i) {
    At(within(), [this, i] { WriteEvacuation(DataCenter(i)); });
  }
}

auto DepartureFleet::SetEvacuated(int data_center, bool is_evacuated) -> void {
  const auto id = DataCenter(data_center);
  if (is_evacuated) {
    wanted_evacuated_.insert(id);
  } else {
    wanted_evacuated_.erase(id);
  }
  WriteEvacuation(id);
}

auto DepartureFleet::IsUsable(int target) const -> bool {
  const auto found =
      wanted_targets_.find(TargetId("t" + std::to_string(target)));
  return found != wanted_targets_.end() && !found->second.is_draining &&
         wanted_evacuated_.count(found->second.data_center) == 0;
}

auto DepartureFleet::Connected() const -> std::vector<int> {
  std::vector<int> connected;
  for (const auto& [index, router] : routers_) {
    if (IsReachable(router)) connected.push_back(index);
  }
  return connected;
}

auto DepartureFleet::Join(int target) -> void {
  TargetRow row;
  row.id = TargetId("t" + std::to_string(target));
  row.address = "127.0.0.1:" + std::to_string(9000 + target);
  row.pool = PoolId("targets");
  row.data_center = DataCenter(target);
  row.started_unix_ms = ++target_starts_;
  wanted_targets_[row.id] = row;
  WriteTarget(row.id);
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
  const TargetId id("t" + std::to_string(target));
  const auto found = wanted_targets_.find(id);
  if (found == wanted_targets_.end()) return;
  found->second.is_draining = true;
  WriteTarget(id);
}

auto DepartureFleet::Remove(int target) -> void {
  const TargetId id("t" + std::to_string(target));
  wanted_targets_.erase(id);
  WriteTarget(id);
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
