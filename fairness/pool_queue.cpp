// Accounts and order of one pool.
#include "fairness/pool_queue.h"

#include <algorithm>
#include <iterator>

namespace papayaplank {
namespace {

constexpr std::size_t kMaxAccounts = 4096;

}  // namespace

PoolQueue::PoolQueue(VirtualTime catch_up_limit)
    : catch_up_limit_(catch_up_limit) {}

auto PoolQueue::Unlist(const CustomerId& customer, const Account& account)
    -> void {
  backlogged_.erase({account.service, customer});
  interactive_.erase({account.service, customer});
}

auto PoolQueue::List(const CustomerId& customer, const Account& account)
    -> void {
  if (account.is_backlogged()) backlogged_.insert({account.service, customer});
  if (!account.interactive.empty()) {
    interactive_.insert({account.service, customer});
  }
}

auto PoolQueue::AccountFor(const QueuedRequest& request) -> Account& {
  ForgetIdleAccounts();
  auto& account = accounts_[request.customer];
  account.weight = request.weight;
  // A customer that was idle starts at the virtual time: time without demand
  // earns no credit.
  if (!account.is_backlogged()) {
    account.service = std::max(account.service, virtual_time());
  }
  return account;
}

auto PoolQueue::Push(QueuedRequest request) -> void {
  auto& account = AccountFor(request);
  const auto customer = request.customer;
  Unlist(customer, account);
  waiting_[request.id] = customer;
  if (request.is_interactive) ++interactive_count_;
  auto& queue = request.is_interactive ? account.interactive : account.batch;
  queue.push_back(std::move(request));
  List(customer, account);
}

auto PoolQueue::Pop(bool interactive_only) -> std::optional<QueuedRequest> {
  const auto& order = interactive_only ? interactive_ : backlogged_;
  if (order.empty()) return std::nullopt;
  const auto customer = order.begin()->second;
  auto& account = accounts_[customer];
  if (!interactive_only) floor_ = std::max(floor_, account.service);
  Unlist(customer, account);
  auto& queue =
      account.interactive.empty() ? account.batch : account.interactive;
  auto request = std::move(queue.front());
  queue.pop_front();
  waiting_.erase(request.id);
  if (request.is_interactive) --interactive_count_;
  account.service = account.service + request.estimate / account.weight;
  List(customer, account);
  return request;
}

auto PoolQueue::PutBack(QueuedRequest request) -> void {
  const auto customer = request.customer;
  Charge(customer, request.weight, Cost{-request.estimate.units});
  auto& account = accounts_[customer];
  Unlist(customer, account);
  waiting_[request.id] = customer;
  if (request.is_interactive) ++interactive_count_;
  auto& queue = request.is_interactive ? account.interactive : account.batch;
  queue.push_front(std::move(request));
  List(customer, account);
}

auto PoolQueue::Remove(const RequestId& id) -> bool {
  const auto found = waiting_.find(id);
  if (found == waiting_.end()) return false;
  const auto customer = found->second;
  auto& account = accounts_[customer];
  Unlist(customer, account);
  for (auto* queue : {&account.interactive, &account.batch}) {
    const auto erased = std::erase_if(
        *queue, [&id](const QueuedRequest& each) { return each.id == id; });
    if (queue == &account.interactive) {
      interactive_count_ -= static_cast<int>(erased);
    }
  }
  waiting_.erase(found);
  List(customer, account);
  return true;
}

auto PoolQueue::RemoveExpired(Time now) -> std::vector<QueuedRequest> {
  std::vector<QueuedRequest> expired;
  for (const auto& [service, customer] : backlogged_) {
    const auto& account = accounts_[customer];
    for (const auto* queue : {&account.interactive, &account.batch}) {
      std::copy_if(
          queue->begin(), queue->end(), std::back_inserter(expired),
          [now](const QueuedRequest& each) { return each.deadline <= now; });
    }
  }
  for (const auto& request : expired) Remove(request.id);
  return expired;
}

auto PoolQueue::Charge(const CustomerId& customer, Weight weight, Cost change)
    -> void {
  const auto [found, is_new] = accounts_.try_emplace(customer);
  auto& account = found->second;
  if (is_new) account.service = virtual_time();
  account.weight = weight;
  Unlist(customer, account);
  account.service = account.service + change / weight;
  List(customer, account);
}

auto PoolQueue::AdvanceVirtualTime(VirtualTime fleet) -> void {
  const auto lowest = fleet - catch_up_limit_;
  const auto current = virtual_time();
  if (current >= lowest) return;
  const auto lift = lowest - current;
  floor_ = std::max(floor_, lowest);
  backlogged_.clear();
  interactive_.clear();
  for (auto& [customer, account] : accounts_) {
    account.service = account.service + lift;
    List(customer, account);
  }
}

auto PoolQueue::virtual_time() const -> VirtualTime {
  if (backlogged_.empty()) return floor_;
  return backlogged_.begin()->first;
}

auto PoolQueue::backlog() const -> Backlog {
  Backlog result;
  result.interactive = interactive_count_;
  result.batch = static_cast<int>(waiting_.size()) - interactive_count_;
  for (const auto& [service, customer] : backlogged_) {
    result.weight += accounts_.at(customer).weight.value;
  }
  return result;
}

auto PoolQueue::HasWork(bool interactive_only) const -> bool {
  return interactive_only ? !interactive_.empty() : !backlogged_.empty();
}

auto PoolQueue::QueuedCount(const CustomerId& customer) const -> int {
  const auto found = accounts_.find(customer);
  if (found == accounts_.end()) return 0;
  return static_cast<int>(found->second.interactive.size() +
                          found->second.batch.size());
}

auto PoolQueue::CustomerVirtualTime(const CustomerId& customer) const
    -> VirtualTime {
  const auto found = accounts_.find(customer);
  return found == accounts_.end() ? floor_ : found->second.service;
}

auto PoolQueue::ShedCandidate() const -> std::optional<RequestId> {
  if (backlogged_.empty()) return std::nullopt;
  // Most requests waiting per weight: the customer furthest above its share.
  const Account* worst = nullptr;
  double worst_share = -1;
  for (const auto& [service, customer] : backlogged_) {
    const auto& account = accounts_.at(customer);
    const auto waiting = account.interactive.size() + account.batch.size();
    const auto share = static_cast<double>(waiting) / account.weight.value;
    if (share <= worst_share) continue;
    worst = &account;
    worst_share = share;
  }
  if (worst == nullptr) return std::nullopt;
  const auto& queue = worst->batch.empty() ? worst->interactive : worst->batch;
  return queue.back().id;
}

auto PoolQueue::ForgetIdleAccounts() -> void {
  if (accounts_.size() < kMaxAccounts) return;
  std::erase_if(accounts_, [this](const auto& item) {
    return !item.second.is_backlogged() && item.second.service <= floor_;
  });
}

}  // namespace papayaplank
