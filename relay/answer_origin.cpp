// Comparison of ids, and what an answer without one can mean.
#include "relay/answer_origin.h"

namespace papayaplank {

auto IsRepeatable(const Route& route) -> bool {
  return route.kind == RequestKind::kIdempotent ||
         (route.kind == RequestKind::kStream && route.is_resumable);
}

auto IsRefusal(const TargetAnswer& answer) -> bool {
  return answer.is_not_executed || answer.is_wrong_target;
}

auto FindAnswerOrigin(const TargetAnswer& answer, std::string_view request_id,
                      bool has_carried_refusal) -> AnswerOrigin {
  if (!answer.request_id.empty()) {
    return answer.request_id == request_id ? AnswerOrigin::kThisRequest
                                           : AnswerOrigin::kOtherRequest;
  }
  const auto is_taken =
      IsRefusal(answer) ? !has_carried_refusal : request_id.empty();
  return is_taken ? AnswerOrigin::kThisRequest : AnswerOrigin::kUnknown;
}

auto IsReusableAfter(const TargetAnswer& answer) -> bool {
  // After a 421, the address belongs to another target.
  return !answer.request_id.empty() && !answer.is_wrong_target;
}

auto LogStrayAnswer(EventLog& log, std::string_view request_id,
                    const TargetId& target, const TargetAnswer& answer)
    -> void {
  log.Write(LogClass::kFailure, "answer_stray",
            {{"request", request_id},
             {"target", target.value()},
             {"answer_request", answer.request_id},
             {"target_status", static_cast<std::int64_t>(answer.status)},
             {"is_refusal", IsRefusal(answer)}});
}

}  // namespace papayaplank
