// Requests that wait for the reply to a request for a permit.
#ifndef RELAY_PERMIT_WAITS_H_
#define RELAY_PERMIT_WAITS_H_

#include <functional>
#include <unordered_map>
#include <utility>

#include "gateway/gateway.h"

namespace papayaplank {

class PermitWaits {
 public:
  // Called once, when the reply has come.
  using Hook = std::function<void()>;

  auto Add(PermitNonce nonce, Hook on_reply) -> void {
    hooks_[nonce] = std::move(on_reply);
  }
  auto Remove(PermitNonce nonce) -> void { hooks_.erase(nonce); }
  // The core has taken the reply to this request.
  auto Resume(PermitNonce nonce) -> void {
    const auto found = hooks_.find(nonce);
    if (found == hooks_.end()) return;
    const auto on_reply = std::move(found->second);
    hooks_.erase(found);
    on_reply();
  }

 private:
  std::unordered_map<PermitNonce, Hook> hooks_;
};

}  // namespace papayaplank

#endif  // RELAY_PERMIT_WAITS_H_
