// The task that keeps the configuration in force: from the table service,
// from peers when it is down, and never backwards.
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

// Outcome of a submission: the version in force, faults, or an error.
using SubmitResult =
    std::variant<ConfigVersion, std::vector<DocumentError>, Error>;

struct ConfigurationTaskHooks {
  // A version came into force here.
  std::function<void(ConfigVersion)> on_version_applied;
  // Fetches a whole snapshot from a peer's address.
  std::function<Outcome<std::string>(const std::string& peer_address)>
      fetch_from_peer;
  // Number of routers alive, which share the reading of the head row.
  std::function<std::size_t()> router_count;
};

// Owner of the configuration.
class ConfigurationTask {
 public:
  ConfigurationTask(ConfigurationStore store, ConfigurationTaskHooks hooks);
  ~ConfigurationTask();
  ConfigurationTask(const ConfigurationTask&) = delete;
  auto operator=(const ConfigurationTask&) -> ConfigurationTask& = delete;

  // The configuration in force; never null, never older than before.
  auto Current() const -> std::shared_ptr<const Configuration>;

  // A peer has `version`: fetch it.
  auto Fetch(ConfigVersion version, const std::string& peer_address) -> void;

  // Checks, stores and applies a change. Waits for the table service.
  auto Submit(Submission submission) -> SubmitResult;

  // Accepted changes after `version`.
  auto History(ConfigVersion version, std::size_t limit)
      -> Outcome<std::vector<StoredChange>>;

  // Time since the store or a peer last confirmed that the version in force
  // is the newest.
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
  auto Handle(const FetchMessage& message) -> void;
  auto Handle(const SubmitMessage& message) -> void;
  auto Handle(const HistoryMessage& message) -> void;
  auto ExecuteSubmission(const Submission& submission) -> SubmitResult;
  auto LoadSnapshot() -> void;
  // Applies all changes that the store has; false if it did not answer.
  auto CatchUpFromStore() -> bool;
  auto CatchUpFromPeer(const std::string& address) -> bool;
  auto Install(Configuration next) -> void;
  auto Confirm() -> void;

  ConfigurationStore store_;
  ConfigurationTaskHooks hooks_;
  Mailbox<Message> mailbox_;
  mutable std::mutex mutex_;
  // Guarded by `mutex_`. Its version never falls.
  std::shared_ptr<const Configuration> current_;
  std::atomic<Time::rep> confirmed_at_;
  bool has_snapshot_ = false;
  bool is_store_up_ = true;
  std::atomic<bool> is_stopping_ = false;
  std::thread thread_;
};

}  // namespace papayaplank

#endif  // TASKS_CONFIGURATION_TASK_H_
