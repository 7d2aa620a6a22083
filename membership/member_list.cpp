// Probing, suspicion, and spreading of membership updates.
#include "membership/member_list.h"

#include <algorithm>

namespace papayaplank {
namespace {

auto IsActive(MemberState state) -> bool {
  return state == MemberState::kAlive || state == MemberState::kSuspected;
}

// Whether `update` replaces `known`: a higher incarnation wins; within one
// incarnation the worse state wins, in the order of `MemberState`.
auto Supersedes(const Member& update, const Member& known) -> bool {
  if (update.incarnation != known.incarnation) {
    return update.incarnation > known.incarnation;
  }
  return update.state > known.state;
}

}  // namespace

auto MemberStateName(MemberState state) -> std::string_view {
  switch (state) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspected:
      return "suspected";
    case MemberState::kLeaving:
      return "leaving";
    case MemberState::kDead:
      return "dead";
  }
  return "unknown";
}

MemberList::MemberList(Member self, MembershipOptions options,
                       std::uint64_t seed)
    : self_(std::move(self)), options_(options), random_(seed) {}

auto MemberList::SetSeeds(std::vector<std::string> addresses) -> void {
  seeds_ = std::move(addresses);
}

auto MemberList::SetConfigVersion(ConfigVersion version) -> void {
  self_.config_version = version;
}

auto MemberList::Handle(const Ping& ping, const std::string& from, Time now)
    -> Messages {
  for (const auto& update : ping.updates) ApplyUpdate(update, now);
  const auto is_for_self = ping.subject.is_empty() || ping.subject == self_.id;
  if (is_for_self) {
    Ack ack{ping.sequence, self_.id, PickUpdates()};
    AddSuspicionOfSender(ping, ack);
    return {{from, std::move(ack)}};
  }
  const auto* subject = Find(ping.subject);
  if (subject == nullptr) return {};
  // A subject at this router's own address is a former process of it, and the
  // probe would go back to this router.
  if (subject->gossip_address == self_.gossip_address) return {};
  const auto sequence = next_sequence_++;
  relayed_probes_[sequence] = {from, ping.sequence, ping.subject, now};
  return {
      {subject->gossip_address, Ping{sequence, ping.subject, PickUpdates()}}};
}

auto MemberList::Handle(const Ack& ack, Time now) -> Messages {
  for (const auto& update : ack.updates) ApplyUpdate(update, now);
  if (probe_ && probe_->sequence == ack.sequence &&
      probe_->subject == ack.subject) {
    probe_.reset();
    return {};
  }
  const auto relayed = relayed_probes_.find(ack.sequence);
  if (relayed == relayed_probes_.end() ||
      relayed->second.subject != ack.subject) {
    return {};
  }
  Messages out{{relayed->second.requester,
                Ack{relayed->second.requester_sequence, ack.subject, {}}}};
  relayed_probes_.erase(relayed);
  return out;
}

auto MemberList::Tick(Time now) -> Messages {
  Messages out;
  ExpireStates(now);
  CheckProbe(now, out);
  ProbeSuspected(now, out);
  PingSeeds(now, out);
  if (now >= next_probe_) {
    next_probe_ = now + options_.probe_period;
    StartProbe(now, out);
  }
  return out;
}

auto MemberList::Leave(Time now) -> Messages {
  self_.state = MemberState::kLeaving;
  ++self_.incarnation;
  ++generation_;
  self_sent_ = 0;
  Messages out;
  for (const auto& [id, entry] : entries_) {
    if (entry.member.state == MemberState::kDead) continue;
    out.push_back(
        {entry.member.gossip_address, Ping{next_sequence_++, id, {self_}}});
  }
  next_probe_ = now;
  return out;
}

auto MemberList::Suspect(const RouterId& id, Time now) -> void {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return;
  if (found->second.member.state != MemberState::kAlive) return;
  SetState(found->second, MemberState::kSuspected, now);
}

auto MemberList::ActiveMembers() const -> std::vector<Member> {
  std::vector<Member> members;
  if (IsActive(self_.state)) members.push_back(self_);
  for (const auto& [id, entry] : entries_) {
    if (IsActive(entry.member.state)) members.push_back(entry.member);
  }
  return members;
}

auto MemberList::LiveMembers() const -> std::vector<Member> {
  std::vector<Member> members{self_};
  for (const auto& [id, entry] : entries_) {
    if (entry.member.state != MemberState::kDead) {
      members.push_back(entry.member);
    }
  }
  return members;
}

auto MemberList::Find(const RouterId& id) const -> const Member* {
  if (id == self_.id) return &self_;
  const auto found = entries_.find(id);
  if (found == entries_.end()) return nullptr;
  if (found->second.member.state == MemberState::kDead) return nullptr;
  return &found->second.member;
}

auto MemberList::ApplyUpdate(const Member& update, Time now) -> void {
  if (update.id == self_.id) return ApplyUpdateAboutSelf(update);
  // A member at this router's own address is a former process of this instance,
  // which cannot be alive.
  if (update.gossip_address == self_.gossip_address &&
      update.state != MemberState::kDead) {
    const auto known = entries_.find(update.id);
    const auto is_known_dead = known != entries_.end() &&
                               known->second.member.state == MemberState::kDead;
    if (is_known_dead) return;
    auto& former = entries_[update.id];
    former.member = update;
    SetState(former, MemberState::kDead, now);
    return;
  }
  const auto found = entries_.find(update.id);
  if (found == entries_.end()) {
    if (update.state == MemberState::kDead) return;
    auto& entry = entries_[update.id];
    entry.member = update;
    SetState(entry, update.state, now);
    probe_order_.push_back(update.id);
    return;
  }
  auto& entry = found->second;
  if (update.config_version > entry.member.config_version) {
    entry.member.config_version = update.config_version;
  }
  if (!Supersedes(update, entry.member)) return;
  const auto version =
      std::max(update.config_version, entry.member.config_version);
  entry.member = update;
  entry.member.config_version = version;
  SetState(entry, update.state, now);
}

auto MemberList::AddSuspicionOfSender(const Ping& ping, Ack& ack) const
    -> void {
  // The first update of a ping is its sender.
  if (ping.updates.empty()) return;
  const auto found = entries_.find(ping.updates.front().id);
  if (found == entries_.end()) return;
  const auto state = found->second.member.state;
  const auto is_suspected_or_dead =
      state == MemberState::kSuspected || state == MemberState::kDead;
  if (is_suspected_or_dead) ack.updates.push_back(found->second.member);
}

auto MemberList::ProbeSuspected(Time now, Messages& out) -> void {
  if (now < next_suspect_probe_) return;
  next_suspect_probe_ = now + options_.probe_timeout;
  // In a large fleet each member probes a suspected one only with this
  // probability, so that the suspected one is not flooded.
  const auto share = static_cast<double>(options_.suspect_probers) /
                     static_cast<double>(entries_.size() + 1);
  for (const auto& [id, entry] : entries_) {
    if (entry.member.state != MemberState::kSuspected) continue;
    if (random_.Uniform() >= share) continue;
    out.push_back({entry.member.gossip_address,
                   Ping{next_sequence_++, id, {self_, entry.member}}});
  }
}

auto MemberList::ApplyUpdateAboutSelf(const Member& update) -> void {
  if (update.state == MemberState::kAlive) return;
  if (update.state == MemberState::kLeaving) return;
  if (update.incarnation < self_.incarnation) return;
  self_.incarnation = update.incarnation + 1;
  self_sent_ = 0;
}

auto MemberList::SetState(Entry& entry, MemberState state, Time now) -> void {
  entry.member.state = state;
  entry.times_sent = 0;
  ++generation_;
  if (state == MemberState::kSuspected) {
    entry.state_deadline = now + options_.suspicion_time;
  }
  if (state == MemberState::kDead) {
    entry.state_deadline = now + options_.dead_retention;
  }
}

auto MemberList::ExpireStates(Time now) -> void {
  for (auto it = entries_.begin(); it != entries_.end();) {
    auto& entry = it->second;
    const auto state = entry.member.state;
    const auto is_due = now >= entry.state_deadline;
    if (state == MemberState::kSuspected && is_due) {
      SetState(entry, MemberState::kDead, now);
    }
    if (state == MemberState::kDead && is_due) {
      it = entries_.erase(it);
      continue;
    }
    ++it;
  }
  for (auto it = relayed_probes_.begin(); it != relayed_probes_.end();) {
    const auto is_old = now - it->second.sent_at > options_.probe_period;
    it = is_old ? relayed_probes_.erase(it) : std::next(it);
  }
}

auto MemberList::CheckProbe(Time now, Messages& out) -> void {
  if (!probe_) return;
  const auto waited = now - probe_->sent_at;
  if (!probe_->is_indirect && waited >= options_.probe_timeout) {
    probe_->is_indirect = true;
    std::size_t asked = 0;
    for (const auto& [id, entry] : entries_) {
      if (asked == options_.indirect_probes) break;
      if (id == probe_->subject) continue;
      if (entry.member.state != MemberState::kAlive) continue;
      out.push_back({entry.member.gossip_address,
                     Ping{probe_->sequence, probe_->subject, PickUpdates()}});
      ++asked;
    }
    return;
  }
  // The indirect probes are given two more timeouts.
  if (waited < options_.probe_timeout * 3) return;
  const auto subject = entries_.find(probe_->subject);
  probe_.reset();
  if (subject == entries_.end()) return;
  auto& entry = subject->second;
  if (entry.member.state == MemberState::kAlive) {
    SetState(entry, MemberState::kSuspected, now);
  } else if (entry.member.state == MemberState::kLeaving) {
    SetState(entry, MemberState::kDead, now);
  }
}

auto MemberList::StartProbe(Time now, Messages& out) -> void {
  if (probe_) return;
  const auto* entry = NextProbeSubject();
  if (entry == nullptr) return;
  probe_ = Probe{entry->member.id, next_sequence_++, now, false};
  auto updates = PickUpdates();
  // Include a suspected member's own state, so that it can refute.
  if (entry->member.state == MemberState::kSuspected) {
    updates.push_back(entry->member);
  }
  out.push_back({entry->member.gossip_address,
                 Ping{probe_->sequence, probe_->subject, std::move(updates)}});
}

auto MemberList::PingSeeds(Time now, Messages& out) -> void {
  if (now < next_seed_) return;
  next_seed_ = now + options_.seed_period;
  std::vector<std::string> unknown;
  for (const auto& address : seeds_) {
    if (address == self_.gossip_address) continue;
    const auto is_known = std::any_of(
        entries_.begin(), entries_.end(), [&address](const auto& item) {
          const auto& member = item.second.member;
          return member.gossip_address == address &&
                 member.state != MemberState::kDead;
        });
    if (!is_known) unknown.push_back(address);
  }
  constexpr std::size_t kSeedsPerRound = 3;
  for (std::size_t i = 0; i < kSeedsPerRound && !unknown.empty(); ++i) {
    const auto index = random_.Index(unknown.size());
    out.push_back({unknown[index], Ping{next_sequence_++, {}, {self_}}});
    unknown.erase(unknown.begin() + static_cast<std::ptrdiff_t>(index));
  }
}

auto MemberList::NextProbeSubject() -> const Entry* {
  for (std::size_t tries = 0; tries <= probe_order_.size(); ++tries) {
    if (probe_index_ >= probe_order_.size()) {
      probe_index_ = 0;
      std::erase_if(probe_order_, [this](const RouterId& id) {
        return entries_.count(id) == 0;
      });
      for (std::size_t i = probe_order_.size(); i > 1; --i) {
        std::swap(probe_order_[i - 1], probe_order_[random_.Index(i)]);
      }
      if (probe_order_.empty()) return nullptr;
    }
    const auto found = entries_.find(probe_order_[probe_index_++]);
    if (found == entries_.end()) continue;
    if (found->second.member.state == MemberState::kDead) continue;
    return &found->second;
  }
  return nullptr;
}

auto MemberList::PickUpdates() -> std::vector<Member> {
  std::vector<Member> updates{self_};
  std::vector<Entry*> least_sent;
  for (auto& [id, entry] : entries_) least_sent.push_back(&entry);
  const auto count = std::min(options_.updates_per_message, least_sent.size());
  std::partial_sort(least_sent.begin(),
                    least_sent.begin() + static_cast<std::ptrdiff_t>(count),
                    least_sent.end(), [](const Entry* a, const Entry* b) {
                      return a->times_sent < b->times_sent;
                    });
  for (std::size_t i = 0; i < count; ++i) {
    ++least_sent[i]->times_sent;
    updates.push_back(least_sent[i]->member);
  }
  return updates;
}

}  // namespace papayaplank
