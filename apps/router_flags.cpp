// Defines, reads and validates the router's flags.
#include "apps/router_flags.h"

#include <gflags/gflags.h>

#include <sstream>

#include "apps/environment.h"
#include "transport/socket_address.h"
#include "transport/transport.h"

DEFINE_string(name, "", "Name of this instance; if empty, its caller address.");
DEFINE_string(data_center, "", "Data centre of this instance.");
DEFINE_string(region, "", "Region of the data centre.");
DEFINE_string(caller_address, "", "IP:port for callers.");
DEFINE_string(operator_address, "", "IP:port for operators and peers.");
DEFINE_string(gossip_address, "", "IP:port of the UDP socket for peers.");
DEFINE_string(seeds, "",
              "Gossip addresses of the peers to contact at the start, comma "
              "separated.");
DEFINE_string(table_address, "", "IP:port of the table service.");
DEFINE_string(object_address, "", "IP:port of the object store.");
DEFINE_string(instance_list_address, "", "IP:port of the instance list.");
DEFINE_string(operator_key, "",
              "Key of operators, at least 16 bytes; better given as "
              "PAPAYAPLANK_OPERATOR_KEY.");
DEFINE_string(fleet_key, "",
              "Key shared by all routers, at least 16 bytes; better given as "
              "PAPAYAPLANK_FLEET_KEY.");
DEFINE_double(drain_seconds, 5,
              "Time for which a stopping router keeps accepting requests.");
DEFINE_double(stop_limit_seconds, 600,
              "Longest wait for requests in progress when stopping.");
DEFINE_int32(progress_timeout_ms, 10000,
             "Time without a byte from a target after which an attempt ends.");
DEFINE_int32(address_lifetime_seconds, 10,
             "How long callers may cache the answer of /v1/addresses.");
DEFINE_double(memory_limit_mb, 512,
              "Memory of the instance in MB. Bodies of callers' requests may "
              "take 35 % of it; further ones are refused with 503.");
DEFINE_int32(max_connections, 8192,
             "Callers' connections that are open at one time. Near the limit "
             "those that have been silent for longest are closed.");
DEFINE_string(sharing, "fleet",
              "How routers share slots: fleet; as baselines for measurements, "
              "local (no sharing, fair in each router) or fifo (no sharing, "
              "first come, first served).");
DEFINE_bool(check_settings, false, "Check the settings and exit.");

namespace papayaplank {
namespace {

constexpr std::size_t kMinKeyBytes = 16;

// Validates values of flags and collects the error messages.
class SettingsValidator {
 public:
  explicit SettingsValidator(std::vector<std::string> errors)
      : errors_(std::move(errors)) {}

  auto CheckAddress(const std::string& flag, const std::string& value) -> void {
    auto parsed = ParseSocketAddress(value);
    if (!IsOk(parsed)) AddError(flag, ErrorOf(parsed).message);
  }
  auto CheckName(const std::string& flag, const std::string& value) -> void {
    if (value.empty()) AddError(flag, "is missing; give a name");
  }
  auto CheckKey(const std::string& flag, const std::string& value) -> void {
    if (value.size() < kMinKeyBytes) {
      AddError(flag, "has " + std::to_string(value.size()) +
                         " bytes; at least 16 are needed");
    }
  }
  auto CheckRange(const std::string& flag, double value, double minimum,
                  double maximum) -> void {
    if (value >= minimum && value <= maximum) return;
    std::ostringstream text;
    text << "is " << value << "; allowed is " << minimum << " to " << maximum;
    AddError(flag, text.str());
  }
  auto AddError(const std::string& flag, const std::string& message) -> void {
    errors_.push_back("--" + flag + " " + message);
  }

  auto errors() const -> const std::vector<std::string>& { return errors_; }

 private:
  std::vector<std::string> errors_;
};

auto SplitList(const std::string& text) -> std::vector<std::string> {
  std::vector<std::string> items;
  std::istringstream in(text);
  for (std::string item; std::getline(in, item, ',');) {
    if (!item.empty()) items.push_back(item);
  }
  return items;
}

auto ParseSharingMode(const std::string& text) -> std::optional<SharingMode> {
  if (text == "fleet") return SharingMode::kFleet;
  if (text == "local") return SharingMode::kLocal;
  if (text == "fifo") return SharingMode::kFifo;
  return std::nullopt;
}

auto SecondsToDuration(double count) -> Duration {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(count));
}

auto ValidateFlags(SettingsValidator& validator) -> void {
  validator.CheckName("data_center", FLAGS_data_center);
  validator.CheckName("region", FLAGS_region);
  validator.CheckAddress("caller_address", FLAGS_caller_address);
  validator.CheckAddress("operator_address", FLAGS_operator_address);
  validator.CheckAddress("gossip_address", FLAGS_gossip_address);
  validator.CheckAddress("table_address", FLAGS_table_address);
  validator.CheckAddress("object_address", FLAGS_object_address);
  validator.CheckAddress("instance_list_address", FLAGS_instance_list_address);
  for (const auto& seed : SplitList(FLAGS_seeds)) {
    validator.CheckAddress("seeds", seed);
  }
  validator.CheckKey("operator_key", FLAGS_operator_key);
  validator.CheckKey("fleet_key", FLAGS_fleet_key);
  if (FLAGS_operator_key == FLAGS_fleet_key && !FLAGS_fleet_key.empty()) {
    validator.AddError("fleet_key",
                       "is the operator key; use two different keys");
  }
  validator.CheckRange("drain_seconds", FLAGS_drain_seconds, 0, 3600);
  validator.CheckRange("stop_limit_seconds", FLAGS_stop_limit_seconds, 0,
                       86400);
  validator.CheckRange("progress_timeout_ms", FLAGS_progress_timeout_ms, 100,
                       600000);
  validator.CheckRange("address_lifetime_seconds",
                       FLAGS_address_lifetime_seconds, 1, 3600);
  validator.CheckRange("memory_limit_mb", FLAGS_memory_limit_mb, 64, 1 << 20);
  validator.CheckRange("max_connections", FLAGS_max_connections, 16, 1000000);
  if (!ParseSharingMode(FLAGS_sharing)) {
    validator.AddError("sharing", "is '" + FLAGS_sharing +
                                      "'; allowed are fleet, local and fifo");
  }
}

}  // namespace

auto ReadSettings(int* argc, char*** argv) -> SettingsResult {
  gflags::SetUsageMessage(
      "One router of the fleet. Each flag can be given as an environment "
      "variable PAPAYAPLANK_FLAG. See docs/OPERATIONS.md.");
  auto errors = SetFlagsFromEnvironment("router_flags");
  gflags::ParseCommandLineFlags(argc, argv, true);
  if (*argc > 1) {
    errors.push_back("unexpected argument '" + std::string((*argv)[1]) + "'");
  }
  SettingsValidator validator(std::move(errors));
  ValidateFlags(validator);
  if (!validator.errors().empty()) return validator.errors();
  RouterSettings settings;
  settings.name = FLAGS_name.empty() ? FLAGS_caller_address : FLAGS_name;
  settings.data_center = DataCenterId(FLAGS_data_center);
  settings.region = RegionId(FLAGS_region);
  settings.caller_address = FLAGS_caller_address;
  settings.operator_address = FLAGS_operator_address;
  settings.gossip_address = FLAGS_gossip_address;
  settings.seeds = SplitList(FLAGS_seeds);
  settings.table_address = FLAGS_table_address;
  settings.object_address = FLAGS_object_address;
  settings.instance_list_address = FLAGS_instance_list_address;
  settings.operator_key = FLAGS_operator_key;
  settings.fleet_key = FLAGS_fleet_key;
  settings.drain_time = SecondsToDuration(FLAGS_drain_seconds);
  settings.stop_limit = SecondsToDuration(FLAGS_stop_limit_seconds);
  settings.progress_timeout = milliseconds(FLAGS_progress_timeout_ms);
  settings.address_lifetime = seconds(FLAGS_address_lifetime_seconds);
  settings.memory_limit =
      static_cast<std::size_t>(FLAGS_memory_limit_mb * (1 << 20));
  settings.max_connections = static_cast<unsigned>(FLAGS_max_connections);
  settings.router.mode = *ParseSharingMode(FLAGS_sharing);
  return settings;
}

auto IsCheckOnly() -> bool { return FLAGS_check_settings; }

}  // namespace papayaplank
