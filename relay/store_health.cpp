// Detection and logging of changes of the store's reachability.
#include "relay/store_health.h"

namespace papayaplank {
namespace {

constexpr int kOk = 200;

}  // namespace

auto StoreHealth::RecordSuccess(std::string_view call) -> void {
  core_.RecordStoreSuccess(MonotonicClock::now());
  if (is_reachable_) return;
  is_reachable_ = true;
  log_.Write(LogClass::kState, "store_regained", {{"call", call}});
}

auto StoreHealth::RecordFailure(std::string_view call, std::string_view cause)
    -> void {
  core_.RecordStoreFailure();
  if (!is_reachable_) return;
  is_reachable_ = false;
  log_.Write(LogClass::kState, "store_lost",
             {{"call", call}, {"cause", cause}});
}

auto StoreHealth::DecodeRows(std::string_view call,
                             const Outcome<HttpReply>& reply,
                             const PageStart& after)
    -> std::optional<StoreRows> {
  if (!IsOk(reply)) {
    RecordFailure(call, ErrorOf(reply).message);
    return std::nullopt;
  }
  const auto& http_reply = ValueOf(reply);
  if (http_reply.status != kOk) {
    RecordFailure(call, "status " + std::to_string(http_reply.status));
    return std::nullopt;
  }
  auto rows = DecodeStoreRows(http_reply.body, after);
  if (!IsOk(rows)) {
    RecordFailure(call, ErrorOf(rows).message);
    return std::nullopt;
  }
  RecordSuccess(call);
  return std::move(ValueOf(rows));
}

}  // namespace papayaplank
