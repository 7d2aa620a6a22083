// Whether the store answers this router; one for all of its readers.
#ifndef RELAY_STORE_CONTACT_H_
#define RELAY_STORE_CONTACT_H_

#include <string_view>

#include "gateway/gateway.h"
#include "relay/event_log.h"
#include "relay/http_client.h"

namespace papayaplank {

// Tells the core and, when it changes, the log.
class StoreContact {
 public:
  StoreContact(GatewayCore& core, EventLog& log) : core_(core), log_(log) {}

  // `call` names what was asked of the store.
  auto RecordSuccess(std::string_view call) -> void;
  auto RecordFailure(std::string_view call, std::string_view cause) -> void;

  // The rows of a good answer; any other is recorded as a failure.
  auto TakeRows(std::string_view call, const Outcome<HttpReply>& reply)
      -> std::optional<StoreRows>;

 private:
  GatewayCore& core_;
  EventLog& log_;
  bool is_reachable_ = true;
};

}  // namespace papayaplank

#endif  // RELAY_STORE_CONTACT_H_
