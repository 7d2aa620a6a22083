// Accounts, and the order in which customers of one pool are served.
#include "fairness/pool_queue.h"

#include <algorithm>
#include <iterator>

namespace papayaplank {
namespace {

// From this number on, accounts of idle customers that are not ahead of the
// virtual time are dropped.
constexpr std::size_t kMaxAccounts = 4096;

}  // namespace

PoolQueue::PoolQueue(VirtualTime catch_up_limit)
    : catch_up_limit_(catch_up_limit) {}

auto PoolQueue::RemoveFromOrders(const CustomerId& customer,
                                 const Account& account) -> void {
  backlogged_order_.erase({account.service, customer});
  interactive_order_.erase({account.service, customer});
}

auto PoolQueue::AddToOrders(const CustomerId& customer, const Account& account)
    -> void {
  if (account.is_backlogged()) {
    backlogged_order_.insert({account.service, customer});
  }
  if (!account.interactive.empty()) {
    interactive_order_.insert({account.service, customer});
  }
}

auto PoolQueue::AccountForArrival(const QueuedRequest& request) -> Account& {
  DropIdleAccounts();
  auto& account = accounts_[request.customer];
  account.weight = request.weight;
  // A customer that was idle starts at the virtual time: idle time earns no
  // credit.
  if (!account.is_backlogged()) {
    account.service = std::max(account.service, virtual_time());
  }
  return account;
}

auto PoolQueue::Push(QueuedRequest request) -> void {
  auto& account = AccountForArrival(request);
  const auto customer = request.customer;
  RemoveFromOrders(customer, account);
  customer_by_request_[request.id] = customer;
  if (request.is_interactive) ++interactive_count_;
  auto& queue = request.is_interactive ? account.interactive : account.batch;
  queue.push_back(std::move(request));
  AddToOrders(customer, account);
}

auto PoolQueue::Pop(bool interactive_only) -> std::optional<QueuedRequest> {
  const auto& order = interactive_only ? interactive_order_ : backlogged_order_;
  if (order.empty()) return std::nullopt;
  const auto customer = order.begin()->second;
  auto& account = accounts_[customer];
  if (!interactive_only) {
    virtual_time_floor_ = std::max(virtual_time_floor_, account.service);
  }
  RemoveFromOrders(customer, account);
  auto& queue =
      account.interactive.empty() ? account.batch : account.interactive;
  auto request = std::move(queue.front());
  queue.pop_front();
  customer_by_request_.erase(request.id);
  if (request.is_interactive) --interactive_count_;
  account.service = account.service + request.estimate / account.weight;
  AddToOrders(customer, account);
  return request;
}

auto PoolQueue::PutBack(QueuedRequest request) -> void {
  const auto customer = request.customer;
  Charge(customer, request.weight, Cost{-request.estimate.units});
  auto& account = accounts_[customer];
  RemoveFromOrders(customer, account);
  customer_by_request_[request.id] = customer;
  if (request.is_interactive) ++interactive_count_;
  auto& queue = request.is_interactive ? account.interactive : account.batch;
  queue.push_front(std::move(request));
  AddToOrders(customer, account);
}

auto PoolQueue::Remove(const RequestId& id) -> bool {
  const auto found = customer_by_request_.find(id);
  if (found == customer_by_request_.end()) return false;
  const auto customer = found->second;
  auto& account = accounts_[customer];
  RemoveFromOrders(customer, account);
  for (auto* queue : {&account.interactive, &account.batch}) {
    const auto erased = std::erase_if(
        *queue, [&id](const QueuedRequest& each) { return each.id == id; });
    if (queue == &account.interactive) {
      interactive_count_ -= static_cast<int>(erased);
    }
  }
  customer_by_request_.erase(found);
  AddToOrders(customer, account);
  return true;
}

auto PoolQueue::RemoveExpired(Time now) -> std::vector<QueuedRequest> {
  std::vector<QueuedRequest> expired;
  for (const auto& [service, customer] : backlogged_order_) {
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
  RemoveFromOrders(customer, account);
  account.service = account.service + change / weight;
  AddToOrders(customer, account);
}

auto PoolQueue::AdvanceVirtualTime(VirtualTime fleet) -> void {
  const auto lowest = fleet - catch_up_limit_;
  const auto current = virtual_time();
  if (current >= lowest) return;
  const auto increase = lowest - current;
  virtual_time_floor_ = std::max(virtual_time_floor_, lowest);
  backlogged_order_.clear();
  interactive_order_.clear();
  for (auto& [customer, account] : accounts_) {
    account.service = account.service + increase;
    AddToOrders(customer, account);
  }
}

auto PoolQueue::virtual_time() const -> VirtualTime {
  if (backlogged_order_.empty()) return virtual_time_floor_;
  return backlogged_order_.begin()->first;
}

auto PoolQueue::backlog() const -> Backlog {
  Backlog result;
  result.interactive = interactive_count_;
  result.batch =
      static_cast<int>(customer_by_request_.size()) - interactive_count_;
  for (const auto& [service, customer] : backlogged_order_) {
    result.weight += accounts_.at(customer).weight.value;
  }
  return result;
}

auto PoolQueue::HasWork(bool interactive_only) const -> bool {
  return interactive_only ? !interactive_order_.empty()
                          : !backlogged_order_.empty();
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
  return found == accounts_.end() ? virtual_time_floor_ : found->second.service;
}

auto PoolQueue::ShedCandidate() const -> std::optional<RequestId> {
  if (backlogged_order_.empty()) return std::nullopt;
  // The customer furthest above its share has most requests waiting per weight.
  const Account* worst = nullptr;
  double worst_share = -1;
  for (const auto& [service, customer] : backlogged_order_) {
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

auto PoolQueue::DropIdleAccounts() -> void {
  if (accounts_.size() < kMaxAccounts) return;
  std::erase_if(accounts_, [this](const auto& item) {
    return !item.second.is_backlogged() &&
           item.second.service <= virtual_time_floor_;
  });
}

}  // namespace papayaplank
