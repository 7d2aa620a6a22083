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

// `kNone` for an answer that is no refusal.
auto RefusalKind(const TargetAnswer& answer) -> PastRefusals;

// Whether the answer is a refusal that may repeat one of `past_refusals`.
auto MayBeEarlierRefusal(const TargetAnswer& answer, PastRefusals past_refusals)
    -> bool;

// Decides by the head of the answer. A refusal that may be an earlier one is
// taken as the answer to a repeatable request only, which may run again.
auto FindAnswerOrigin(const TargetAnswer& answer, std::string_view request_id,
                      bool is_repeatable, PastRefusals past_refusals)
    -> AnswerOrigin;

// Whether a connection that has carried these refusals may carry the request.
auto MayCarry(PastRefusals past_refusals, bool is_repeatable) -> bool;

// Whether the connection may carry another request after this answer to the
// last one.
auto IsReusableAfter(const TargetAnswer& answer) -> bool;

// Logs an answer that is not taken as the one to `request_id`.
auto LogStrayAnswer(EventLog& log, std::string_view request_id,
                    const TargetId& target, const TargetAnswer& answer) -> void;

}  // namespace papayaplank

#endif  // RELAY_ANSWER_ORIGIN_H_
