// Wiring of the tasks of a router.
#include "tasks/router_process.h"

#include <glog/logging.h>

#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "metrics/metrics.h"
#include "tasks/claim_task.h"
#include "tasks/configuration_task.h"
#include "tasks/core_task.h"
#include "tasks/instance_task.h"
#include "tasks/operator_service.h"

namespace papayaplank {
namespace {

using Json = nlohmann::json;

constexpr int kNotFound = 404;
constexpr int kBadRequest = 400;
constexpr int kOk = 200;
constexpr int kUnauthorized = 401;
constexpr int kNotReady = 503;
constexpr std::size_t kNonceBytes = 4;
constexpr std::size_t kSeedBytes = 16;
constexpr std::size_t kPrefixBytes = 256;
constexpr Duration kStopPoll = milliseconds(50);
constexpr Duration kPeerTimeout = seconds(5);

auto Seconds(Duration duration) -> double {
  return std::chrono::duration<double>(duration).count();
}

auto FailLocally(Exchange& exchange, int status, const std::string& type,
                 const std::string& message) -> void {
  AnswerHead head;
  head.status = status;
  head.headers = {{"Content-Type", "application/json"},
                  {"X-Papayaplank-Ran", "no"}};
  exchange.Answer(std::move(head),
                  ErrorBody(exchange.id(), type, message, "no"));
}

}  // namespace

// All tasks. Members are destroyed in the opposite order: servers first.
class RouterProcess::Parts {
 public:
  explicit Parts(const RouterSettings& settings) : settings_(settings) {}

  ~Parts() {
    if (!core_) return;
    callers_.reset();
    operators_.reset();
    core_->Stop();
    instances_.reset();
    claims_.reset();
    configuration_.reset();
    targets_.reset();
    gossip_.reset();
    core_.reset();
  }

  auto Start() -> Outcome<Done> {
    const auto nonce = RandomHex(kNonceBytes);
    const auto seed = StableHash(RandomHex(kSeedBytes));
    Member self;
    self.id = RouterId(settings_.name + "#" + nonce);
    self.gossip_address = settings_.gossip_address;
    self.caller_address = settings_.caller_address;
    self.peer_address = settings_.operator_address;
    self.data_center = settings_.data_center;
    self.region = settings_.region;
    core_ = std::make_unique<CoreTask>(self, settings_.router, seed,
                                       CoreHooks(), metrics_);
    StartTargets();
    auto gossip = OpenGossip(seed);
    if (!IsOk(gossip)) return gossip;
    StartPlatform();
    core_->Post(CoreInput(InstanceListReceived{{}, settings_.seeds}));
    core_->Start();
    auto operators = OpenOperators();
    if (!IsOk(operators)) return operators;
    auto callers = OpenCallers();
    if (!IsOk(callers)) return callers;
    LOG(INFO) << "event=started router=" << self.id
              << " callers=" << settings_.caller_address
              << " data_center=" << settings_.data_center;
    return Done{};
  }

  auto Stop() -> void {
    LOG(INFO) << "event=stopping drain_seconds="
              << Seconds(settings_.drain_time);
    core_->Post(CoreInput(StopRequested{}));
    callers_->BeginClosing();
    is_ready_ = false;
    std::this_thread::sleep_for(settings_.drain_time);
    callers_->StopListening();
    const auto give_up = MonotonicClock::now() + settings_.stop_limit;
    const auto count = [](const RouterCore& core) {
      return core.open_requests();
    };
    for (;;) {
      const auto open = core_->Ask<std::size_t>(count);
      // Answers that are complete here may still be on their way out.
      if (open == 0 && callers_->open_connections() == 0) break;
      if (MonotonicClock::now() >= give_up) {
        LOG(WARNING) << "event=stop_limit open_requests=" << open;
        break;
      }
      std::this_thread::sleep_for(kStopPoll);
    }
    LOG(INFO) << "event=stopped";
  }

 private:
  auto CoreHooks() -> CoreTaskHooks {
    CoreTaskHooks hooks;
    hooks.start_attempt = [this](TargetRequest request) {
      targets_->Start(std::move(request));
    };
    hooks.cancel_attempt = [this](const RequestId& id, int attempt) {
      targets_->Cancel(id, attempt);
    };
    hooks.claim = [this](const ClaimKey& claim) { claims_->Claim(claim); };
    hooks.store_outcome = [this](const StoreOutcome& outcome,
                                 const RecordedAnswer& answer) {
      claims_->Store({outcome.key, outcome.id, answer.status,
                      answer.content_type + "\n" + answer.body});
    };
    hooks.release_claim = [this](const ReleaseClaim& claim) {
      claims_->Release({claim.key, claim.id});
    };
    hooks.send_peer = [this](const std::string& address, std::string bytes) {
      gossip_->Send(address, std::move(bytes));
    };
    hooks.fetch_configuration = [this](const FetchConfiguration& fetch) {
      configuration_->Fetch(fetch.version, fetch.peer_address);
    };
    return hooks;
  }

  auto StartTargets() -> void {
    TargetClientOptions options;
    options.progress_timeout = settings_.progress_timeout;
    options.objective = settings_.router.objective;
    TargetClientHooks hooks;
    hooks.on_progress = [this](const TargetProgress& progress) {
      core_->Post(
          CoreInput(AttemptProgress{progress.id, progress.attempt,
                                    progress.new_tokens, progress.latency}));
    };
    hooks.on_end = [this](const RequestId& id, int attempt,
                          const AttemptReport& report) {
      core_->Post(CoreInput(AttemptEnded{id, attempt, report}));
    };
    hooks.on_first_byte = [this](const TargetRequest& request, Duration wait) {
      metrics_.Observe(Measure::kFirstByte, request.customer,
                       request.request_class, Seconds(wait));
    };
    hooks.on_chunk_gap = [this](const TargetRequest& request, Duration gap) {
      metrics_.Observe(Measure::kChunkGap, request.customer,
                       request.request_class, Seconds(gap));
    };
    hooks.on_leaving = [this](const TargetId& target) {
      core_->Post(CoreInput(TargetLeaving{target}));
    };
    targets_ = std::make_unique<TargetClient>(options, std::move(hooks));
  }

  auto OpenGossip(std::uint64_t nonce) -> Outcome<Done> {
    auto opened = GossipSocket::Open(
        settings_.gossip_address, DatagramGuard(settings_.fleet_key, nonce),
        [this](const std::string& from, const std::string& body) {
          auto message = DecodePeerMessage(body);
          if (!IsOk(message)) {
            metrics_.IncrementCounter("papayaplank_bad_peer_messages_total",
                                      {});
            return;
          }
          core_->Post(CoreInput(
              PeerMessageReceived{from, std::move(ValueOf(message))}));
        });
    if (!IsOk(opened)) return ErrorOf(opened);
    gossip_ = std::move(ValueOf(opened));
    return Done{};
  }

  auto StartPlatform() -> void {
    ConfigurationTaskHooks hooks;
    hooks.on_in_force = [this](ConfigVersion version) {
      core_->Post(CoreInput(ConfigApplied{version}));
    };
    hooks.fetch_from_peer =
        [this](const std::string& address) -> Outcome<std::string> {
      auto answer = CallOperatorPort(address, settings_.fleet_key, "snapshot",
                                     "", kPeerTimeout);
      if (answer.is_ok) return std::move(answer.result);
      return Error{ErrorCode::kUnavailable, answer.error};
    };
    hooks.router_count = [this] {
      return core_->Ask<std::size_t>(
          [](const RouterCore& core) { return core.Members().size(); });
    };
    configuration_ = std::make_unique<ConfigurationTask>(
        ConfigurationStore(
            TableClient(settings_.table_address, MakeHttpFetch()),
            ObjectClient(settings_.object_address, MakeHttpFetch())),
        std::move(hooks));
    claims_ = std::make_unique<ClaimTask>(
        ClaimStore(TableClient(settings_.table_address, MakeHttpFetch())),
        [this](const ClaimResolved& resolved) {
          core_->Post(CoreInput(resolved));
        });
    instances_ = std::make_unique<InstanceTask>(
        InstanceListClient(settings_.instance_list_address,
                           settings_.data_center, MakeHttpFetch()),
        [this](InstanceList list) {
          for (const auto& seed : settings_.seeds) {
            list.gossip_addresses.push_back(seed);
          }
          has_instances_ = true;
          core_->Post(CoreInput(InstanceListReceived{
              std::move(list.targets), std::move(list.gossip_addresses)}));
        });
  }

  auto OpenOperators() -> Outcome<Done> {
    OperatorServiceParts parts{*core_, *configuration_, metrics_,
                               [this] { RefreshMetrics(); },
                               [this] { return IsReady(); }};
    auto opened =
        OperatorService::Open({settings_.operator_address,
                               settings_.operator_key, settings_.fleet_key},
                              std::move(parts));
    if (!IsOk(opened)) return ErrorOf(opened);
    operators_ = std::move(ValueOf(opened));
    return Done{};
  }

  auto IsReady() const -> bool {
    return is_ready_ && has_instances_ &&
           !configuration_->Current()->version().is_empty();
  }

  auto RefreshMetrics() -> void {
    const auto gossip = gossip_->counters();
    const auto set = [this](const std::string& name, double value) {
      metrics_.SetValue("papayaplank_" + name, {}, value);
    };
    set("peer_datagrams_sent_total", static_cast<double>(gossip.sent));
    set("peer_bytes_sent_total", static_cast<double>(gossip.sent_bytes));
    set("peer_datagrams_received_total", static_cast<double>(gossip.received));
    set("peer_bytes_received_total",
        static_cast<double>(gossip.received_bytes));
    set("peer_datagrams_rejected_total", static_cast<double>(gossip.rejected));
    const auto version = configuration_->Current()->version().value();
    set("configuration_version", static_cast<double>(version));
    set("configuration_unconfirmed_seconds",
        Seconds(configuration_->unconfirmed_for()));
    const auto counters = core_->Ask<CoreCounters>(
        [](const RouterCore& core) { return core.counters(); });
    set("requests_admitted_total", static_cast<double>(counters.admitted));
    set("attempts_started_total", static_cast<double>(counters.started));
    set("requests_completed_total", static_cast<double>(counters.completed));
    set("requests_failed_total", static_cast<double>(counters.failed));
    set("requests_cancelled_total", static_cast<double>(counters.cancelled));
    set("retries_total", static_cast<double>(counters.retries));
    set("streams_resumed_total", static_cast<double>(counters.resumed));
    set("streams_preempted_total", static_cast<double>(counters.preempted));
    set("slot_updates_sent_total", static_cast<double>(counters.slots_lent));
    set("pauses_total", static_cast<double>(counters.pauses));
    RefreshPoolMetrics();
  }

  auto RefreshPoolMetrics() -> void {
    const auto pools = core_->Ask<std::vector<PoolStatus>>(
        [](const RouterCore& core) { return core.Pools(); });
    for (const auto& pool : pools) {
      const std::vector<MetricLabel> labels = {{"pool", pool.pool.value()}};
      const auto set = [&](const std::string& name, double value) {
        metrics_.SetValue("papayaplank_pool_" + name, labels, value);
      };
      set("waiting_interactive", pool.backlog.interactive);
      set("waiting_batch", pool.backlog.batch);
      set("running", pool.running);
      set("free_slots", pool.free_slots);
      set("virtual_time", pool.virtual_time.value);
    }
  }

  auto OpenCallers() -> Outcome<Done> {
    CallerServerHooks hooks;
    hooks.authenticate = [this](const std::string& key) {
      return configuration_->Current()->FindByKeyHash(Sha256Hex(key));
    };
    hooks.on_request = [this](CallerRequest request) {
      TakeRequest(std::move(request));
    };
    hooks.on_cancel = [this](const RequestId& id) {
      core_->Post(CoreInput(RequestCancelled{id}));
    };
    hooks.answer_locally = [this](const HttpCall& call,
                                  const Customer* customer) {
      return AnswerLocally(call, customer);
    };
    CallerServerOptions options;
    options.address = settings_.caller_address;
    auto opened = CallerServer::Open(options, std::move(hooks));
    if (!IsOk(opened)) return ErrorOf(opened);
    callers_ = std::move(ValueOf(opened));
    return Done{};
  }

  auto AnswerLocally(const HttpCall& call, const Customer* customer)
      -> HttpAnswer {
    if (call.path == "/healthz") return {kOk, "text/plain", "ok\n"};
    if (call.path == "/readyz") {
      const auto is_ready = IsReady();
      return {is_ready ? kOk : kNotReady, "text/plain",
              is_ready ? "ready\n" : "not ready\n"};
    }
    if (call.path != "/v1/addresses") return {0, "", ""};
    if (customer == nullptr) {
      return {kUnauthorized, "application/json",
              ErrorBody(RequestId(), "unauthorized", "unknown API key", "no")};
    }
    return AnswerAddresses(call, *customer);
  }

  auto AnswerAddresses(const HttpCall& call, const Customer& customer)
      -> HttpAnswer {
    const auto found = call.query.find("data_center");
    const auto near = found == call.query.end() ? settings_.data_center
                                                : DataCenterId(found->second);
    const auto id = customer.id;
    const auto homes =
        core_->Ask<std::vector<Member>>([id, near](const RouterCore& core) {
          return core.HomeRouters(id, near);
        });
    auto addresses = Json::array();
    for (const auto& home : homes) addresses.push_back(home.caller_address);
    const Json answer = {{"addresses", std::move(addresses)},
                         {"keep_seconds", settings_.address_lifetime.count()}};
    return {kOk, "application/json", answer.dump() + "\n"};
  }

  auto TakeRequest(CallerRequest caller) -> void {
    const auto path = caller.path.substr(0, caller.path.find('?'));
    const auto* request_class =
        MatchClass(*caller.customer, caller.method, path, caller.class_header);
    if (request_class == nullptr) {
      return FailLocally(*caller.exchange, kNotFound, "no_class",
                         "no request class of the customer's template matches "
                         "this method, path and X-Papayaplank-Class");
    }
    auto pool = request_class->pool;
    if (pool.is_empty()) {
      const auto body = Json::parse(*caller.body, nullptr, false);
      if (!body.is_object() || !body.contains("model") ||
          !body["model"].is_string()) {
        return FailLocally(*caller.exchange, kBadRequest, "bad_request",
                           "the body is not JSON with a string 'model'");
      }
      pool = PoolId(body["model"].get<std::string>());
    }
    CallerArrival arrival;
    arrival.arrival.id = caller.exchange->id();
    arrival.arrival.customer = caller.customer;
    arrival.arrival.request_class = request_class;
    arrival.arrival.pool = pool;
    if (caller.body->size() >= kPrefixBytes) {
      arrival.arrival.prefix =
          PrefixHash(StableHash(caller.body->substr(0, kPrefixBytes)));
    }
    if (!caller.idempotency_key.empty() && !request_class->is_idempotent) {
      arrival.arrival.idempotency_key =
          caller.customer->id.value() + "/" + caller.idempotency_key;
    }
    arrival.caller = std::move(caller);
    core_->Post(std::move(arrival));
  }

  const RouterSettings settings_;
  MetricRegistry metrics_;
  std::atomic<bool> is_ready_ = true;
  std::atomic<bool> has_instances_ = false;
  std::unique_ptr<GossipSocket> gossip_;
  std::unique_ptr<TargetClient> targets_;
  std::unique_ptr<CoreTask> core_;
  std::unique_ptr<ConfigurationTask> configuration_;
  std::unique_ptr<ClaimTask> claims_;
  std::unique_ptr<InstanceTask> instances_;
  std::unique_ptr<OperatorService> operators_;
  std::unique_ptr<CallerServer> callers_;
};

auto RouterProcess::Open(const RouterSettings& settings)
    -> Outcome<std::unique_ptr<RouterProcess>> {
  auto parts = std::make_unique<Parts>(settings);
  auto started = parts->Start();
  if (!IsOk(started)) return ErrorOf(started);
  return std::unique_ptr<RouterProcess>(new RouterProcess(std::move(parts)));
}

RouterProcess::RouterProcess(std::unique_ptr<Parts> parts)
    : parts_(std::move(parts)) {}
RouterProcess::~RouterProcess() = default;

auto RouterProcess::Stop() -> void { parts_->Stop(); }

}  // namespace papayaplank
