// Task that keeps the configuration up to date: from the table service, or from
// peers while that is down. The version never decreases.
#ifndef TASKS_CONFIGURATION_TASK_H_
#define TASKS_CONFIGURATION_TASK_H_

#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "router/router.h"
#include "storage/storage.h"

namespace papayaplank {

// Result of a submission: the accepted version, the document's errors, or a
// failure to store it.
using SubmitResult =
    std::variant<ConfigVersion, std::vector<DocumentError>, Error>;

// Callbacks of the configuration task; called on its thread.
struct ConfigurationTaskHooks {
  // This router switched to a new version.
  std::function<void(ConfigVersion)> on_version_applied;
  // Fetches a complete snapshot from a peer's address.
  std::function<Outcome<std::string>(const std::string& peer_address)>
      fetch_from_peer;
  // Number of live routers. They share the polls of the table service: the more
  // there are, the less often each polls.
  std::function<std::size_t()> router_count;
};

// Owns the configuration.
class ConfigurationTask {
 public:
  // `seed` differs between routers.
  ConfigurationTask(ConfigurationStore store, ConfigurationTaskHooks hooks,
                    std::uint64_t seed);
  ~ConfigurationTask();
  ConfigurationTask(const ConfigurationTask&) = delete;
  auto operator=(const ConfigurationTask&) -> ConfigurationTask& = delete;

  // The configuration in force; never null. Its version never decreases.
  auto Current() const -> std::shared_ptr<const Configuration>;

  // Starts to fetch `version`, which a peer has, or a newer one, unless it is
  // in force already. A failure is logged.
  auto Fetch(ConfigVersion version, const std::string& peer_address) -> void;

  // Validates, stores and applies a change. Blocks until the table service has
  // answered. Errors: those of `ConfigurationStore::Submit`, and `kUnavailable`
  // if the newest version cannot be read.
  auto Submit(Submission submission) -> SubmitResult;

  // Accepted changes after `version`, oldest first, at most `limit`. Blocks
  // until the table service has answered. Errors: those of
  // `ConfigurationStore::ReadChanges`.
  auto History(ConfigVersion version, std::size_t limit)
      -> Outcome<std::vector<StoredChange>>;

  // Time since the table service last confirmed that the version in force is
  // the newest, or since the task started.
  auto time_since_confirmation() const -> Duration;

 private:
  struct FetchMessage {
    ConfigVersion version;
    std::string peer_address;
  };
  struct SubmitMessage {
    Submission submission;
    std::shared_ptr<std::promise<SubmitResult>> result;
  };
  struct HistoryMessage {
    ConfigVersion version;
    std::size_t limit = 0;
    std::shared_ptr<std::promise<Outcome<std::vector<StoredChange>>>> result;
  };
  using Message = std::variant<FetchMessage, SubmitMessage, HistoryMessage>;

  auto Run() -> void;
  // Polls the table service, and logs whether it answers.
  auto Poll() -> void;
  // Average time between two polls of this router.
  auto PollPeriod(Time now) -> Duration;
  auto Handle(const FetchMessage& message) -> void;
  auto Handle(const SubmitMessage& message) -> void;
  auto Handle(const HistoryMessage& message) -> void;
  auto ExecuteSubmission(const Submission& submission) -> SubmitResult;
  auto LoadSnapshot() -> void;
  // Applies all newer changes in the table service. An error if it did not
  // answer, if a change cannot be applied, or if its history ends before the
  // version in force, which stays then.
  auto CatchUpFromStore() -> Outcome<Done>;
  auto CatchUpFromPeer(const std::string& address) -> bool;
  auto Install(Configuration next) -> void;
  auto Confirm() -> void;

  ConfigurationStore store_;
  ConfigurationTaskHooks hooks_;
  Random random_;
  StaggeredTurns polls_;
  // Of the newest look at the number of routers.
  Duration poll_period_{};
  Time counted_at_{};
  Mailbox<Message> mailbox_;
  mutable std::mutex mutex_;
  // Guarded by `mutex_`. Its version never decreases.
  std::shared_ptr<const Configuration> current_;
  std::atomic<Time::rep> confirmed_at_;
  // Whether the snapshot was read or there was none.
  bool has_read_snapshot_ = false;
  bool is_store_up_ = true;
  std::atomic<bool> is_stopping_ = false;
  std::thread thread_;
};

}  // namespace papayaplank

#endif  // TASKS_CONFIGURATION_TASK_H_
