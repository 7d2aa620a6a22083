// The part of the simulated fleet in which targets are cold.
#include <algorithm>
#include <deque>

#include "tests/gateway/limit_fleet.h"

namespace papayaplank {

auto LimitFleet::ReadRows() -> void {
  At(kListPeriod, [this] { ReadRows(); });
  const auto index = static_cast<int>(
      random_.Index(static_cast<std::size_t>(options_.routers)));
  auto& router = routers_.at(index);
  if (router.core == nullptr || router.is_frozen) return;
  router.core->SetTargets(Rows(), ++store_version_, now_);
  router.core->SetEvacuated(evacuated_, store_version_, now_);
}

auto LimitFleet::BecomeCold(int target) -> void {
  auto& process = targets_.at(static_cast<std::size_t>(target));
  process.cold_since.push_back(now_);
  At(options_.row_lag, [this, target, started = process.row.started_unix_ms] {
    auto& row = targets_.at(static_cast<std::size_t>(target)).row;
    if (row.started_unix_ms > started) return;
    ++row.reports;
    row.cold_left = options_.cold_time - options_.row_lag;
  });
  At(options_.cold_time + options_.row_lag, [this, target, since = now_] {
    auto& process = targets_.at(static_cast<std::size_t>(target));
    if (process.cold_since.back() != since) return;
    auto& row = process.row;
    ++row.reports;
    row.cold_left = {};
  });
}

auto LimitFleet::Restart(int target) -> void {
  targets_.at(static_cast<std::size_t>(target)).is_down = false;
  BecomeCold(target);
  At(options_.row_lag, [this, target] {
    auto& row = targets_.at(static_cast<std::size_t>(target)).row;
    ++row.started_unix_ms;
  });
}

auto LimitFleet::SetEvacuated(int data_center, bool is_evacuated) -> void {
  const DataCenterId id("dc" + std::to_string(data_center));
  if (is_evacuated) {
    evacuated_.push_back({id, ++store_version_, true});
    return;
  }
  ++store_version_;
  std::erase_if(evacuated_, [&id](const EvacuationRecord& record) {
    return record.data_center == id;
  });
  for (int i = 0; i < options_.targets; ++i) {
    if (targets_.at(static_cast<std::size_t>(i)).row.data_center == id) {
      BecomeCold(i);
    }
  }
}

auto LimitFleet::WorstColdSecond() const -> int {
  auto worst = 0;
  for (const auto& target : targets_) {
    for (const auto since : target.cold_since) {
      std::deque<Time> window;
      for (const auto& arrival : target.arrivals) {
        if (arrival.at < since || arrival.at > since + options_.cold_time) {
          continue;
        }
        window.push_back(arrival.at);
        while (window.front() <= arrival.at - seconds(1)) window.pop_front();
        worst = std::max(worst, static_cast<int>(window.size()));
      }
    }
  }
  return worst;
}

auto LimitFleet::ColdUse() const -> double {
  auto count = 0;
  auto periods = 0;
  for (const auto& target : targets_) {
    for (const auto since : target.cold_since) {
      ++periods;
      count += static_cast<int>(
          std::count_if(target.arrivals.begin(), target.arrivals.end(),
                        [this, since](const Arrival& arrival) {
                          return arrival.at >= since &&
                                 arrival.at <= since + options_.cold_time;
                        }));
    }
  }
  return count / (std::max(1, periods) *
                  std::chrono::duration<double>(options_.cold_time).count());
}

}  // namespace papayaplank
