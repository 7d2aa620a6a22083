// Tracks whether the store answers this router; shared by all store clients of
// the process.
#ifndef RELAY_STORE_HEALTH_H_
#define RELAY_STORE_HEALTH_H_

#include <string_view>

#include "gateway/gateway.h"
#include "relay/event_log.h"
#include "relay/http_client.h"

namespace papayaplank {

// Reports each result to the core, and each change of reachability to the log.
class StoreHealth {
 public:
  StoreHealth(GatewayCore& core, EventLog& log) : core_(core), log_(log) {}

  // `call` is the name of the store call, for the log.
  auto RecordSuccess(std::string_view call) -> void;
  auto RecordFailure(std::string_view call, std::string_view cause) -> void;

  // Tells the core of the era that the reply states. Returns whether the reply
  // counts; a late one of an older era is to be taken for no answer.
  auto IsOfCurrentEra(std::string_view call, const HttpReply& reply) -> bool;
  // Whether the store has confirmed a change, in its current era.
  auto IsConfirmed(std::string_view call, const Outcome<HttpReply>& reply)
      -> bool;

  // Decodes the rows of a reply and records a success. Anything but rows is
  // recorded as a failure and returns nothing. `after` is where the page that
  // was asked for begins.
  auto DecodeRows(std::string_view call, const Outcome<HttpReply>& reply,
                  const PageStart& after = {}) -> std::optional<StoreRows>;

 private:
  GatewayCore& core_;
  EventLog& log_;
  bool is_reachable_ = true;
  // The newest header that could be read was followed by one that could not.
  bool is_era_malformed_ = false;
};

}  // namespace papayaplank

#endif  // RELAY_STORE_HEALTH_H_
