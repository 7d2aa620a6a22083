// Defines, reads and validates the flags of papayaplank_edge.
#include "apps/edge_flags.h"

#include <gflags/gflags.h>

#include <fstream>
#include <map>
#include <optional>
#include <sstream>

#include "platform/platform.h"
#include "relay/socket_options.h"

DEFINE_string(
    settings_file, "",
    "File with one --flag=value per line; if empty, the file that the "
    "platform names in the environment.");
DEFINE_string(name, "", "Name of this instance; unique in the fleet.");
DEFINE_string(data_center, "", "Data centre of this instance.");
DEFINE_string(region, "", "Region of the data centre.");
DEFINE_string(data_center_regions, "",
              "Region of each data centre: name=region, separated by commas. "
              "Needed where routes or customers have home regions.");
DEFINE_string(caller_listen, "", "IP:port for callers.");
DEFINE_string(ready_listen, "", "IP:port for readiness checks.");
DEFINE_string(directory_listen, "",
              "IP:port where callers request router addresses; empty for "
              "none.");
DEFINE_string(peer_listen, "",
              "IP:port for peers: messages over UDP, snapshots over TCP.");
DEFINE_string(metrics_listen, "", "IP:port of the metrics; empty for none.");
DEFINE_string(store_address, "", "IP:port of the platform's store.");
DEFINE_double(revocation_bound_ms, 5000,
              "Longest time for which a revoked key may be accepted.");
DEFINE_double(configuration_bound_ms, 2000,
              "Longest time until a change of the configuration is in force; a "
              "router whose configuration was confirmed longer ago denies no "
              "route or key.");
DEFINE_double(stop_grace_seconds, 8,
              "Time from SIGTERM until the platform kills the process.");
DEFINE_double(retry_ratio, 0.2,
              "Retries that the fleet may make, as a share of its requests.");
DEFINE_double(retry_slack, 10,
              "Retries that the fleet may make beyond retry_ratio.");
DEFINE_double(retry_window_seconds, 10,
              "Time window of retry_ratio and retry_slack.");
DEFINE_double(
    cold_overshoot, 0,
    "Requests that may reach a cold target in a second, as a multiple "
    "of the rate that its service tolerates; 0 means that there is "
    "no bound.");
DEFINE_double(cold_slack, 0,
              "Requests that may reach a cold target in a second beyond "
              "cold_overshoot.");
DEFINE_double(target_report_ms, 1200,
              "Interval of a target's reports to the store.");
DEFINE_double(target_drain_ms, 2000,
              "Time for which a target that leaves serves on.");
DEFINE_double(
    memory_limit_mb, 256,
    "Memory of the instance, in MB. Callers may make the router hold a "
    "part of it.");
DEFINE_double(cores, 1,
              "Processor time that the instance grants, in cores. Larger "
              "instances get more callers and collect the reports of their "
              "data centre.");
DEFINE_double(max_descriptors, 1024,
              "File descriptors that the process may use.");

namespace papayaplank {
namespace {

// Sets the flags that the file gives; returns a message for each bad line.
auto ApplySettingsFile(const std::string& path) -> std::vector<std::string> {
  std::ifstream in(path);
  if (!in) return {"cannot read the settings file '" + path + "'"};
  std::vector<std::string> errors;
  for (std::string line; std::getline(in, line);) {
    if (line.empty() || line[0] == '#') continue;
    const auto equals = line.find('=');
    if (line.substr(0, 2) != "--" || equals == std::string::npos) {
      errors.push_back("'" + line + "' in " + path +
                       " is not of the form --flag=value");
      continue;
    }
    const auto flag = line.substr(2, equals - 2);
    const auto value = line.substr(equals + 1);
    if (gflags::SetCommandLineOption(flag.c_str(), value.c_str()).empty()) {
      errors.push_back("--" + flag + "=" + value + " in " + path +
                       " names an unknown flag or has an invalid value");
    }
  }
  return errors;
}

auto CheckAddress(const char* flag, const std::string& value, bool is_required,
                  std::vector<std::string>& errors) -> void {
  if (value.empty() && !is_required) return;
  if (ParseTcpEndpoint(value)) return;
  errors.push_back(std::string("--") + flag + " is '" + value +
                   "'; give IP:port");
}

auto CheckRange(const char* flag, double value, double minimum, double maximum,
                std::vector<std::string>& errors) -> void {
  if (value >= minimum && value <= maximum) return;
  std::ostringstream text;
  text << "--" << flag << " is " << value << "; allowed is " << minimum
       << " to " << maximum;
  errors.push_back(text.str());
}

// Nothing if the text is not of the form name=region,name=region.
auto ParseRegions(const std::string& text)
    -> std::optional<std::map<DataCenterId, RegionId>> {
  std::map<DataCenterId, RegionId> regions;
  std::istringstream in(text);
  for (std::string entry; std::getline(in, entry, ',');) {
    const auto equals = entry.find('=');
    if (equals == std::string::npos || equals == 0 ||
        equals + 1 == entry.size()) {
      return std::nullopt;
    }
    regions[DataCenterId(entry.substr(0, equals))] =
        RegionId(entry.substr(equals + 1));
  }
  return regions;
}

auto ValidateFlags(std::vector<std::string>& errors) -> void {
  if (FLAGS_name.empty()) errors.emplace_back("--name is missing");
  if (FLAGS_data_center.empty()) {
    errors.emplace_back("--data_center is missing");
  }
  if (!ParseRegions(FLAGS_data_center_regions)) {
    errors.push_back("--data_center_regions is '" + FLAGS_data_center_regions +
                     "'; give name=region, separated by commas");
  }
  CheckAddress("caller_listen", FLAGS_caller_listen, true, errors);
  CheckAddress("ready_listen", FLAGS_ready_listen, false, errors);
  CheckAddress("directory_listen", FLAGS_directory_listen, false, errors);
  CheckAddress("peer_listen", FLAGS_peer_listen, true, errors);
  CheckAddress("metrics_listen", FLAGS_metrics_listen, false, errors);
  CheckAddress("store_address", FLAGS_store_address, true, errors);
  CheckRange("revocation_bound_ms", FLAGS_revocation_bound_ms, 1000, 3600000,
             errors);
  CheckRange("configuration_bound_ms", FLAGS_configuration_bound_ms, 100,
             3600000, errors);
  CheckRange("stop_grace_seconds", FLAGS_stop_grace_seconds, 1, 3600, errors);
  CheckRange("retry_ratio", FLAGS_retry_ratio, 0, 1, errors);
  CheckRange("retry_slack", FLAGS_retry_slack, 0, 100000, errors);
  CheckRange("retry_window_seconds", FLAGS_retry_window_seconds, 1, 3600,
             errors);
  CheckRange("memory_limit_mb", FLAGS_memory_limit_mb, 16, 1 << 20, errors);
  CheckRange("cold_overshoot", FLAGS_cold_overshoot, 0, 1000, errors);
  CheckRange("target_report_ms", FLAGS_target_report_ms, 100, 60000, errors);
  CheckRange("target_drain_ms", FLAGS_target_drain_ms, 0, 600000, errors);
  CheckRange("cold_slack", FLAGS_cold_slack, 0, 100000, errors);
  CheckRange("cores", FLAGS_cores, 0.01, 1024, errors);
  CheckRange("max_descriptors", FLAGS_max_descriptors, 64, 1000000, errors);
}

auto SecondsToDuration(double count) -> Duration {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(count));
}

auto SettingsFromFlags() -> RelaySettings {
  RelaySettings settings;
  settings.name = FLAGS_name;
  settings.data_center = FLAGS_data_center;
  settings.regions =
      ParseRegions(FLAGS_data_center_regions).value_or(settings.regions);
  settings.caller_listen = FLAGS_caller_listen;
  settings.ready_listen = FLAGS_ready_listen;
  settings.directory_listen = FLAGS_directory_listen;
  settings.peer_listen = FLAGS_peer_listen;
  settings.metrics_listen = FLAGS_metrics_listen;
  settings.store_address = FLAGS_store_address;
  settings.revocation_bound =
      SecondsToDuration(FLAGS_revocation_bound_ms / 1000);
  settings.configuration_bound =
      SecondsToDuration(FLAGS_configuration_bound_ms / 1000);
  settings.stop_grace = SecondsToDuration(FLAGS_stop_grace_seconds);
  settings.retry_ratio = FLAGS_retry_ratio;
  settings.retry_slack = FLAGS_retry_slack;
  settings.retry_window = SecondsToDuration(FLAGS_retry_window_seconds);
  settings.memory_limit =
      static_cast<std::size_t>(FLAGS_memory_limit_mb * (1 << 20));
  settings.cold = ColdBound{FLAGS_cold_overshoot, FLAGS_cold_slack};
  settings.exits = ExitTimes{SecondsToDuration(FLAGS_target_report_ms / 1000),
                             SecondsToDuration(FLAGS_target_drain_ms / 1000)};
  settings.cores = FLAGS_cores;
  settings.max_descriptors = static_cast<int>(FLAGS_max_descriptors);
  return settings;
}

auto SettingsPath() -> std::string {
  return FLAGS_settings_file.empty() ? SettingsFilePath() : FLAGS_settings_file;
}

}  // namespace

auto ReadEdgeSettings(int* argc, char*** argv) -> EdgeSettingsResult {
  gflags::ParseCommandLineFlags(argc, argv, true);
  std::vector<std::string> errors;
  const auto path = SettingsPath();
  if (!path.empty()) errors = ApplySettingsFile(path);
  ValidateFlags(errors);
  if (!errors.empty()) return errors;
  return SettingsFromFlags();
}

auto ReloadEdgeSettings() -> std::string {
  const auto path = SettingsPath();
  if (path.empty()) return "no settings file is given";
  const auto before = gflags::CommandlineFlagsIntoString();
  auto errors = ApplySettingsFile(path);
  ValidateFlags(errors);
  if (errors.empty()) return "checked; new values apply at the next start";
  gflags::ReadFlagsFromString(before, "", false);
  return "kept the current settings: " + errors.front();
}

}  // namespace papayaplank
