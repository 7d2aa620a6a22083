// Accounts and order of a pool's queue: bounded gaps between customers, no
// starvation, exact charges.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "fairness/fairness.h"

namespace papayaplank {
namespace {

constexpr VirtualTime kCatchUpLimit{1000};

auto MakeRequest(int number, const std::string& customer, double weight,
                 double estimate, bool is_interactive = false)
    -> QueuedRequest {
  QueuedRequest request;
  request.id = RequestId(std::to_string(number));
  request.customer = CustomerId(customer);
  request.weight = Weight{weight};
  request.estimate = Cost{estimate};
  request.is_interactive = is_interactive;
  request.deadline = Time(seconds(3600));
  return request;
}

TEST(PoolQueueTest, ServesTheCustomerThatIsBehind) {
  PoolQueue queue(kCatchUpLimit);
  for (int i = 0; i < 10; ++i) queue.Push(MakeRequest(i, "flood", 1, 10));
  queue.Push(MakeRequest(100, "quiet", 1, 10));
  queue.Pop(false);
  EXPECT_EQ(queue.Pop(false)->customer, CustomerId("quiet"));
}

TEST(PoolQueueTest, IdleTimeEarnsNoCredit) {
  PoolQueue queue(kCatchUpLimit);
  for (int i = 0; i < 100; ++i) queue.Push(MakeRequest(i, "busy", 1, 10));
  for (int i = 0; i < 50; ++i) queue.Pop(false);
  queue.Push(MakeRequest(200, "late", 1, 10));
  EXPECT_EQ(queue.CustomerVirtualTime(CustomerId("late")),
            queue.CustomerVirtualTime(CustomerId("busy")));
}

TEST(PoolQueueTest, PutBackRefundsTheCharge) {
  PoolQueue queue(kCatchUpLimit);
  queue.Push(MakeRequest(1, "a", 2, 10));
  auto request = queue.Pop(false);
  queue.PutBack(std::move(*request));
  EXPECT_EQ(queue.CustomerVirtualTime(CustomerId("a")).value, 0);
  EXPECT_EQ(queue.backlog().total(), 1);
}

TEST(PoolQueueTest, InteractiveRequestsOfACustomerGoFirst) {
  PoolQueue queue(kCatchUpLimit);
  queue.Push(MakeRequest(1, "a", 1, 10, false));
  queue.Push(MakeRequest(2, "a", 1, 10, true));
  EXPECT_EQ(queue.Pop(false)->id, RequestId("2"));
  EXPECT_FALSE(queue.Pop(true).has_value());
}

TEST(PoolQueueTest, FollowsTheFleetWithinTheCatchUpLimit) {
  PoolQueue queue(kCatchUpLimit);
  queue.Push(MakeRequest(1, "a", 1, 10));
  queue.AdvanceVirtualTime(VirtualTime{5000});
  EXPECT_EQ(queue.virtual_time().value, 4000);
  queue.AdvanceVirtualTime(VirtualTime{2000});
  EXPECT_EQ(queue.virtual_time().value, 4000);
}

TEST(PoolQueueTest, ExpiresOnlyWhatIsDue) {
  PoolQueue queue(kCatchUpLimit);
  auto early = MakeRequest(1, "a", 1, 10);
  early.deadline = Time(seconds(1));
  queue.Push(early);
  queue.Push(MakeRequest(2, "a", 1, 10));
  EXPECT_EQ(queue.RemoveExpired(Time(seconds(2))).size(), 1U);
  EXPECT_EQ(queue.backlog().total(), 1);
}

// Between customers that stay backlogged, service per weight differs by at
// most one request of each, whatever the costs, weights and estimates.
RC_GTEST_PROP(PoolQueueProperty, GapIsBoundedWhileBacklogged, ()) {
  const auto customers = *rc::gen::inRange(2, 6);
  std::vector<double> weights;
  for (int i = 0; i < customers; ++i) {
    weights.push_back(*rc::gen::inRange(1, 5));
  }
  constexpr double kLargestCost = 100;
  PoolQueue queue(kCatchUpLimit);
  std::vector<double> served(weights.size(), 0);
  int number = 0;
  const auto push = [&](int index) {
    queue.Push(MakeRequest(number++, std::to_string(index),
                           weights[static_cast<std::size_t>(index)],
                           *rc::gen::inRange(1, 100)));
  };
  for (int i = 0; i < customers; ++i) {
    push(i);
    push(i);
  }
  for (int step = 0; step < 200; ++step) {
    const auto request = queue.Pop(false);
    const auto index = std::stoi(request->customer.value());
    const double cost = *rc::gen::inRange(1, 100);
    queue.Charge(request->customer, request->weight,
                 Cost{cost - request->estimate.units});
    served[static_cast<std::size_t>(index)] += cost;
    push(index);
    for (std::size_t a = 0; a < weights.size(); ++a) {
      for (std::size_t b = 0; b < weights.size(); ++b) {
        const auto gap = served[a] / weights[a] - served[b] / weights[b];
        RC_ASSERT(gap <= kLargestCost / weights[a] + kLargestCost / weights[b]);
      }
    }
  }
}

// Counts and the set of waiting requests stay consistent under any order of
// calls.
RC_GTEST_PROP(PoolQueueProperty, CountsStayConsistent, ()) {
  PoolQueue queue(kCatchUpLimit);
  std::set<int> waiting;
  int number = 0;
  for (int step = 0; step < 100; ++step) {
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        waiting.insert(number);
        queue.Push(MakeRequest(number++,
                               std::to_string(*rc::gen::inRange(0, 4)), 1, 5,
                               *rc::gen::arbitrary<bool>()));
        break;
      case 1: {
        const auto request = queue.Pop(*rc::gen::arbitrary<bool>());
        if (request) waiting.erase(std::stoi(request->id.value()));
        break;
      }
      case 2: {
        const auto id = *rc::gen::inRange(0, number + 1);
        const auto is_removed = queue.Remove(RequestId(std::to_string(id)));
        RC_ASSERT(is_removed == (waiting.erase(id) == 1));
        break;
      }
      default:
        queue.AdvanceVirtualTime(
            VirtualTime{static_cast<double>(*rc::gen::inRange(0, 5000))});
    }
    RC_ASSERT(queue.backlog().total() == static_cast<int>(waiting.size()));
    RC_ASSERT(queue.HasWork(false) == !waiting.empty());
  }
}

}  // namespace
}  // namespace papayaplank
