// Identifier types: one type per kind of id, so that kinds can't be mixed up.
#ifndef BASE_STRONG_ID_H_
#define BASE_STRONG_ID_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace papayaplank {

// An identifier of one kind. `Tag` names the kind; `Value` is its storage.
template <typename Tag, typename Value>
class StrongId {
 public:
  StrongId() = default;
  explicit StrongId(Value value) : value_(std::move(value)) {}

  auto value() const -> const Value& { return value_; }
  auto is_empty() const -> bool { return value_ == Value(); }

  // NOLINTNEXTLINE: false positive on defaulted comparisons.
  friend auto operator<=>(const StrongId&, const StrongId&) = default;
  friend auto operator<<(std::ostream& out, const StrongId& id)
      -> std::ostream& {
    return out << id.value_;
  }

 private:
  Value value_{};
};

// A customer, who pays for a share of capacity; defined in the configuration.
using CustomerId = StrongId<struct CustomerTag, std::string>;
// A router process: its address and start time, so that a restarted router has
// a new id.
using RouterId = StrongId<struct RouterTag, std::string>;
// An instance of a model engine or of a plain service.
using TargetId = StrongId<struct TargetTag, std::string>;
// A set of targets that serve the same model or service.
using PoolId = StrongId<struct PoolTag, std::string>;
// A class of requests: a request class of a template in the config library, a
// route in the relay library.
using ClassId = StrongId<struct ClassTag, std::string>;
// A data centre.
using DataCenterId = StrongId<struct DataCenterTag, std::string>;
// A region: a group of data centres close to one another.
using RegionId = StrongId<struct RegionTag, std::string>;
// One request of a caller; unique in the whole fleet.
using RequestId = StrongId<struct RequestTag, std::string>;
// A version of the configuration; 0 means that none is in force.
using ConfigVersion = StrongId<struct ConfigVersionTag, std::uint64_t>;
// A span in which the versions of the platform's store are in order: it ends
// when the store comes back from an older copy. 0 means that none is known.
using StoreEra = StrongId<struct StoreEraTag, std::uint64_t>;

}  // namespace papayaplank

template <typename Tag, typename Value>
struct std::hash<papayaplank::StrongId<Tag, Value>> {
  auto operator()(const papayaplank::StrongId<Tag, Value>& id) const
      -> std::size_t {
    return std::hash<Value>()(id.value());
  }
};

#endif  // BASE_STRONG_ID_H_
