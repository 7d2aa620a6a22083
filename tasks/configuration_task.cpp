// Reads, submits and installs configuration versions.
#include "tasks/configuration_task.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace papayaplank {
namespace {

constexpr std::size_t kChangesPerRead = 200;
constexpr Duration kMinPollPeriod = seconds(1);
// How often the routers are counted.
constexpr Duration kCountPeriod = seconds(1);
// Approximate maximum rate of the fleet's polls of the head row, per second.
constexpr std::size_t kFleetPollsPerSecond = 20;

}  // namespace

ConfigurationTask::ConfigurationTask(ConfigurationStore store,
                                     ConfigurationTaskHooks hooks,
                                     std::uint64_t seed)
    : store_(std::move(store)),
      hooks_(std::move(hooks)),
      random_(seed),
      current_(std::make_shared<const Configuration>()),
      confirmed_at_(MonotonicClock::now().time_since_epoch().count()),
      thread_([this] { Run(); }) {}

ConfigurationTask::~ConfigurationTask() {
  is_stopping_ = true;
  thread_.join();
}

auto ConfigurationTask::Current() const
    -> std::shared_ptr<const Configuration> {
  const std::lock_guard lock(mutex_);
  return current_;
}

auto ConfigurationTask::Fetch(ConfigVersion version,
                              const std::string& peer_address) -> void {
  mailbox_.Post(FetchMessage{version, peer_address});
}

auto ConfigurationTask::Submit(Submission submission) -> SubmitResult {
  auto result = std::make_shared<std::promise<SubmitResult>>();
  auto future = result->get_future();
  mailbox_.Post(SubmitMessage{std::move(submission), result});
  return future.get();
}

auto ConfigurationTask::History(ConfigVersion version, std::size_t limit)
    -> Outcome<std::vector<StoredChange>> {
  auto result =
      std::make_shared<std::promise<Outcome<std::vector<StoredChange>>>>();
  auto future = result->get_future();
  mailbox_.Post(HistoryMessage{version, limit, result});
  return future.get();
}

auto ConfigurationTask::time_since_confirmation() const -> Duration {
  return MonotonicClock::now() - Time(Duration(confirmed_at_.load()));
}

auto ConfigurationTask::Confirm() -> void {
  confirmed_at_ = MonotonicClock::now().time_since_epoch().count();
}

auto ConfigurationTask::Run() -> void {
  Poll();
  while (!is_stopping_) {
    for (const auto& message : mailbox_.ReceiveAll(milliseconds(100))) {
      std::visit([this](const auto& each) { Handle(each); }, message);
    }
    const auto now = MonotonicClock::now();
    if (polls_.Advance(PollPeriod(now), random_, now)) Poll();
  }
}

auto ConfigurationTask::Poll() -> void {
  const auto outcome = CatchUpFromStore();
  const auto is_up = IsOk(outcome);
  if (is_up != is_store_up_) {
    LOG(WARNING) << "event=table_service state=" << (is_up ? "up" : "down")
                 << " error=\"" << (is_up ? "" : ErrorOf(outcome).message)
                 << '"';
  }
  is_store_up_ = is_up;
}

auto ConfigurationTask::PollPeriod(Time now) -> Duration {
  if (counted_at_ != Time{} && now - counted_at_ < kCountPeriod) {
    return poll_period_;
  }
  counted_at_ = now;
  const auto factor =
      std::max<std::size_t>(1, hooks_.router_count() / kFleetPollsPerSecond);
  poll_period_ = kMinPollPeriod * static_cast<int>(factor);
  return poll_period_;
}

auto ConfigurationTask::Handle(const FetchMessage& message) -> void {
  if (Current()->version() >= message.version) return;
  if (IsOk(CatchUpFromStore()) && Current()->version() >= message.version) {
    return;
  }
  if (CatchUpFromPeer(message.peer_address)) return;
  LOG(WARNING) << "event=configuration_fetch_failed version=" << message.version
               << " peer=" << message.peer_address;
}

auto ConfigurationTask::Handle(const SubmitMessage& message) -> void {
  message.result->set_value(ExecuteSubmission(message.submission));
}

auto ConfigurationTask::Handle(const HistoryMessage& message) -> void {
  message.result->set_value(store_.ReadChanges(message.version, message.limit));
}

auto ConfigurationTask::ExecuteSubmission(const Submission& submission)
    -> SubmitResult {
  const auto outcome = CatchUpFromStore();
  if (!IsOk(outcome)) {
    return Error{ErrorCode::kUnavailable,
                 "the table service can't be used (" +
                     ErrorOf(outcome).message +
                     "); nothing was changed; submit again later"};
  }
  const auto current = Current();
  if (submission.base != current->version()) {
    // Either a conflict or a retry of an accepted change; the store can tell by
    // the operation id.
    auto resubmitted = store_.Submit(submission);
    if (!IsOk(resubmitted)) return ErrorOf(resubmitted);
    return ValueOf(resubmitted);
  }
  const ConfigVersion next(current->version().value() + 1);
  auto applied = current->Apply(submission.text, next);
  if (auto* errors = std::get_if<std::vector<DocumentError>>(&applied)) {
    return std::move(*errors);
  }
  auto stored = store_.Submit(submission);
  if (!IsOk(stored)) return ErrorOf(stored);
  Install(std::move(std::get<Configuration>(applied)));
  const auto snapshot = store_.WriteSnapshotIfDue(*Current());
  if (!IsOk(snapshot)) {
    LOG(WARNING) << "event=snapshot_failed error=\""
                 << ErrorOf(snapshot).message << '"';
  }
  return ValueOf(stored);
}

auto ConfigurationTask::LoadSnapshot() -> void {
  auto snapshot = store_.ReadSnapshot();
  if (!IsOk(snapshot)) return;
  has_read_snapshot_ = true;
  if (ValueOf(snapshot)) Install(std::move(*ValueOf(snapshot)));
}

auto ConfigurationTask::CatchUpFromStore() -> Outcome<Done> {
  if (!has_read_snapshot_ && Current()->version().is_empty()) LoadSnapshot();
  for (;;) {
    const auto current = Current();
    auto changes = store_.ReadChanges(current->version(), kChangesPerRead);
    if (!IsOk(changes)) return ErrorOf(changes);
    if (ValueOf(changes).empty()) break;
    Configuration next = *current;
    for (const auto& change : ValueOf(changes)) {
      auto applied = next.Apply(change.text, change.version);
      if (!std::holds_alternative<Configuration>(applied)) {
        LOG(ERROR) << "event=configuration_change_unreadable version="
                   << change.version;
        return Error{ErrorCode::kInvalidArgument,
                     "the change of version " +
                         std::to_string(change.version.value()) +
                         " cannot be applied"};
      }
      next = std::move(std::get<Configuration>(applied));
    }
    Install(std::move(next));
  }
  Confirm();
  return Done{};
}

auto ConfigurationTask::CatchUpFromPeer(const std::string& address) -> bool {
  auto text = hooks_.fetch_from_peer(address);
  if (!IsOk(text)) return false;
  auto snapshot = Configuration::FromSnapshot(ValueOf(text));
  if (!std::holds_alternative<Configuration>(snapshot)) return false;
  Install(std::move(std::get<Configuration>(snapshot)));
  return true;
}

auto ConfigurationTask::Install(Configuration next) -> void {
  const auto version = next.version();
  {
    const std::lock_guard lock(mutex_);
    if (version <= current_->version()) return;
    current_ = std::make_shared<const Configuration>(std::move(next));
  }
  LOG(INFO) << "event=configuration_in_force version=" << version;
  hooks_.on_version_applied(version);
}

}  // namespace papayaplank
