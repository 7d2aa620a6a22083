// Event loop of the target client: epoll under libcurl's multi interface.
#include "transport/target_client.h"

#include <curl/curl.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <array>
#include <deque>
#include <map>
#include <mutex>
#include <utility>

#include "transport/target_transfer.h"

namespace papayaplank {
namespace {

constexpr int kMaxEvents = 256;
constexpr Duration kTransferCheckPeriod = milliseconds(250);
constexpr long kMaxIdleConnections = 512;  // NOLINT: libcurl's type

struct CancelTransfer {
  RequestId id;
  int attempt = 0;
};
struct ResumeTransfer {
  RequestId id;
};
using ClientMessage =
    std::variant<TargetRequest, CancelTransfer, ResumeTransfer>;

}  // namespace

// Owns the sockets of all transfers.
class TargetClient::Loop {
 public:
  Loop(TargetClientOptions options, TargetClientHooks hooks)
      : options_(options),
        hooks_(std::move(hooks)),
        multi_(curl_multi_init()),
        epoll_(epoll_create1(EPOLL_CLOEXEC)),
        wake_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
    curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, OnSocket);
    curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, OnTimer);
    curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, kMaxIdleConnections);
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.fd = wake_;
    epoll_ctl(epoll_, EPOLL_CTL_ADD, wake_, &event);
  }

  ~Loop() {
    for (auto& [id, transfer] : transfers_) {
      curl_multi_remove_handle(multi_, transfer->easy());
    }
    transfers_.clear();
    curl_multi_cleanup(multi_);
    close(epoll_);
    close(wake_);
  }

  auto Post(ClientMessage message) -> void {
    {
      const std::lock_guard lock(mutex_);
      messages_.push_back(std::move(message));
    }
    eventfd_write(wake_, 1);
  }

  auto Stop() -> void {
    is_stopping_ = true;
    eventfd_write(wake_, 1);
  }

  auto Run() -> void {
    std::array<epoll_event, kMaxEvents> events{};
    while (!is_stopping_) {
      const auto count =
          epoll_wait(epoll_, events.data(), kMaxEvents, WaitMilliseconds());
      for (int i = 0; i < count; ++i) {
        HandleEvent(events[static_cast<std::size_t>(i)]);
      }
      if (timer_at_ <= MonotonicClock::now()) {
        timer_at_ = Time::max();
        RunSocketAction(CURL_SOCKET_TIMEOUT, 0);
      }
      HandleMessages();
      CollectFinished();
      CheckTransfers();
    }
  }

 private:
  static auto OnSocket(CURL* /*easy*/, curl_socket_t socket, int what,
                       void* user, void* known) -> int {
    auto* loop = static_cast<Loop*>(user);
    if (what == CURL_POLL_REMOVE) {
      epoll_ctl(loop->epoll_, EPOLL_CTL_DEL, socket, nullptr);
      return 0;
    }
    epoll_event event{};
    event.data.fd = socket;
    if (what != CURL_POLL_OUT) event.events |= EPOLLIN;
    if (what != CURL_POLL_IN) event.events |= EPOLLOUT;
    const auto operation = known == nullptr ? EPOLL_CTL_ADD : EPOLL_CTL_MOD;
    epoll_ctl(loop->epoll_, operation, socket, &event);
    // Makes `known` non-null in later calls for this socket.
    curl_multi_assign(loop->multi_, socket, loop);
    return 0;
  }

  // NOLINTNEXTLINE: libcurl's type.
  static auto OnTimer(CURLM* /*multi*/, long wait, void* user) -> int {
    auto* loop = static_cast<Loop*>(user);
    loop->timer_at_ =
        wait < 0 ? Time::max() : MonotonicClock::now() + milliseconds(wait);
    return 0;
  }

  auto WaitMilliseconds() const -> int {
    const auto now = MonotonicClock::now();
    const auto next = std::min(timer_at_, next_transfer_check_);
    if (next <= now) return 0;
    const auto wait = std::min<Duration>(next - now, kTransferCheckPeriod);
    // Rounded up, so that the time has come when the wait ends.
    return static_cast<int>(
               std::chrono::duration_cast<milliseconds>(wait).count()) +
           1;
  }

  auto RunSocketAction(curl_socket_t socket, int mask) -> void {
    int running = 0;
    curl_multi_socket_action(multi_, socket, mask, &running);
  }

  auto HandleEvent(const epoll_event& event) -> void {
    if (event.data.fd == wake_) {
      eventfd_t ignored = 0;
      eventfd_read(wake_, &ignored);
      return;
    }
    int mask = 0;
    if ((event.events & (EPOLLIN | EPOLLHUP)) != 0) mask |= CURL_CSELECT_IN;
    if ((event.events & EPOLLOUT) != 0) mask |= CURL_CSELECT_OUT;
    if ((event.events & EPOLLERR) != 0) mask |= CURL_CSELECT_ERR;
    RunSocketAction(event.data.fd, mask);
  }

  auto HandleMessages() -> void {
    std::deque<ClientMessage> messages;
    {
      const std::lock_guard lock(mutex_);
      messages.swap(messages_);
    }
    for (auto& message : messages) {
      std::visit([this](auto& each) { Handle(each); }, message);
    }
  }

  auto Handle(TargetRequest& request) -> void {
    const auto id = request.id;
    std::weak_ptr<Loop*> alive = alive_;
    request.answer->SetOnWritable([this, id, alive] {
      if (alive.lock()) Post(ResumeTransfer{id});
    });
    auto transfer = std::make_unique<TargetTransfer>(
        std::move(request), options_, hooks_, MonotonicClock::now());
    curl_multi_add_handle(multi_, transfer->easy());
    transfers_[id] = std::move(transfer);
  }

  auto Handle(CancelTransfer& cancel) -> void {
    const auto found = transfers_.find(cancel.id);
    if (found == transfers_.end()) return;
    if (found->second->request().attempt != cancel.attempt) return;
    const auto report = found->second->ReportEnd(AttemptResult::kCancelled);
    EndTransfer(found, report);
  }

  auto Handle(ResumeTransfer& resume) -> void {
    const auto found = transfers_.find(resume.id);
    if (found == transfers_.end()) return;
    if (found->second->Resume(MonotonicClock::now())) return;
    EndTransfer(found, found->second->Finish(CURLE_WRITE_ERROR));
  }

  auto CollectFinished() -> void {
    int left = 0;
    while (auto* message = curl_multi_info_read(multi_, &left)) {
      if (message->msg != CURLMSG_DONE) continue;
      const auto code = message->data.result;
      TargetTransfer* transfer = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
      const auto found = transfers_.find(transfer->request().id);
      EndTransfer(found, transfer->Finish(code));
    }
  }

  auto CheckTransfers() -> void {
    const auto now = MonotonicClock::now();
    if (now < next_transfer_check_) return;
    next_transfer_check_ = now + kTransferCheckPeriod;
    for (auto it = transfers_.begin(); it != transfers_.end();) {
      const auto current = it++;
      auto& transfer = *current->second;
      SendProgress(transfer);
      if (!transfer.IsStalled(now)) continue;
      EndTransfer(current, transfer.ReportEnd(AttemptResult::kSilent));
    }
  }

  auto SendProgress(TargetTransfer& transfer) -> void {
    const auto progress = transfer.CollectProgress();
    if (progress.latency.observations == 0) return;
    hooks_.on_progress(progress);
  }

  using Transfers = std::map<RequestId, std::unique_ptr<TargetTransfer>>;

  auto EndTransfer(Transfers::iterator it, const AttemptReport& report)
      -> void {
    SendProgress(*it->second);
    const auto id = it->first;
    const auto attempt = it->second->request().attempt;
    it->second->request().answer->SetOnWritable(nullptr);
    curl_multi_remove_handle(multi_, it->second->easy());
    transfers_.erase(it);
    hooks_.on_end(id, attempt, report);
  }

  const TargetClientOptions options_;
  const TargetClientHooks hooks_;
  CURLM* multi_;
  int epoll_;
  int wake_;
  Time timer_at_ = Time::max();
  Time next_transfer_check_{};
  // One transfer per request: the next attempt starts after the previous one
  // has ended.
  Transfers transfers_;
  std::mutex mutex_;
  // Guarded by `mutex_`.
  std::deque<ClientMessage> messages_;
  std::atomic<bool> is_stopping_ = false;
  // Expires with the loop, so that answer buffers that outlive it don't post to
  // it.
  std::shared_ptr<Loop*> alive_ = std::make_shared<Loop*>(this);
};

TargetClient::TargetClient(TargetClientOptions options, TargetClientHooks hooks)
    : loop_(std::make_unique<Loop>(options, std::move(hooks))),
      task_([this] { loop_->Run(); }) {}

TargetClient::~TargetClient() {
  loop_->Stop();
  task_.join();
}

auto TargetClient::Start(TargetRequest request) -> void {
  loop_->Post(std::move(request));
}

auto TargetClient::Cancel(const RequestId& id, int attempt) -> void {
  loop_->Post(CancelTransfer{id, attempt});
}

}  // namespace papayaplank
