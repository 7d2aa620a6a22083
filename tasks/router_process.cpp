// Creates the tasks of a router and connects their hooks.
#include "tasks/router_process.h"

#include <glog/logging.h>

#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "metrics/metrics.h"
#include "tasks/claim_task.h"
#include "tasks/configuration_task.h"
#include "tasks/core_task.h"
#include "tasks/instance_list_task.h"
#include "tasks/operator_service.h"

namespace papayaplank {
namespace {

using Json = nlohmann::json;

// HTTP statuses.
constexpr int kNotFound = 404;
constexpr int kBadRequest = 400;
constexpr int kOk = 200;
constexpr int kUnauthorized = 401;
constexpr int kNotReady = 503;
constexpr std::size_t kIdSuffixBytes = 4;
constexpr std::size_t kRandomSeedBytes = 16;
// Length of the body's beginning that `RequestArrived::prefix` identifies.
constexpr std::size_t kPrefixBytes = 256;
constexpr Duration kStopPollPeriod = milliseconds(50);
// For the answers of requests that a stopping router ends.
constexpr Duration kLastAnswersTime = milliseconds(500);
constexpr Duration kPeerTimeout = seconds(5);
// Share of the instance's memory for request bodies. The rest is for the
// process itself, its connections and answers, and what the allocator loses.
constexpr double kBodiesShare = 0.35;

auto Seconds(Duration duration) -> double {
  return std::chrono::duration<double>(duration).count();
}

auto LogBudgetChange(const BudgetChange& change) -> void {
  LOG(WARNING) << "event=body_limit state="
               << (change.is_binding ? "binding" : "kept")
               << " held=" << change.held << " limit=" << change.limit;
}

auto AnswerWithError(AnswerBuffer& answer, int status, const std::string& type,
                     const std::string& message) -> void {
  AnswerHead head;
  head.status = status;
  head.headers = {{"Content-Type", "application/json"},
                  {"X-Papayaplank-Ran", "no"}};
  answer.SetCompleteAnswer(std::move(head),
                           FormatErrorBody(answer.id(), type, message, "no"));
}

}  // namespace

// All tasks. The destructor stops the servers first, so that no request
// arrives while the other tasks stop.
class RouterProcess::Tasks {
 public:
  explicit Tasks(const RouterSettings& settings)
      : settings_(settings),
        held_bodies_(std::make_shared<HeldBodies>(
            static_cast<std::size_t>(
                static_cast<double>(settings.memory_limit) * kBodiesShare),
            LogBudgetChange)) {}

  ~Tasks() {
    if (!core_task_) return;
    caller_server_.reset();
    operator_service_.reset();
    core_task_->Stop();
    instance_list_task_.reset();
    claim_task_.reset();
    configuration_task_.reset();
    target_client_.reset();
    gossip_socket_.reset();
    core_task_.reset();
  }

  auto Start() -> Outcome<Done> {
    const auto id_suffix = RandomHex(kIdSuffixBytes);
    const auto random_seed = StableHash(RandomHex(kRandomSeedBytes));
    Member self;
    self.id = RouterId(settings_.name + "#" + id_suffix);
    self.gossip_address = settings_.gossip_address;
    self.caller_address = settings_.caller_address;
    self.peer_address = settings_.operator_address;
    self.data_center = settings_.data_center;
    self.region = settings_.region;
    core_task_ = std::make_unique<CoreTask>(self, settings_.router, random_seed,
                                            CoreHooks(), metrics_);
    StartTargetClient();
    // The datagram nonce must be random and new too, so the seed serves as
    // both.
    auto gossip = OpenGossip(random_seed);
    if (!IsOk(gossip)) return gossip;
    // The seeds can be contacted before the instance list is available. Posted
    // before the list can arrive, since the list replaces this one.
    core_task_->Post(CoreInput(InstanceListReceived{{}, settings_.seeds}));
    StartPlatformTasks(random_seed);
    core_task_->Start();
    auto operators = OpenOperatorService();
    if (!IsOk(operators)) return operators;
    auto callers = OpenCallerServer();
    if (!IsOk(callers)) return callers;
    LOG(INFO) << "event=started router=" << self.id
              << " callers=" << settings_.caller_address
              << " data_center=" << settings_.data_center;
    return Done{};
  }

  auto Stop() -> void {
    LOG(INFO) << "event=stopping drain_seconds="
              << Seconds(settings_.drain_time);
    const auto admits_until = MonotonicClock::now() + settings_.drain_time;
    const auto give_up = admits_until + settings_.stop_limit;
    core_task_->Post(CoreInput(StopRequested{admits_until, give_up}));
    caller_server_->CloseAfterAnswers();
    is_ready_ = false;
    std::this_thread::sleep_for(settings_.drain_time);
    caller_server_->StopListening();
    const auto count = [](const RouterCore& core) {
      return core.open_requests();
    };
    for (;;) {
      const auto open = core_task_->RunQuery<std::size_t>(count);
      // A complete answer may still be in transmission on its connection.
      if (open == 0 && caller_server_->open_connections() == 0) break;
      if (MonotonicClock::now() >= give_up) {
        LOG(WARNING) << "event=stop_limit open_requests=" << open;
        EndOpenRequests();
        break;
      }
      std::this_thread::sleep_for(kStopPollPeriod);
    }
    LOG(INFO) << "event=stopped";
  }

 private:
  // Answers requests that have no answer yet, and gives the answers a moment.
  auto EndOpenRequests() -> void {
    core_task_->Post(CoreInput(StopOver{}));
    const auto until = MonotonicClock::now() + kLastAnswersTime;
    while (caller_server_->open_requests() > 0 &&
           MonotonicClock::now() < until) {
      std::this_thread::sleep_for(kStopPollPeriod);
    }
  }

  auto CoreHooks() -> CoreTaskHooks {
    CoreTaskHooks hooks;
    hooks.start_attempt = [this](TargetRequest request) {
      target_client_->Start(std::move(request));
    };
    hooks.cancel_attempt = [this](const RequestId& id, int attempt) {
      target_client_->Cancel(id, attempt);
    };
    hooks.claim = [this](const ClaimKey& claim) { claim_task_->Claim(claim); };
    hooks.store_outcome = [this](const StoreOutcome& outcome,
                                 const RecordedAnswer& answer) {
      claim_task_->Store({outcome.key, outcome.id, answer.status,
                          answer.content_type + "\n" + answer.body});
    };
    hooks.release_claim = [this](const ReleaseClaim& claim) {
      claim_task_->Release({claim.key, claim.id});
    };
    hooks.send_peer = [this](const std::string& address, std::string bytes) {
      gossip_socket_->Send(address, std::move(bytes));
    };
    hooks.fetch_configuration = [this](const FetchConfiguration& fetch) {
      configuration_task_->Fetch(fetch.version, fetch.peer_address);
    };
    return hooks;
  }

  auto StartTargetClient() -> void {
    TargetClientOptions options;
    options.progress_timeout = settings_.progress_timeout;
    options.objective = settings_.router.objective;
    TargetClientHooks hooks;
    hooks.on_progress = [this](const TargetProgress& progress) {
      core_task_->Post(
          CoreInput(AttemptProgress{progress.id, progress.attempt,
                                    progress.new_tokens, progress.latency}));
    };
    hooks.on_end = [this](const RequestId& id, int attempt,
                          const AttemptReport& report) {
      core_task_->Post(CoreInput(AttemptEnded{id, attempt, report}));
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
      core_task_->Post(CoreInput(TargetLeaving{target}));
    };
    target_client_ = std::make_unique<TargetClient>(options, std::move(hooks));
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
          core_task_->Post(CoreInput(
              PeerMessageReceived{from, std::move(ValueOf(message))}));
        });
    if (!IsOk(opened)) return ErrorOf(opened);
    gossip_socket_ = std::move(ValueOf(opened));
    return Done{};
  }

  // Starts the tasks that use the table service, the object store or the
  // instance list.
  auto StartPlatformTasks(std::uint64_t seed) -> void {
    ConfigurationTaskHooks hooks;
    hooks.on_version_applied = [this](ConfigVersion version) {
      core_task_->Post(CoreInput(ConfigApplied{version}));
    };
    hooks.fetch_from_peer =
        [this](const std::string& address) -> Outcome<std::string> {
      auto answer = CallOperatorPort(address, settings_.fleet_key, "snapshot",
                                     "", kPeerTimeout);
      if (answer.is_ok) return std::move(answer.result);
      return Error{ErrorCode::kUnavailable, answer.error};
    };
    hooks.router_count = [this] {
      return core_task_->RunQuery<std::size_t>(
          [](const RouterCore& core) { return core.Members().size(); });
    };
    configuration_task_ = std::make_unique<ConfigurationTask>(
        ConfigurationStore(
            TableClient(settings_.table_address, MakeHttpFetch()),
            ObjectClient(settings_.object_address, MakeHttpFetch())),
        std::move(hooks), seed);
    claim_task_ = std::make_unique<ClaimTask>(
        ClaimStore(TableClient(settings_.table_address, MakeHttpFetch())),
        [this](const ClaimResolved& resolved) {
          core_task_->Post(CoreInput(resolved));
        });
    instance_list_task_ = std::make_unique<InstanceListTask>(
        InstanceListClient(settings_.instance_list_address,
                           settings_.data_center, MakeHttpFetch()),
        [this](InstanceList list) {
          for (const auto& seed : settings_.seeds) {
            list.gossip_addresses.push_back(seed);
          }
          has_instance_list_ = true;
          core_task_->Post(CoreInput(InstanceListReceived{
              std::move(list.targets), std::move(list.gossip_addresses)}));
        });
  }

  auto OpenOperatorService() -> Outcome<Done> {
    OperatorServiceDependencies dependencies{
        *core_task_, *configuration_task_, metrics_,
        [this] { RefreshMetrics(); }, [this] { return IsReady(); }};
    auto opened =
        OperatorService::Open({settings_.operator_address,
                               settings_.operator_key, settings_.fleet_key},
                              std::move(dependencies));
    if (!IsOk(opened)) return ErrorOf(opened);
    operator_service_ = std::move(ValueOf(opened));
    return Done{};
  }

  auto IsReady() const -> bool {
    return is_ready_ && has_instance_list_ &&
           !configuration_task_->Current()->version().is_empty();
  }

  auto RefreshMetrics() -> void {
    const auto gossip = gossip_socket_->counters();
    const auto set = [this](const std::string& name, double value) {
      metrics_.SetValue("papayaplank_" + name, {}, value);
    };
    set("peer_datagrams_sent_total", static_cast<double>(gossip.sent));
    set("peer_bytes_sent_total", static_cast<double>(gossip.sent_bytes));
    set("peer_datagrams_received_total", static_cast<double>(gossip.received));
    set("peer_bytes_received_total",
        static_cast<double>(gossip.received_bytes));
    set("peer_datagrams_rejected_total", static_cast<double>(gossip.rejected));
    const auto version = configuration_task_->Current()->version().value();
    set("configuration_version", static_cast<double>(version));
    set("configuration_unconfirmed_seconds",
        Seconds(configuration_task_->time_since_confirmation()));
    const auto counters = core_task_->RunQuery<CoreCounters>(
        [](const RouterCore& core) { return core.counters(); });
    set("requests_admitted_total", static_cast<double>(counters.admitted));
    set("attempts_started_total", static_cast<double>(counters.started));
    set("requests_completed_total", static_cast<double>(counters.completed));
    set("requests_failed_total", static_cast<double>(counters.failed));
    set("requests_cancelled_total", static_cast<double>(counters.cancelled));
    set("retries_total", static_cast<double>(counters.retries));
    set("streams_resumed_total", static_cast<double>(counters.resumed));
    set("streams_preempted_total", static_cast<double>(counters.preempted));
    set("slot_updates_sent_total",
        static_cast<double>(counters.slot_updates_sent));
    set("pauses_total", static_cast<double>(counters.pauses));
    set("requests_given_up_total",
        static_cast<double>(held_bodies_->given_up()));
    for (const auto kind : {HeldKind::kUnfinishedRequest, HeldKind::kBody}) {
      metrics_.SetValue("papayaplank_held_bytes",
                        {{"kind", std::string(HeldKindName(kind))}},
                        static_cast<double>(held_bodies_->held(kind)));
    }
    RefreshPoolMetrics();
  }

  auto RefreshPoolMetrics() -> void {
    const auto pools = core_task_->RunQuery<std::vector<PoolStatus>>(
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

  auto OpenCallerServer() -> Outcome<Done> {
    CallerServerHooks hooks;
    hooks.authenticate = [this](const std::string& key) {
      return configuration_task_->Current()->FindByKeyHash(Sha256Hex(key));
    };
    hooks.on_request = [this](CallerRequest request) {
      HandleCallerRequest(std::move(request));
    };
    hooks.on_cancel = [this](const RequestId& id) {
      core_task_->Post(CoreInput(RequestCancelled{id}));
    };
    hooks.answer_locally = [this](const HttpCall& call,
                                  const Customer* customer) {
      return AnswerLocally(call, customer);
    };
    CallerServerOptions options;
    options.address = settings_.caller_address;
    options.max_connections = settings_.max_connections;
    options.held_bodies = held_bodies_;
    auto opened = CallerServer::Open(options, std::move(hooks));
    if (!IsOk(opened)) return ErrorOf(opened);
    caller_server_ = std::move(ValueOf(opened));
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
              FormatErrorBody(RequestId(), "unauthorized", "unknown API key",
                              "no")};
    }
    return AnswerAddresses(call, *customer);
  }

  auto AnswerAddresses(const HttpCall& call, const Customer& customer)
      -> HttpAnswer {
    const auto found = call.query.find("data_center");
    const auto data_center = found == call.query.end()
                                 ? settings_.data_center
                                 : DataCenterId(found->second);
    const auto id = customer.id;
    const auto home_routers = core_task_->RunQuery<std::vector<Member>>(
        [id, data_center](const RouterCore& core) {
          return core.HomeRouters(id, data_center);
        });
    auto addresses = Json::array();
    for (const auto& home : home_routers) {
      addresses.push_back(home.caller_address);
    }
    const Json answer = {{"addresses", std::move(addresses)},
                         {"keep_seconds", settings_.address_lifetime.count()}};
    return {kOk, "application/json", answer.dump() + "\n"};
  }

  auto HandleCallerRequest(CallerRequest caller) -> void {
    const auto path = caller.path.substr(0, caller.path.find('?'));
    const auto* request_class =
        MatchClass(*caller.customer, caller.method, path, caller.class_header);
    if (request_class == nullptr) {
      return AnswerWithError(
          *caller.answer, kNotFound, "no_class",
          "no request class of the customer's template matches "
          "this method, path and X-Papayaplank-Class");
    }
    auto pool = request_class->pool;
    if (pool.is_empty()) {
      const auto body = Json::parse(*caller.body, nullptr, false);
      if (!body.is_object() || !body.contains("model") ||
          !body["model"].is_string()) {
        return AnswerWithError(*caller.answer, kBadRequest, "bad_request",
                               "the body is not JSON with a string 'model'");
      }
      pool = PoolId(body["model"].get<std::string>());
    }
    ClassifiedRequest request;
    request.arrival.id = caller.answer->id();
    request.arrival.customer = caller.customer;
    request.arrival.request_class = request_class;
    request.arrival.pool = pool;
    if (caller.body->size() >= kPrefixBytes) {
      request.arrival.prefix =
          PrefixHash(StableHash(caller.body->substr(0, kPrefixBytes)));
    }
    // A request that may run twice needs no claim. The customer's name keeps
    // the keys of different customers apart.
    if (!caller.idempotency_key.empty() && !request_class->is_idempotent) {
      request.arrival.idempotency_key =
          caller.customer->id.value() + "/" + caller.idempotency_key;
    }
    request.caller = std::move(caller);
    core_task_->Post(std::move(request));
  }

  const RouterSettings settings_;
  const std::shared_ptr<HeldBodies> held_bodies_;
  MetricRegistry metrics_;
  std::atomic<bool> is_ready_ = true;
  std::atomic<bool> has_instance_list_ = false;
  std::unique_ptr<GossipSocket> gossip_socket_;
  std::unique_ptr<TargetClient> target_client_;
  std::unique_ptr<CoreTask> core_task_;
  std::unique_ptr<ConfigurationTask> configuration_task_;
  std::unique_ptr<ClaimTask> claim_task_;
  std::unique_ptr<InstanceListTask> instance_list_task_;
  std::unique_ptr<OperatorService> operator_service_;
  std::unique_ptr<CallerServer> caller_server_;
};

auto RouterProcess::Open(const RouterSettings& settings)
    -> Outcome<std::unique_ptr<RouterProcess>> {
  auto tasks = std::make_unique<Tasks>(settings);
  auto started = tasks->Start();
  if (!IsOk(started)) return ErrorOf(started);
  return std::unique_ptr<RouterProcess>(new RouterProcess(std::move(tasks)));
}

RouterProcess::RouterProcess(std::unique_ptr<Tasks> tasks)
    : tasks_(std::move(tasks)) {}
RouterProcess::~RouterProcess() = default;

auto RouterProcess::Stop() -> void { tasks_->Stop(); }

}  // namespace papayaplank
