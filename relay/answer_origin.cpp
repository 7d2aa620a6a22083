// Comparison of ids, and what an answer without one can mean.
#include "relay/answer_origin.h"

namespace papayaplank {

auto IsRepeatable(const Route& route) -> bool {
  return route.kind == RequestKind::kIdempotent ||
         (route.kind == RequestKind::kStream && route.is_resumable);
}

auto RefusalKind(const TargetAnswer& answer) -> PastRefusals {
  if (!answer.is_not_executed && !answer.is_wrong_target) {
    return PastRefusals::kNone;
  }
  return answer.request_id.empty() ? PastRefusals::kWithoutId
                                   : PastRefusals::kWithId;
}

auto MayBeEarlierRefusal(const TargetAnswer& answer, PastRefusals past_refusals)
    -> bool {
  return RefusalKind(answer) == PastRefusals::kWithoutId &&
         past_refusals != PastRefusals::kNone;
}

auto FindAnswerOrigin(const TargetAnswer& answer, std::string_view request_id,
                      bool is_repeatable, PastRefusals past_refusals)
    -> AnswerOrigin {
  if (!answer.request_id.empty()) {
    return answer.request_id == request_id ? AnswerOrigin::kThisRequest
                                           : AnswerOrigin::kOtherRequest;
  }
  const auto is_taken =
      RefusalKind(answer) == PastRefusals::kNone
          ? request_id.empty()
          : is_repeatable || !MayBeEarlierRefusal(answer, past_refusals);
  return is_taken ? AnswerOrigin::kThisRequest : AnswerOrigin::kUnknown;
}

auto MayCarry(PastRefusals past_refusals, bool is_repeatable) -> bool {
  return is_repeatable || past_refusals != PastRefusals::kWithoutId;
}

auto IsReusableAfter(const TargetAnswer& answer) -> bool {
  // After a 421, the address belongs to another target. Without an id, only a
  // refusal is accounted for in later answers.
  if (answer.is_wrong_target) return false;
  return !answer.request_id.empty() || answer.is_not_executed;
}

auto LogStrayAnswer(EventLog& log, std::string_view request_id,
                    const TargetId& target, const TargetAnswer& answer)
    -> void {
  log.Write(LogClass::kFailure, "answer_stray",
            {{"request", request_id},
             {"target", target.value()},
             {"answer_request", answer.request_id},
             {"target_status", static_cast<std::int64_t>(answer.status)},
             {"is_refusal", RefusalKind(answer) != PastRefusals::kNone}});
}

}  // namespace papayaplank
