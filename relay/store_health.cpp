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

auto StoreHealth::IsOfCurrentEra(std::string_view call, const HttpReply& reply)
    -> bool {
  const auto era = DecodeStoreEra(reply.fields);
  const auto is_malformed = !IsOk(era);
  if (is_malformed && !is_era_malformed_) {
    log_.Write(LogClass::kState, "store_era_malformed",
               {{"call", call}, {"cause", ErrorOf(era).message}});
  }
  is_era_malformed_ = is_malformed;
  return core_.RecordStoreEra(is_malformed ? std::nullopt : ValueOf(era),
                              reply.sent_at, MonotonicClock::now());
}

auto StoreHealth::IsConfirmed(std::string_view call,
                              const Outcome<HttpReply>& reply) -> bool {
  const auto is_confirmed = IsOk(reply) &&
                            IsOfCurrentEra(call, ValueOf(reply)) &&
                            ValueOf(reply).status == kOk;
  if (is_confirmed) {
    RecordSuccess(call);
  } else {
    RecordFailure(call, "the store did not confirm the change");
  }
  return is_confirmed;
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
  if (!IsOfCurrentEra(call, http_reply)) {
    RecordFailure(call, "a late answer of an older era of the store");
    return std::nullopt;
  }
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
  core_.RecordStoreVersion(ValueOf(rows).version);
  return std::move(ValueOf(rows));
}

}  // namespace papayaplank
