// Wiring of the relay's parts, timers and signals.
#include "relay/relay_process.h"

#include <signal.h>
#include <time.h>
#include <unistd.h>

#include <boost/asio/signal_set.hpp>

#include "relay/configuration_reader.h"
#include "relay/exchange.h"
#include "relay/http_server.h"
#include "relay/info_service.h"
#include "relay/listing_reader.h"
#include "relay/peer_link.h"
#include "relay/relay_context.h"
#include "relay/store_contact.h"

namespace papayaplank {
namespace {

// Period of the reports to peers; source: several within the shortest
// objective of a route, so that routers see each other's sends.
constexpr Duration kReportPeriod = milliseconds(100);
constexpr Duration kSweepPeriod = milliseconds(500);
// A stand-still of the process that makes its knowledge doubtful.
constexpr Duration kPauseLimit = milliseconds(700);
// Callers may hold this router's address for a while after it has left the
// answers, so it serves on for this long.
constexpr Duration kMinServeAfterStop = milliseconds(6500);
// Time before the kill at which everything is closed.
constexpr Duration kStopMargin = milliseconds(400);
// Share of the descriptors that callers may use.
constexpr double kCallerDescriptorShare = 0.6;
constexpr int kReservedDescriptors = 260;

auto UnixMilliseconds() -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// Unlike the monotonic clock it goes on while the machine is suspended.
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
  options.revocation_bound = settings.revocation_bound;
  options.stop_grace = settings.stop_grace;
  options.retries = RetryBound{settings.retry_ratio, settings.retry_slack,
                               settings.retry_window};
  options.seed = StableHash(options.router.value());
  return options;
}

// All parts of the process; lives on the task.
class RelayProcess {
 public:
  RelayProcess(const RelaySettings& settings,
               const std::function<std::string()>& on_reload)
      : settings_(settings),
        on_reload_(on_reload),
        log_(STDOUT_FILENO, settings.name),
        core_(CoreOptions(settings)),
        pool_(io_),
        context_{io_, core_, log_, pool_, request_metrics_},
        callers_(
            io_, [this] { return Limits(); },
            [this](auto caller, auto request) {
              TakeRequest(std::move(caller), std::move(request));
            }),
        ready_(MakeInfoServer(AnswerEntryRequest)),
        directory_(MakeInfoServer(AnswerEntryRequest)),
        metrics_(MakeInfoServer(AnswerMetricsRequest)),
        snapshots_(MakeInfoServer(AnswerSnapshotRequest)),
        peers_(io_, core_, log_,
               [this](const DirectoryChange& change) {
                 listings_.TakeChange(change);
               }),
        contact_(core_, log_),
        configuration_(io_, settings.store_address, settings.name, core_,
                       contact_, log_),
        listings_(io_, settings.store_address,
                  OwnRow{settings.name, RouterRow{settings.peer_listen}}, core_,
                  contact_, pool_, log_),
        signals_(io_, SIGTERM, SIGINT, SIGHUP),
        report_timer_(io_),
        sweep_timer_(io_),
        stop_timer_(io_) {}

  auto Run() -> Outcome<Done>;

 private:
  using InfoAnswer = void (*)(const InfoSources&,
                              const std::shared_ptr<HttpConnection>&,
                              const HttpServerRequest&);

  auto MakeInfoServer(InfoAnswer answer) -> std::unique_ptr<HttpServer> {
    return std::make_unique<HttpServer>(
        io_, [] { return CallerLimits{}; },
        [this, answer](const auto& caller, const auto& request) {
          answer(info_sources_, caller, request);
        });
  }
  auto StoreCalls() const -> std::uint64_t {
    return configuration_.calls() + listings_.calls();
  }
  auto Limits() const -> CallerLimits {
    return core_.table() == nullptr ? CallerLimits{} : core_.table()->limits();
  }

  auto Listen() -> Outcome<Done>;
  auto TakeRequest(std::shared_ptr<HttpConnection> caller,
                   HttpServerRequest request) -> void;
  auto CheckPause(Time now) -> void;
  auto TickReports() -> void;
  auto TickSweep() -> void;
  auto UpdateGate(Time now) -> void;
  auto WaitForSignal() -> void;
  auto BeginStop() -> void;
  auto CheckStopped() -> void;

  RelaySettings settings_;
  std::function<std::string()> on_reload_;
  asio::io_context io_;
  EventLog log_;
  GatewayCore core_;
  TargetPool pool_;
  RequestMetrics request_metrics_;
  RelayContext context_;
  InfoSources info_sources_{context_, [this] { return StoreCalls(); }};
  HttpServer callers_;
  std::unique_ptr<HttpServer> ready_;
  std::unique_ptr<HttpServer> directory_;
  std::unique_ptr<HttpServer> metrics_;
  std::unique_ptr<HttpServer> snapshots_;
  PeerLink peers_;
  StoreContact contact_;
  ConfigurationReader configuration_;
  ListingReader listings_;
  asio::signal_set signals_;
  asio::steady_timer report_timer_;
  asio::steady_timer sweep_timer_;
  asio::steady_timer stop_timer_;
  Time stop_began_at_{};
  bool is_gate_open_ = true;
  Time last_tick_{};
  Duration last_boot_offset_{};
};

auto RelayProcess::Listen() -> Outcome<Done> {
  const std::pair<HttpServer*, const std::string*> servers[] = {
      {&callers_, &settings_.caller_listen},
      {ready_.get(), &settings_.ready_listen},
      {directory_.get(), &settings_.directory_listen},
      {metrics_.get(), &settings_.metrics_listen},
      // Reports use the same address with datagrams.
      {snapshots_.get(), &settings_.peer_listen}};
  for (const auto& [server, address] : servers) {
    if (address->empty()) continue;
    auto listening = server->Listen(*address);
    if (!IsOk(listening)) return listening;
  }
  return peers_.Listen(settings_.peer_listen);
}

auto RelayProcess::Run() -> Outcome<Done> {
  const auto usable = settings_.max_descriptors - kReservedDescriptors;
  callers_.set_max_connections(static_cast<std::size_t>(
      std::max(16.0, usable * kCallerDescriptorShare)));
  auto listening = Listen();
  if (!IsOk(listening)) return listening;
  last_tick_ = MonotonicClock::now();
  last_boot_offset_ = BootTime() - last_tick_.time_since_epoch();
  WaitForSignal();
  configuration_.SetQueryHook(
      [this] { peers_.SendQueries(MonotonicClock::now()); });
  configuration_.SetChangeHook(
      [this](const DirectoryChange& change) { listings_.TakeChange(change); });
  configuration_.Start();
  listings_.Start();
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

auto RelayProcess::TakeRequest(std::shared_ptr<HttpConnection> caller,
                               HttpServerRequest request) -> void {
  CheckPause(MonotonicClock::now());
  std::make_shared<Exchange>(context_, std::move(caller), std::move(request))
      ->Start();
}

auto RelayProcess::CheckPause(Time now) -> void {
  const auto boot_offset = BootTime() - now.time_since_epoch();
  const auto suspended = boot_offset - last_boot_offset_;
  const auto late = now - last_tick_ - kReportPeriod;
  if (suspended < kPauseLimit && late < kPauseLimit) return;
  last_boot_offset_ = boot_offset;
  last_tick_ = now;
  core_.RecordPause(now);
  log_.Write(LogClass::kState, "process_stood_still",
             {{"suspended_ms", suspended.count() / 1000},
              {"late_ms", late.count() / 1000}});
}

auto RelayProcess::TickReports() -> void {
  const auto now = MonotonicClock::now();
  CheckPause(now);
  core_.RecordLateness(std::max(Duration{}, now - last_tick_ - kReportPeriod),
                       now);
  last_tick_ = now;
  UpdateGate(now);
  peers_.SendReports(now);
  report_timer_.expires_after(kReportPeriod);
  report_timer_.async_wait([this](error_code error) {
    if (!error) TickReports();
  });
}

auto RelayProcess::UpdateGate(Time now) -> void {
  const auto is_open = core_.is_accepting_connections(now);
  const auto accepting = callers_.SetAccepting(is_open);
  if (!IsOk(accepting)) {
    log_.Write(LogClass::kState, "gate_failed",
               {{"cause", ErrorOf(accepting).message}});
  }
  if (is_open == is_gate_open_) return;
  is_gate_open_ = is_open;
  log_.Write(LogClass::kFailure, is_open ? "gate_opened" : "gate_closed",
             {{"lateness_ms", core_.load().lateness_ms()}});
}

auto RelayProcess::TickSweep() -> void {
  const auto now = MonotonicClock::now();
  callers_.CheckTimeouts(now);
  ready_->CheckTimeouts(now);
  directory_->CheckTimeouts(now);
  metrics_->CheckTimeouts(now);
  snapshots_->CheckTimeouts(now);
  pool_.CloseExpired(now);
  log_.Write(
      LogClass::kRoutine, "load",
      {{"callers", static_cast<std::int64_t>(callers_.connections())},
       {"callers_refused", static_cast<std::int64_t>(callers_.refused())},
       {"open_requests", static_cast<std::int64_t>(context_.open_exchanges)},
       {"store_calls", static_cast<std::int64_t>(StoreCalls())},
       {"is_watcher", core_.is_watcher(now)},
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
  listings_.Leave();
  callers_.CloseAfterAnswers();
  peers_.SendReports(stop_began_at_);
  log_.Write(
      LogClass::kState, "stopping",
      {{"open_requests", static_cast<std::int64_t>(context_.open_exchanges)}});
  CheckStopped();
}

auto RelayProcess::CheckStopped() -> void {
  const auto elapsed = MonotonicClock::now() - stop_began_at_;
  const auto is_idle = context_.open_exchanges == 0;
  const auto is_over = elapsed > settings_.stop_grace - kStopMargin;
  if (is_over || (is_idle && elapsed > kMinServeAfterStop)) {
    callers_.CloseAll();
    io_.stop();
    return;
  }
  stop_timer_.expires_after(kReportPeriod);
  stop_timer_.async_wait([this](error_code error) {
    if (!error) CheckStopped();
  });
}

}  // namespace

auto RunRelay(const RelaySettings& settings,
              const std::function<std::string()>& on_reload) -> Outcome<Done> {
  signal(SIGPIPE, SIG_IGN);
  RelayProcess process(settings, on_reload);
  return process.Run();
}

}  // namespace papayaplank
