// Definition, reading and checking of the router's flags.
#include "apps/router_flags.h"

#include <gflags/gflags.h>

#include <sstream>

#include "apps/environment.h"
#include "transport/socket_address.h"
#include "transport/transport.h"

DEFINE_string(name, "", "Name of this router; its caller address if empty.");
DEFINE_string(data_center, "", "Data centre of this instance.");
DEFINE_string(region, "", "Region of the data centre.");
DEFINE_string(caller_address, "", "IP:port for callers.");
DEFINE_string(operator_address, "", "IP:port for operators and peers.");
DEFINE_string(gossip_address, "", "IP:port of the UDP socket for peers.");
DEFINE_string(seeds, "", "Gossip addresses to ask first, comma separated.");
DEFINE_string(table_address, "", "IP:port of the table service.");
DEFINE_string(object_address, "", "IP:port of the object store.");
DEFINE_string(instance_list_address, "", "IP:port of the instance list.");
DEFINE_string(operator_key, "",
              "Key of operators, at least 16 bytes; better given as "
              "PAPAYAPLANK_OPERATOR_KEY.");
DEFINE_string(fleet_key, "",
              "Key shared by all routers, at least 16 bytes; better given as "
              "PAPAYAPLANK_FLEET_KEY.");
DEFINE_double(drain_seconds, 5, "Time for which a stopping router serves.");
DEFINE_double(stop_limit_seconds, 600,
              "Longest wait for requests in progress when stopping.");
DEFINE_int32(progress_timeout_ms, 10000,
             "Longest silence of a target in an answer.");
DEFINE_int32(address_lifetime_seconds, 10,
             "How long callers may keep the answer of /v1/addresses.");
DEFINE_string(sharing, "fleet",
              "How routers share slots: fleet; local and fifo are baselines "
              "of measurements.");
DEFINE_bool(check_settings, false, "Check the settings and exit.");

namespace papayaplank {
namespace {

constexpr std::size_t kMinKeyBytes = 16;

// Collects the faults of the settings.
class SettingsCheck {
 public:
  explicit SettingsCheck(std::vector<std::string> faults)
      : faults_(std::move(faults)) {}

  auto Address(const std::string& flag, const std::string& value) -> void {
    auto parsed = ParseSocketAddress(value);
    if (!IsOk(parsed)) Fail(flag, ErrorOf(parsed).message);
  }
  auto Name(const std::string& flag, const std::string& value) -> void {
    if (value.empty()) Fail(flag, "is missing; give a name");
  }
  auto Key(const std::string& flag, const std::string& value) -> void {
    if (value.size() < kMinKeyBytes) {
      Fail(flag, "has " + std::to_string(value.size()) +
                     " bytes; at least 16 are needed");
    }
  }
  auto Range(const std::string& flag, double value, double minimum,
             double maximum) -> void {
    if (value >= minimum && value <= maximum) return;
    std::ostringstream text;
    text << "is " << value << "; allowed is " << minimum << " to " << maximum;
    Fail(flag, text.str());
  }
  auto Fail(const std::string& flag, const std::string& message) -> void {
    faults_.push_back("--" + flag + " " + message);
  }

  auto faults() const -> const std::vector<std::string>& { return faults_; }

 private:
  std::vector<std::string> faults_;
};

auto SplitList(const std::string& text) -> std::vector<std::string> {
  std::vector<std::string> items;
  std::istringstream in(text);
  for (std::string item; std::getline(in, item, ',');) {
    if (!item.empty()) items.push_back(item);
  }
  return items;
}

auto ModeOf(const std::string& text) -> std::optional<SharingMode> {
  if (text == "fleet") return SharingMode::kFleet;
  if (text == "local") return SharingMode::kLocal;
  if (text == "fifo") return SharingMode::kFifo;
  return std::nullopt;
}

auto ToDuration(double seconds_count) -> Duration {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds_count));
}

auto CheckFlags(SettingsCheck& check) -> void {
  check.Name("data_center", FLAGS_data_center);
  check.Name("region", FLAGS_region);
  check.Address("caller_address", FLAGS_caller_address);
  check.Address("operator_address", FLAGS_operator_address);
  check.Address("gossip_address", FLAGS_gossip_address);
  check.Address("table_address", FLAGS_table_address);
  check.Address("object_address", FLAGS_object_address);
  check.Address("instance_list_address", FLAGS_instance_list_address);
  for (const auto& seed : SplitList(FLAGS_seeds)) check.Address("seeds", seed);
  check.Key("operator_key", FLAGS_operator_key);
  check.Key("fleet_key", FLAGS_fleet_key);
  if (FLAGS_operator_key == FLAGS_fleet_key && !FLAGS_fleet_key.empty()) {
    check.Fail("fleet_key", "is the operator key; use two different keys");
  }
  check.Range("drain_seconds", FLAGS_drain_seconds, 0, 3600);
  check.Range("stop_limit_seconds", FLAGS_stop_limit_seconds, 0, 86400);
  check.Range("progress_timeout_ms", FLAGS_progress_timeout_ms, 100, 600000);
  check.Range("address_lifetime_seconds", FLAGS_address_lifetime_seconds, 1,
              3600);
  if (!ModeOf(FLAGS_sharing)) {
    check.Fail("sharing",
               "is '" + FLAGS_sharing + "'; allowed are fleet, local and fifo");
  }
}

}  // namespace

auto ReadSettings(int* argc, char*** argv) -> SettingsResult {
  gflags::SetUsageMessage(
      "One router of the fleet. Each flag can be given as an environment "
      "variable PAPAYAPLANK_FLAG. See docs/OPERATING.md.");
  auto faults = ApplyEnvironment("router_flags");
  gflags::ParseCommandLineFlags(argc, argv, true);
  if (*argc > 1) {
    faults.push_back("unexpected argument '" + std::string((*argv)[1]) + "'");
  }
  SettingsCheck check(std::move(faults));
  CheckFlags(check);
  if (!check.faults().empty()) return check.faults();
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
  settings.drain_time = ToDuration(FLAGS_drain_seconds);
  settings.stop_limit = ToDuration(FLAGS_stop_limit_seconds);
  settings.progress_timeout = milliseconds(FLAGS_progress_timeout_ms);
  settings.address_lifetime = seconds(FLAGS_address_lifetime_seconds);
  settings.router.mode = *ModeOf(FLAGS_sharing);
  return settings;
}

auto IsCheckOnly() -> bool { return FLAGS_check_settings; }

}  // namespace papayaplank
