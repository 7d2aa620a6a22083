// Decides which request an answer of a target belongs to. A target may write an
// earlier answer once more, where the answer to the next request is expected.
#ifndef RELAY_ANSWER_ORIGIN_H_
#define RELAY_ANSWER_ORIGIN_H_

#include <string_view>

#include "platform/platform.h"
#include "relay/event_log.h"
#include "relay/target_connection.h"

namespace papayaplank {

enum class AnswerOrigin {
  kThisRequest,   // It is taken as the answer to the request.
  kOtherRequest,  // It carries the id of another request.
  kUnknown,       // It carries no id and may be an earlier answer.
};

// Whether more than one target may run a request of the route.
auto IsRepeatable(const Route& route) -> bool;

// Whether the target states that it hasn't run the request.
auto IsRefusal(const TargetAnswer& answer) -> bool;

// Decides by the head of the answer. A refusal without an id counts only if the
// connection has carried no other (`has_carried_refusal`), which it may repeat.
auto FindAnswerOrigin(const TargetAnswer& answer, std::string_view request_id,
                      bool has_carried_refusal) -> AnswerOrigin;

// Whether the connection may carry another request after this answer to the
// last one. What carries no id can't be told from the next answer.
auto IsReusableAfter(const TargetAnswer& answer) -> bool;

// Logs an answer that is not taken as the one to `request_id`.
auto LogStrayAnswer(EventLog& log, std::string_view request_id,
                    const TargetId& target, const TargetAnswer& answer) -> void;

}  // namespace papayaplank

#endif  // RELAY_ANSWER_ORIGIN_H_
