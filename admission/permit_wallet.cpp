// Permits in hand and open requests for more.
#include "admission/permit_wallet.h"

#include <algorithm>

namespace papayaplank {
namespace {

// Requests for permits of one target that may be open at a time.
constexpr std::size_t kMaxOpenRequests = 16;
// After a request without a reply the owner is probably gone, so the next one
// waits until another router may have taken over.
constexpr Duration kSilenceWait = milliseconds(200);
// A reply that comes later is of no use.
constexpr Duration kForgetAfter = kPermitLifetime;

}  // namespace

auto PermitWallet::HasPermit(const TargetId& target, Time now) -> bool {
  const auto found = accounts_.find(target);
  if (found == accounts_.end()) return false;
  auto& permits = found->second.permits;
  while (!permits.empty() && permits.front() <= now) permits.pop_front();
  return !permits.empty();
}

auto PermitWallet::Take(const TargetId& target) -> void {
  accounts_.at(target).permits.pop_front();
}

auto PermitWallet::AskTime(const TargetId& target, PermitClass permit_class,
                           Time now) const -> Time {
  const auto found = accounts_.find(target);
  if (found == accounts_.end()) return now;
  const auto& account = found->second;
  auto ask_at = account.ask_at;
  if (permit_class == PermitClass::kOverShare) {
    ask_at = std::max(ask_at, account.over_share_ask_at);
  }
  return account.open_requests < kMaxOpenRequests
             ? ask_at
             : std::max(ask_at, now + kSilenceWait);
}

auto PermitWallet::Ask(const TargetId& target, PermitClass permit_class,
                       Time now) -> PermitNonce {
  const PermitNonce nonce(next_nonce_++);
  open_[nonce] = OpenRequest{target, permit_class, now};
  ++accounts_[target].open_requests;
  return nonce;
}

auto PermitWallet::Close(PermitNonce nonce) -> std::optional<OpenRequest> {
  const auto found = open_.find(nonce);
  if (found == open_.end()) return std::nullopt;
  auto request = std::move(found->second);
  open_.erase(found);
  const auto account = accounts_.find(request.target);
  if (account != accounts_.end() && account->second.open_requests > 0) {
    --account->second.open_requests;
  }
  return request;
}

auto PermitWallet::RecordGrant(PermitNonce nonce, Time now)
    -> std::optional<TargetId> {
  const auto request = Close(nonce);
  if (!request) return std::nullopt;
  // Counted from the request, as the owner's permit is no older than that.
  const auto lapses_at = request->asked_at + kPermitLifetime;
  auto& account = accounts_[request->target];
  account.ask_at = now;
  if (lapses_at > now) account.permits.push_back(lapses_at);
  return request->target;
}

auto PermitWallet::RecordRefusal(PermitNonce nonce, Duration wait, Time now)
    -> std::optional<TargetId> {
  const auto request = Close(nonce);
  if (!request) return std::nullopt;
  auto& account = accounts_[request->target];
  (request->permit_class == PermitClass::kOverShare ? account.over_share_ask_at
                                                    : account.ask_at) =
      now + wait;
  return request->target;
}

auto PermitWallet::RecordSilence(PermitNonce nonce, Time now) -> void {
  const auto found = open_.find(nonce);
  if (found == open_.end()) return;
  auto& account = accounts_[found->second.target];
  account.ask_at = std::max(account.ask_at, now + kSilenceWait);
}

auto PermitWallet::Tick(Time now) -> void {
  for (auto request = open_.begin(); request != open_.end();) {
    const auto nonce = request->first;
    const auto is_old = now - request->second.asked_at > kForgetAfter;
    ++request;
    if (is_old) Close(nonce);
  }
  std::erase_if(accounts_, [now](const auto& entry) {
    const auto& account = entry.second;
    const auto has_permit =
        !account.permits.empty() && account.permits.back() > now;
    return !has_permit && account.open_requests == 0 && account.ask_at <= now &&
           account.over_share_ask_at <= now;
  });
}

}  // namespace papayaplank
