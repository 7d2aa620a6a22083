// Asks the store how a target's process ended, on behalf of answers that ended
// together with it.
#ifndef RELAY_TARGET_EXIT_CHECK_H_
#define RELAY_TARGET_EXIT_CHECK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "gateway/gateway.h"
#include "relay/http_client.h"
#include "relay/store_health.h"

namespace papayaplank {

// Reads the rows of such targets until the core has a verdict. Makes no call
// while no answer waits for one.
class TargetExitCheck {
 public:
  using ResultHook = std::function<void(bool is_planned)>;

  TargetExitCheck(asio::io_context& io, const std::string& store_address,
                  GatewayCore& core, StoreHealth& store_health);

  // `on_result` is called once.
  auto Start(const TargetRow& target, Time ended_at, ResultHook on_result)
      -> void;
  // Calls to the store since the start.
  auto calls() const -> std::uint64_t { return store_client_.calls(); }

 private:
  // The answers of one process that wait for the verdict.
  struct Inquiry {
    TargetRow target;
    Time ended_at{};
    Time next_read_at{};
    std::vector<ResultHook> hooks;
  };

  // Reads the row that is due, or waits until one is.
  auto ReadNext() -> void;
  auto HandleRow(const TargetId& target, const Outcome<HttpReply>& reply)
      -> void;
  auto DecodeRow(const TargetRow& target, const Outcome<HttpReply>& reply)
      -> ExitRow;
  auto Schedule(Duration delay) -> void;

  GatewayCore& core_;
  StoreHealth& store_health_;
  HttpClient store_client_;
  asio::steady_timer timer_;
  std::map<TargetId, Inquiry> inquiries_;
};

}  // namespace papayaplank

#endif  // RELAY_TARGET_EXIT_CHECK_H_
