// Ranking of members by the hash of key and member (highest random weight).
#include "placement/rendezvous.h"

#include <algorithm>

namespace papayaplank {
namespace {

auto Rank(const std::string& key, const Member& member) -> std::uint64_t {
  return StableHash(member.id.value(), StableHash(key));
}

template <typename Filter>
auto HighestRanked(const std::string& key, const std::vector<Member>& members,
                   const Filter& filter) -> std::optional<RouterId> {
  const Member* best = nullptr;
  std::uint64_t best_rank = 0;
  for (const auto& member : members) {
    if (!filter(member)) continue;
    const auto rank = Rank(key, member);
    if (best != nullptr && rank <= best_rank) continue;
    best = &member;
    best_rank = rank;
  }
  if (best == nullptr) return std::nullopt;
  return best->id;
}

}  // namespace

auto ChooseOwner(const TargetInfo& target, const std::vector<Member>& members)
    -> std::optional<RouterId> {
  const auto& key = target.id.value();
  auto owner = HighestRanked(key, members, [&target](const Member& member) {
    return member.data_center == target.data_center;
  });
  if (owner) return owner;
  owner = HighestRanked(key, members, [&target](const Member& member) {
    return member.region == target.region;
  });
  if (owner) return owner;
  return HighestRanked(key, members, [](const Member&) { return true; });
}

auto ChooseHomeRouters(const CustomerId& customer,
                       const DataCenterId& data_center, std::size_t size,
                       const std::vector<Member>& members)
    -> std::vector<Member> {
  struct Ranked {
    bool is_local;
    std::uint64_t rank;
    const Member* member;
  };
  std::vector<Ranked> ranked;
  ranked.reserve(members.size());
  for (const auto& member : members) {
    ranked.push_back({member.data_center == data_center,
                      Rank(customer.value(), member), &member});
  }
  std::sort(ranked.begin(), ranked.end(), [](const Ranked& a, const Ranked& b) {
    if (a.is_local != b.is_local) return a.is_local;
    return a.rank > b.rank;
  });
  std::vector<Member> routers;
  for (const auto& each : ranked) {
    if (routers.size() == size) break;
    routers.push_back(*each.member);
  }
  return routers;
}

}  // namespace papayaplank
