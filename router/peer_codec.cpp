// CBOR form of peer messages: an array of the message's kind, which is its
// index in `PeerMessage`, and then its fields in order.
#include "router/peer_codec.h"

#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>
#include <type_traits>
#include <utility>

namespace papayaplank {
namespace {

using Json = nlohmann::json;

// Appends fields to a CBOR array.
class FieldWriter {
 public:
  auto Visit(const std::string& value) -> void { array_.push_back(value); }
  auto Visit(double value) -> void {
    // The shorter encoding, where it loses nothing.
    array_.push_back(static_cast<float>(value) == value
                         ? Json(static_cast<float>(value))
                         : Json(value));
  }
  template <typename Integer>
  requires std::is_integral_v<Integer>
  auto Visit(Integer value) -> void { array_.push_back(value); }
  auto Visit(MemberState value) -> void {
    array_.push_back(static_cast<int>(value));
  }
  template <typename Tag, typename Value>
  auto Visit(const StrongId<Tag, Value>& id) -> void {
    Visit(id.value());
  }
  template <typename Element>
  auto Visit(const std::vector<Element>& values) -> void;

  auto array() -> Json& { return array_; }

 private:
  Json array_ = Json::array();
};

// Reads fields from a CBOR array. After the first error, all reads fail.
class FieldReader {
 public:
  explicit FieldReader(const Json& array) : array_(array) {}

  auto Visit(std::string& value) -> void {
    const auto* json = Next();
    if (json == nullptr) return;
    if (!json->is_string()) return Fail();
    value = json->get<std::string>();
  }
  auto Visit(double& value) -> void {
    const auto* json = Next();
    if (json == nullptr) return;
    if (!json->is_number()) return Fail();
    value = json->get<double>();
    if (!std::isfinite(value)) Fail();
  }
  auto Visit(bool& value) -> void {
    const auto* json = Next();
    if (json == nullptr) return;
    if (!json->is_boolean()) return Fail();
    value = json->get<bool>();
  }
  template <typename Integer>
  requires std::is_integral_v<Integer>
  auto Visit(Integer& value) -> void {
    const auto* json = Next();
    if (json == nullptr) return;
    if (!json->is_number_integer()) return Fail();
    if constexpr (std::is_same_v<Integer, std::uint64_t>) {
      if (!json->is_number_unsigned()) return Fail();
      value = json->get<std::uint64_t>();
    } else {
      const auto wide = json->get<std::int64_t>();
      value = static_cast<Integer>(wide);
      if (static_cast<std::int64_t>(value) != wide) Fail();
    }
  }
  auto Visit(MemberState& value) -> void {
    int number = 0;
    Visit(number);
    const auto is_known =
        number >= 0 && number <= static_cast<int>(MemberState::kDead);
    if (!is_known) return Fail();
    value = static_cast<MemberState>(number);
  }
  template <typename Tag, typename Value>
  auto Visit(StrongId<Tag, Value>& id) -> void {
    Value value{};
    Visit(value);
    id = StrongId<Tag, Value>(std::move(value));
  }
  template <typename Element>
  auto Visit(std::vector<Element>& values) -> void;

  auto has_failed() const -> bool { return has_failed_; }
  auto is_at_end() const -> bool { return index_ == array_.size(); }
  auto Fail() -> void { has_failed_ = true; }

 private:
  auto Next() -> const Json* {
    if (!has_failed_ && index_ < array_.size()) return &array_[index_++];
    has_failed_ = true;
    return nullptr;
  }

  const Json& array_;
  std::size_t index_ = 0;
  bool has_failed_ = false;
};

// `Wanted`, const when the message is written and not const when it is read.
template <typename Message, typename Wanted>
concept MaybeConst = std::same_as<std::remove_const_t<Message>, Wanted>;

// `VisitFields` lists the fields of each message in the order in which they are
// sent.
template <typename Visitor>
auto VisitFields(Visitor& visitor, MaybeConst<Member> auto& member) -> void {
  visitor.Visit(member.id);
  visitor.Visit(member.gossip_address);
  visitor.Visit(member.caller_address);
  visitor.Visit(member.peer_address);
  visitor.Visit(member.data_center);
  visitor.Visit(member.region);
  visitor.Visit(member.state);
  visitor.Visit(member.incarnation);
  visitor.Visit(member.config_version);
}

template <typename Visitor>
auto VisitFields(Visitor& visitor, MaybeConst<SlotCounts> auto& counts)
    -> void {
  visitor.Visit(counts.shared);
  visitor.Visit(counts.headroom);
}

template <typename Visitor>
auto VisitFields(Visitor& visitor, MaybeConst<Ping> auto& ping) -> void {
  visitor.Visit(ping.sequence);
  visitor.Visit(ping.subject);
  visitor.Visit(ping.updates);
}

template <typename Visitor>
auto VisitFields(Visitor& visitor, MaybeConst<Ack> auto& ack) -> void {
  visitor.Visit(ack.sequence);
  visitor.Visit(ack.subject);
  visitor.Visit(ack.updates);
}

template <typename Visitor>
auto VisitFields(Visitor& visitor, MaybeConst<SlotDemand> auto& demand)
    -> void {
  visitor.Visit(demand.router);
  visitor.Visit(demand.pool);
  VisitFields(visitor, demand.wanted);
  visitor.Visit(demand.virtual_time.value);
  visitor.Visit(demand.backlog_weight);
  visitor.Visit(demand.mean_estimate.units);
  visitor.Visit(demand.sent_at_us);
}

template <typename Visitor>
auto VisitFields(Visitor& visitor, MaybeConst<LeaseUpdate> auto& update)
    -> void {
  visitor.Visit(update.target);
  visitor.Visit(update.sequence);
  VisitFields(visitor, update.allowed);
  visitor.Visit(update.echo_us);
  visitor.Visit(update.is_over);
}

template <typename Visitor>
auto VisitFields(Visitor& visitor, MaybeConst<LeaseUpdates> auto& updates)
    -> void {
  visitor.Visit(updates.owner);
  visitor.Visit(updates.updates);
}

template <typename Visitor>
auto VisitFields(Visitor& visitor, MaybeConst<HeldLease> auto& held) -> void {
  visitor.Visit(held.target);
  VisitFields(visitor, held.held);
  VisitFields(visitor, held.busy);
  visitor.Visit(held.virtual_time.value);
  visitor.Visit(held.has_backlog);
  visitor.Visit(held.seen_sequence);
}

template <typename Visitor>
auto VisitFields(Visitor& visitor, MaybeConst<LeaseReport> auto& report)
    -> void {
  visitor.Visit(report.router);
  visitor.Visit(report.sent_at_us);
  visitor.Visit(report.leases);
}

template <typename Visitor>
auto VisitFields(Visitor& visitor, MaybeConst<PoolSummary> auto& summary)
    -> void {
  visitor.Visit(summary.router);
  visitor.Visit(summary.pool);
  visitor.Visit(summary.sequence);
  visitor.Visit(summary.virtual_time.value);
  visitor.Visit(summary.backlog_weight);
  visitor.Visit(summary.free_slots);
}

template <typename Visitor>
auto VisitFields(Visitor& visitor, MaybeConst<StateGossip> auto& gossip)
    -> void {
  visitor.Visit(gossip.summaries);
}

template <typename Visitor>
auto VisitFields(Visitor& visitor, MaybeConst<AccountEntry> auto& entry)
    -> void {
  visitor.Visit(entry.customer);
  visitor.Visit(entry.pool);
  visitor.Visit(entry.weight.value);
  visitor.Visit(entry.served.units);
}

template <typename Visitor>
auto VisitFields(Visitor& visitor, MaybeConst<AccountReport> auto& report)
    -> void {
  visitor.Visit(report.router);
  visitor.Visit(report.entries);
}

template <typename Visitor>
auto VisitFields(Visitor& visitor, MaybeConst<AccountReply> auto& reply)
    -> void {
  visitor.Visit(reply.coordinator);
  visitor.Visit(reply.entries);
}

template <typename Element>
auto FieldWriter::Visit(const std::vector<Element>& values) -> void {
  auto list = Json::array();
  for (const auto& value : values) {
    FieldWriter writer;
    VisitFields(writer, value);
    list.push_back(std::move(writer.array()));
  }
  array_.push_back(std::move(list));
}

template <typename Element>
auto FieldReader::Visit(std::vector<Element>& values) -> void {
  const auto* list = Next();
  if (list == nullptr) return;
  if (!list->is_array()) return Fail();
  for (const auto& item : *list) {
    if (!item.is_array()) return Fail();
    FieldReader reader(item);
    Element element;
    VisitFields(reader, element);
    if (reader.has_failed() || !reader.is_at_end()) return Fail();
    values.push_back(std::move(element));
  }
}

// Decodes the message of kind `Kind`, its index in `PeerMessage`.
template <std::size_t Kind>
auto DecodeKind(FieldReader& reader, std::size_t kind) -> Outcome<PeerMessage> {
  if constexpr (Kind == std::variant_size_v<PeerMessage>) {
    return Error{ErrorCode::kInvalidArgument,
                 "peer message of an unknown kind; all routers must run the "
                 "same release"};
  } else {
    if (kind != Kind) return DecodeKind<Kind + 1>(reader, kind);
    std::variant_alternative_t<Kind, PeerMessage> message;
    VisitFields(reader, message);
    if (reader.has_failed() || !reader.is_at_end()) {
      return Error{ErrorCode::kInvalidArgument,
                   "peer message with missing, surplus or malformed fields"};
    }
    return PeerMessage(std::move(message));
  }
}

// Null if the bytes are not CBOR. The library throws, even if told not to, if a
// stated length is beyond the memory.
auto ParseCbor(std::string_view bytes) -> Json {
  try {
    return Json::from_cbor(bytes.begin(), bytes.end(), true, false);
  } catch (const Json::exception&) {
    return nullptr;
  }
}

}  // namespace

auto EncodePeerMessage(const PeerMessage& message) -> std::string {
  FieldWriter writer;
  writer.Visit(static_cast<int>(message.index()));
  std::visit([&writer](const auto& body) { VisitFields(writer, body); },
             message);
  std::string bytes;
  Json::to_cbor(writer.array(), bytes);
  return bytes;
}

auto DecodePeerMessage(std::string_view bytes) -> Outcome<PeerMessage> {
  const auto json = ParseCbor(bytes);
  if (!json.is_array() || json.empty()) {
    return Error{ErrorCode::kInvalidArgument,
                 "peer message is not a CBOR array"};
  }
  FieldReader reader(json);
  int kind = -1;
  reader.Visit(kind);
  if (reader.has_failed() || kind < 0) {
    return Error{ErrorCode::kInvalidArgument, "peer message without a kind"};
  }
  return DecodeKind<0>(reader, static_cast<std::size_t>(kind));
}

}  // namespace papayaplank
