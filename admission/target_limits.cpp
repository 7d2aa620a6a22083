// Keeps the newest news of each target and counts requests to limited ones.
#include "admission/target_limits.h"

#include <algorithm>

namespace papayaplank {
namespace {

// How long it is remembered that a limit has ended, so that older news that
// still travel don't bring it back.
constexpr Duration kEndMemory = seconds(30);

}  // namespace

auto TargetLimits::RecordAnswer(const TargetId& target, ProcessStart process,
                                std::optional<RequestRate> limit, Time now)
    -> void {
  const auto found = entries_.find(target);
  if (found == entries_.end() && !limit) return;
  const auto id = static_cast<std::uint32_t>(random_.Index(UINT32_MAX)) + 1;
  Apply(target, LimitNews{id, process, limit, now}, false, now);
}

auto TargetLimits::Merge(const TargetId& target, const LimitNews& news,
                         Time now) -> bool {
  const auto found = entries_.find(target);
  if (found == entries_.end()) {
    return news.limit && Apply(target, news, true, now);
  }
  const auto& known = found->second.news;
  if (news.id == known.id || news.process < known.process) return false;
  if (news.process == known.process && news.at <= known.at) return false;
  return Apply(target, news, true, now);
}

auto TargetLimits::Apply(const TargetId& target, const LimitNews& news,
                         bool is_from_peer, Time now) -> bool {
  auto& entry = entries_[target];
  const auto before = entry.news.limit;
  entry.news = news;
  if (before == news.limit) return false;
  changes_.push_back({target, before, news.limit, now - news.at, is_from_peer});
  return true;
}

auto TargetLimits::RecordSend(const TargetId& target, Time now) -> void {
  const auto found = entries_.find(target);
  if (found == entries_.end()) return;
  auto& sends = found->second.sends;
  sends.push_back(now);
  while (sends.front() <= now - kSendWindow) sends.pop_front();
}

auto TargetLimits::Tick(Time now) -> void {
  std::erase_if(entries_, [now](const auto& item) {
    const auto& news = item.second.news;
    return !news.limit && now - news.at > kEndMemory;
  });
}

auto TargetLimits::Find(const TargetId& target) const
    -> std::optional<RequestRate> {
  const auto found = entries_.find(target);
  return found == entries_.end() ? std::nullopt : found->second.news.limit;
}

auto TargetLimits::FindNews(const TargetId& target) const -> const LimitNews* {
  const auto found = entries_.find(target);
  return found == entries_.end() ? nullptr : &found->second.news;
}

auto TargetLimits::is_any_limited() const -> bool {
  return std::any_of(entries_.begin(), entries_.end(), [](const auto& item) {
    return item.second.news.limit.has_value();
  });
}

auto TargetLimits::Limited(Time now) const -> std::vector<LimitedTarget> {
  std::vector<LimitedTarget> limited;
  for (const auto& [target, entry] : entries_) {
    if (!entry.news.limit) continue;
    const auto sends =
        std::count_if(entry.sends.begin(), entry.sends.end(),
                      [now](Time at) { return at > now - kSendWindow; });
    limited.push_back({target, *entry.news.limit, now - entry.news.at,
                       static_cast<std::size_t>(sends)});
  }
  return limited;
}

}  // namespace papayaplank
