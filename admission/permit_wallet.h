// Permits of this router for limited targets that other routers own, and when
// it may ask for more.
#ifndef ADMISSION_PERMIT_WALLET_H_
#define ADMISSION_PERMIT_WALLET_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

#include "admission/permit_issuer.h"
#include "base/base.h"

namespace papayaplank {

// Names a request for a permit; unique in this process.
using PermitNonce = StrongId<struct PermitNonceTag, std::uint32_t>;

class PermitWallet {
 public:
  // Whether there is a permit for the target.
  auto HasPermit(const TargetId& target, Time now) -> bool;
  // Takes a permit; only if there is one.
  auto Take(const TargetId& target) -> void;
  // When a permit may be asked for; not later than `now` if it may be now.
  auto AskTime(const TargetId& target, PermitClass permit_class, Time now) const
      -> Time;

  // A permit is asked for.
  auto Ask(const TargetId& target, PermitClass permit_class, Time now)
      -> PermitNonce;
  // The owner's reply: the target of the request, if it is open.
  auto RecordGrant(PermitNonce nonce, Time now) -> std::optional<TargetId>;
  auto RecordRefusal(PermitNonce nonce, Duration wait, Time now)
      -> std::optional<TargetId>;
  // No reply has come in time. A late permit is still taken.
  auto RecordSilence(PermitNonce nonce, Time now) -> void;

  // Drops the permits for the target.
  auto Drop(const TargetId& target) -> void { accounts_.erase(target); }
  auto DropAll() -> void { accounts_.clear(); }
  // Forgets what is old; called periodically.
  auto Tick(Time now) -> void;

 private:
  struct Account {
    // When each permit lapses, oldest first.
    std::deque<Time> permits;
    // No permit is asked for before these times: for any request, and for one
    // of a customer over its share.
    Time ask_at{};
    Time over_share_ask_at{};
    std::size_t open_requests = 0;
  };
  struct OpenRequest {
    TargetId target;
    PermitClass permit_class = PermitClass::kWithinShare;
    Time asked_at{};
  };

  auto Close(PermitNonce nonce) -> std::optional<OpenRequest>;

  std::unordered_map<TargetId, Account> accounts_;
  std::unordered_map<PermitNonce, OpenRequest> open_;
  std::uint32_t next_nonce_ = 1;
};

}  // namespace papayaplank

#endif  // ADMISSION_PERMIT_WALLET_H_
