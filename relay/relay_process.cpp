// Construction of the relay's parts, periodic work, signals and shutdown.
#include "relay/relay_process.h"

#include <signal.h>
#include <time.h>
#include <unistd.h>

#include <boost/asio/signal_set.hpp>
#include <deque>

#include "relay/configuration_reader.h"
#include "relay/http_server.h"
#include "relay/info_service.h"
#include "relay/loop_watch.h"
#include "relay/peer_link.h"
#include "relay/quarantine_store.h"
#include "relay/relay_context.h"
#include "relay/relayed_request.h"
#include "relay/service_registry_reader.h"
#include "relay/store_health.h"

namespace papayaplank {
namespace {

// Interval of the reports to peers: several within the shortest latency
// objective of a route, so that routers see each other's attempts in time.
constexpr Duration kReportPeriod = milliseconds(100);
// Interval of time limit checks and of the load line in the log.
constexpr Duration kSweepPeriod = milliseconds(500);
// After a pause of the process this long, its data about peers and keys may be
// outdated.
constexpr Duration kMinReportedPause = milliseconds(700);
// Callers may cache this router's address for a while after it is no longer
// advertised, so a stopping router serves at least this long.
constexpr Duration kMinServeAfterStop = milliseconds(6500);
// Interval and number of the lines on this router's part in what limited
// targets get; the lines of one target cover all of its requests.
constexpr Duration kLimitSharePeriod = TargetLimits::kSendWindow;
constexpr std::size_t kMaxLimitShareLines = 32;
// Share of the usable descriptors that callers' connections may take.
constexpr double kCallerDescriptorShare = 0.6;
// Descriptors reserved for uses other than callers' connections. The rest of
// the limit is the usable ones, of which callers get their share.
constexpr int kReservedDescriptors = 260;
// Share of the instance's memory for what callers make the router hold. The
// rest is for the process itself, its connections, the configuration, and what
// the allocator loses.
constexpr double kBudgetShare = 0.35;
// Part of that, one over this, for what the clients of each other port make the
// router hold: their requests are short.
constexpr std::size_t kInfoBudgetParts = 32;

auto UnixMilliseconds() -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

auto ToMs(Duration duration) -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

// Time since boot. Unlike the monotonic clock, it includes the time for which
// the machine was suspended.
auto BootTime() -> Duration {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return std::chrono::duration_cast<Duration>(
      std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

auto CoreOptions(const RelaySettings& settings) -> GatewayOptions {
  GatewayOptions options;
  options.started_unix_ms = UnixMilliseconds();
  options.router = RouterId(settings.peer_listen + "#" +
                            std::to_string(options.started_unix_ms));
  options.peer_address = settings.peer_listen;
  options.caller_address = settings.caller_listen;
  options.data_center = DataCenterId(settings.data_center);
  options.regions = settings.regions;
  options.cores = settings.cores;
  options.revocation_bound = settings.revocation_bound;
  options.configuration_bound = settings.configuration_bound;
  options.cold = settings.cold;
  options.exits = settings.exits;
  options.stop_grace = settings.stop_grace;
  options.retries = RetryBound{settings.retry_ratio, settings.retry_slack,
                               settings.retry_window};
  options.seed = StableHash(options.router.value());
  return options;
}

// Owns all parts of the process; used on one thread only.
class RelayProcess {
 public:
  RelayProcess(const RelaySettings& settings,
               const std::function<std::string()>& on_reload)
      : settings_(settings),
        on_reload_(on_reload),
        budget_(static_cast<std::size_t>(
            static_cast<double>(settings.memory_limit) * kBudgetShare)),
        log_(STDOUT_FILENO, settings.name),
        core_(CoreOptions(settings)),
        target_connections_(io_),
        store_health_(core_, log_),
        exit_check_(io_, settings.store_address, core_, store_health_),
        context_{io_,
                 core_,
                 log_,
                 target_connections_,
                 request_metrics_,
                 permit_waits_,
                 [this] { peer_link_.SendPermitRequests(); },
                 [this](Time since) {
                   return loop_watch_.MayBeLate(since, MonotonicClock::now(),
                                                BootTime());
                 },
                 exit_check_,
                 budget_},
        caller_server_(
            io_, [this] { return Limits(); },
            [this](auto caller, auto request) {
              HandleRequest(std::move(caller), std::move(request));
            },
            budget_),
        readiness_server_(MakeInfoServer(AnswerDiscoveryRequest)),
        discovery_server_(MakeInfoServer(AnswerDiscoveryRequest)),
        metrics_server_(MakeInfoServer(AnswerMetricsRequest)),
        snapshot_server_(MakeInfoServer(AnswerSnapshotRequest)),
        peer_link_(
            io_, core_, log_,
            {[this](const DirectoryChange& change) {
               registry_reader_.ApplyTargetChange(change, "peer");
             },
             [this](PermitNonce nonce) { permit_waits_.Resume(nonce); }}),
        configuration_reader_(io_, settings.store_address, settings.name, core_,
                              store_health_, log_),
        registry_reader_(
            io_, settings.store_address,
            OwnRow{settings.name, RouterRow{settings.peer_listen,
                                            DataCenterId(settings.data_center),
                                            settings.cores}},
            core_, store_health_, target_connections_, log_),
        quarantine_store_(io_, settings.store_address, core_, store_health_,
                          log_),
        signals_(io_, SIGTERM, SIGINT, SIGHUP),
        report_timer_(io_),
        sweep_timer_(io_),
        stop_timer_(io_) {}

  auto Run() -> Outcome<Done>;

 private:
  using InfoHandler = void (*)(const InfoSources&,
                               const std::shared_ptr<HttpConnection>&,
                               const HttpServerRequest&);

  // Each has a small budget of its own: what one of them is sent must not give
  // up requests of callers.
  auto MakeInfoServer(InfoHandler answer) -> std::unique_ptr<HttpServer> {
    return std::make_unique<HttpServer>(
        io_, [] { return CallerLimits{}; },
        [this, answer](const auto& caller, const auto& request) {
          answer(info_sources_, caller, request);
        },
        info_budgets_.emplace_back(budget_.limit() / kInfoBudgetParts));
  }
  auto StoreCalls() const -> std::uint64_t {
    return configuration_reader_.calls() + registry_reader_.calls() +
           quarantine_store_.calls() + exit_check_.calls();
  }
  auto Limits() const -> CallerLimits {
    return core_.table() == nullptr ? CallerLimits{} : core_.table()->limits();
  }

  auto Listen() -> Outcome<Done>;
  auto HandleRequest(std::shared_ptr<HttpConnection> caller,
                     HttpServerRequest request) -> void;
  auto DetectPause(Time now) -> void;
  auto TickReports() -> void;
  auto TickSweep() -> void;
  auto UpdateAccepting(Time now) -> void;
  auto LogCrashes() -> void;
  auto LogBudget(Time now) -> void;
  auto LogEraChange() -> void;
  auto ApplyStatements() -> void;
  auto LogLimitShares(Time now) -> void;
  auto WaitForSignal() -> void;
  auto BeginStop() -> void;
  auto CheckStopped() -> void;
  // Ends what is still open, and the event loop.
  auto EndAll() -> void;

  RelaySettings settings_;
  std::function<std::string()> on_reload_;
  // Before `io_`, whose handlers own connections that count in it.
  MemoryBudget budget_;
  std::deque<MemoryBudget> info_budgets_;
  asio::io_context io_;
  EventLog log_;
  GatewayCore core_;
  TargetConnectionPool target_connections_;
  RequestMetrics request_metrics_;
  PermitWaits permit_waits_;
  StoreHealth store_health_;
  TargetExitCheck exit_check_;
  RelayContext context_;
  InfoSources info_sources_{context_, [this] { return StoreCalls(); }};
  HttpServer caller_server_;
  std::unique_ptr<HttpServer> readiness_server_;
  std::unique_ptr<HttpServer> discovery_server_;
  std::unique_ptr<HttpServer> metrics_server_;
  std::unique_ptr<HttpServer> snapshot_server_;
  PeerLink peer_link_;
  ConfigurationReader configuration_reader_;
  ServiceRegistryReader registry_reader_;
  QuarantineStore quarantine_store_;
  asio::signal_set signals_;
  asio::steady_timer report_timer_;
  asio::steady_timer sweep_timer_;
  asio::steady_timer stop_timer_;
  Time stop_began_at_{};
  bool is_accepting_ = true;
  Time last_tick_{};
  LoopWatch loop_watch_;
  Time limit_shares_logged_at_{};
  // Boot time minus monotonic time at the start or the last reported pause: the
  // time for which the machine had been suspended since its boot.
  Duration last_boot_offset_{};
};

auto RelayProcess::Listen() -> Outcome<Done> {
  const std::pair<HttpServer*, const std::string*> servers[] = {
      {&caller_server_, &settings_.caller_listen},
      {readiness_server_.get(), &settings_.ready_listen},
      {discovery_server_.get(), &settings_.directory_listen},
      {metrics_server_.get(), &settings_.metrics_listen},
      // Peer messages use the same address over UDP.
      {snapshot_server_.get(), &settings_.peer_listen}};
  for (const auto& [server, address] : servers) {
    if (address->empty()) continue;
    auto listening = server->Listen(*address);
    if (!IsOk(listening)) return listening;
  }
  return peer_link_.Listen(settings_.peer_listen);
}

auto RelayProcess::Run() -> Outcome<Done> {
  const auto usable = settings_.max_descriptors - kReservedDescriptors;
  caller_server_.set_max_connections(static_cast<std::size_t>(
      std::max(16.0, usable * kCallerDescriptorShare)));
  auto listening = Listen();
  if (!IsOk(listening)) return listening;
  last_tick_ = MonotonicClock::now();
  last_boot_offset_ = BootTime() - last_tick_.time_since_epoch();
  loop_watch_.Start(last_tick_, BootTime());
  WaitForSignal();
  configuration_reader_.SetQueryHook(
      [this] { peer_link_.SendQueries(MonotonicClock::now()); });
  configuration_reader_.SetTargetChangeHook(
      [this](const DirectoryChange& change) {
        registry_reader_.ApplyTargetChange(change, "snapshot");
      });
  configuration_reader_.Start();
  registry_reader_.Start();
  TickReports();
  TickSweep();
  log_.Write(LogClass::kState, "started",
             {{"callers", settings_.caller_listen},
              {"data_center", settings_.data_center},
              {"store", settings_.store_address}});
  io_.run();
  log_.Write(LogClass::kState, "stopped", {});
  return Done{};
}

auto RelayProcess::HandleRequest(std::shared_ptr<HttpConnection> caller,
                                 HttpServerRequest request) -> void {
  DetectPause(MonotonicClock::now());
  std::make_shared<RelayedRequest>(context_, std::move(caller),
                                   std::move(request))
      ->Start();
}

auto RelayProcess::DetectPause(Time now) -> void {
  const auto boot_offset = BootTime() - now.time_since_epoch();
  const auto suspended = boot_offset - last_boot_offset_;
  const auto late = now - last_tick_ - kReportPeriod;
  if (suspended < kMinReportedPause && late < kMinReportedPause) return;
  last_boot_offset_ = boot_offset;
  last_tick_ = now;
  core_.RecordPause(std::max<Duration>(suspended, late), now);
  log_.Write(LogClass::kState, "process_stood_still",
             {{"suspended_ms", suspended.count() / 1000},
              {"late_ms", late.count() / 1000}});
}

auto RelayProcess::TickReports() -> void {
  const auto now = MonotonicClock::now();
  loop_watch_.RecordTick(now, BootTime());
  DetectPause(now);
  core_.RecordLateness(std::max(Duration{}, now - last_tick_ - kReportPeriod),
                       now);
  last_tick_ = now;
  UpdateAccepting(now);
  peer_link_.SendMessages(now);
  if (const auto demand = core_.TakeListReadDemand()) {
    registry_reader_.ReadWhenDue(*demand);
  }
  LogCrashes();
  LogBudget(now);
  LogEraChange();
  ApplyStatements();
  quarantine_store_.Tick(now);
  report_timer_.expires_after(kReportPeriod);
  report_timer_.async_wait([this](error_code error) {
    if (!error) TickReports();
  });
}

auto RelayProcess::UpdateAccepting(Time now) -> void {
  const auto is_accepting = core_.is_accepting_connections(now);
  const auto changed = caller_server_.SetAccepting(is_accepting);
  if (!IsOk(changed)) {
    log_.Write(LogClass::kState, "gate_failed",
               {{"cause", ErrorOf(changed).message}});
  }
  if (is_accepting == is_accepting_) return;
  is_accepting_ = is_accepting;
  log_.Write(LogClass::kFailure, is_accepting ? "gate_opened" : "gate_closed",
             {{"lateness_ms", core_.load().lateness_ms()}});
}

auto RelayProcess::LogCrashes() -> void {
  for (const auto& crash : core_.TakeCrashes()) {
    const auto parts = EncodePartIds({crash.parts.begin(), crash.parts.end()});
    log_.Write(LogClass::kState, "target_crashed",
               {{"target", crash.target.value()}, {"starting_parts", parts}});
  }
  for (const auto& change : core_.TakeQuarantineChanges()) {
    log_.Write(LogClass::kState,
               change.is_quarantined ? "part_quarantined" : "part_released",
               {{"part", EncodePartId(change.part)},
                {"crashes", static_cast<std::int64_t>(change.crashes)},
                {"source", change.is_from_peer ? "peer" : "own"}});
  }
}

auto RelayProcess::LogBudget(Time now) -> void {
  budget_.Tick(now);
  for (const auto& change : budget_.TakeChanges()) {
    log_.Write(
        LogClass::kState,
        change.is_binding ? "memory_budget_reached" : "memory_budget_free",
        {{"held_bytes", static_cast<std::int64_t>(change.held)},
         {"limit_bytes", static_cast<std::int64_t>(change.limit)},
         {"given_up", static_cast<std::int64_t>(budget_.given_up())}});
  }
}

auto RelayProcess::LogEraChange() -> void {
  const auto change = core_.TakeEraChange();
  if (!change) return;
  const auto before = change->before.value();
  const auto now = change->now.value();
  log_.Write(
      LogClass::kState, "store_era_changed",
      {{"era", static_cast<std::int64_t>(now)},
       {"era_before", static_cast<std::int64_t>(before)},
       {"kind", now == before + 1 ? "next"
                : now > before    ? "skipped"
                                  : "fell"},
       {"source", change->is_from_peer ? "peer" : "store"},
       {"last_version_before", static_cast<std::int64_t>(change->last_version)},
       {"key_age_ms", ToMs(core_.key_age(MonotonicClock::now()))}});
}

auto RelayProcess::ApplyStatements() -> void {
  for (const auto& change : core_.TakePauseChanges()) {
    const auto is_over = change.pause <= Duration{};
    log_.Write(LogClass::kFailure,
               is_over ? "target_pause_ended" : "target_pausing",
               {{"target", change.target.value()},
                {"pause_ms", ToMs(change.pause)},
                {"held_back", static_cast<std::int64_t>(change.held_back)}});
  }
  for (const auto& departure : core_.TakeDepartures()) {
    target_connections_.CloseTarget(departure.target);
    log_.Write(LogClass::kState, "target_leaving",
               {{"target", departure.target.value()},
                {"source", departure.is_from_peer ? "peer" : "own"}});
  }
  for (const auto& change : core_.TakeEvacuationChanges()) {
    log_.Write(
        LogClass::kState,
        change.record.is_evacuated ? "data_center_evacuated"
                                   : "data_center_returned",
        {{"data_center", change.record.data_center.value()},
         {"store_version", static_cast<std::int64_t>(change.record.version)},
         {"source", change.is_from_peer ? "peer" : "store"}});
  }
  for (const auto& change : core_.TakeColdChanges()) {
    log_.Write(LogClass::kState,
               change.is_cold ? "target_cold" : "target_not_cold",
               {{"target", change.target.value()},
                {"cause", ColdCauseName(change.cause)},
                {"age_ms", ToMs(change.age)},
                {"left_ms", ToMs(change.left)},
                {"source", change.is_from_peer ? "peer" : "own"}});
  }
  for (const auto& change : core_.TakeLimitChanges()) {
    log_.Write(
        LogClass::kState, change.now ? "target_limited" : "target_limit_ended",
        {{"target", change.target.value()},
         {"limit_per_s", change.now.value_or(RequestRate{}).per_second},
         {"before_per_s", change.before.value_or(RequestRate{}).per_second},
         {"age_ms", ToMs(change.age)},
         {"source", change.is_from_peer ? "peer" : "own"}});
  }
}

auto RelayProcess::LogLimitShares(Time now) -> void {
  if (now - limit_shares_logged_at_ < kLimitSharePeriod) return;
  limit_shares_logged_at_ = now;
  const auto& guard = core_.target_guard();
  std::size_t lines = 0;
  for (const auto& limited : guard.limits().Limited(now)) {
    if (limited.sends == 0) continue;
    if (++lines > kMaxLimitShareLines) return;
    log_.Write(LogClass::kState, "limit_share",
               {{"target", limited.target.value()},
                {"limit_per_s", limited.limit.per_second},
                {"age_ms", ToMs(limited.age)},
                {"sends", static_cast<std::int64_t>(limited.sends)},
                {"window_ms", ToMs(TargetLimits::kSendWindow)},
                {"owner", guard.Owner(limited.target)}});
  }
}

auto RelayProcess::TickSweep() -> void {
  const auto now = MonotonicClock::now();
  caller_server_.CheckTimeouts(now);
  readiness_server_->CheckTimeouts(now);
  discovery_server_->CheckTimeouts(now);
  metrics_server_->CheckTimeouts(now);
  snapshot_server_->CheckTimeouts(now);
  target_connections_.CheckDeliveries(now);
  target_connections_.CloseExpired(now);
  LogLimitShares(now);
  log_.Write(
      LogClass::kRoutine, "load",
      {{"callers", static_cast<std::int64_t>(caller_server_.connections())},
       {"callers_refused", static_cast<std::int64_t>(caller_server_.refused())},
       {"open_requests",
        static_cast<std::int64_t>(context_.open_requests.size())},
       {"store_calls", static_cast<std::int64_t>(StoreCalls())},
       {"store_era",
        static_cast<std::int64_t>(core_.store_eras().current().value())},
       {"is_watcher", core_.is_watcher(now)},
       {"exchange_role", ExchangeRoleName(core_.exchange_role())},
       {"lateness_ms", core_.load().lateness_ms()},
       {"requests", static_cast<std::int64_t>(core_.counters().requests)},
       {"sends", static_cast<std::int64_t>(core_.counters().attempts)},
       {"routers", static_cast<std::int64_t>(core_.live_peers(now) + 1)},
       {"key_age_ms", core_.key_age(now).count() / 1000}});
  sweep_timer_.expires_after(kSweepPeriod);
  sweep_timer_.async_wait([this](error_code error) {
    if (!error) TickSweep();
  });
}

auto RelayProcess::WaitForSignal() -> void {
  signals_.async_wait([this](error_code error, int signal_number) {
    if (error) return;
    if (signal_number == SIGHUP) {
      const auto outcome = on_reload_();
      log_.Write(LogClass::kState, "reload", {{"outcome", outcome}});
    } else {
      BeginStop();
    }
    WaitForSignal();
  });
}

auto RelayProcess::BeginStop() -> void {
  if (core_.is_leaving()) return;
  stop_began_at_ = MonotonicClock::now();
  core_.BeginStop(stop_began_at_);
  registry_reader_.Deregister();
  caller_server_.CloseAfterAnswers();
  peer_link_.SendMessages(stop_began_at_);
  log_.Write(LogClass::kState, "stopping",
             {{"open_requests",
               static_cast<std::int64_t>(context_.open_requests.size())}});
  CheckStopped();
}

auto RelayProcess::CheckStopped() -> void {
  const auto now = MonotonicClock::now();
  const auto is_over = now >= core_.stop_window().closes_at();
  const auto is_idle =
      context_.open_requests.empty() && !caller_server_.HasPendingMessages();
  if (is_over || (is_idle && now - stop_began_at_ > kMinServeAfterStop)) {
    return EndAll();
  }
  stop_timer_.expires_after(kReportPeriod);
  stop_timer_.async_wait([this](error_code error) {
    if (!error) CheckStopped();
  });
}

auto RelayProcess::EndAll() -> void {
  // The end of a request removes it from the set.
  const auto open = context_.open_requests;
  for (auto* request : open) {
    if (context_.open_requests.count(request) != 0) request->EndForStop();
  }
  caller_server_.CloseAll();
  io_.stop();
}

}  // namespace

auto RunRelay(const RelaySettings& settings,
              const std::function<std::string()>& on_reload) -> Outcome<Done> {
  signal(SIGPIPE, SIG_IGN);
  RelayProcess process(settings, on_reload);
  return process.Run();
}

}  // namespace papayaplank
