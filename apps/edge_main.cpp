// Main program of papayaplank_edge, the router that reads its configuration and
// targets from the store of the users' platform.
#include <cstdlib>
#include <iostream>

#include "apps/edge_flags.h"

auto main(int argc, char** argv) -> int {
  constexpr int kExitBadSettings = 2;
  auto result = papayaplank::ReadEdgeSettings(&argc, &argv);
  if (const auto* errors = std::get_if<std::vector<std::string>>(&result)) {
    for (const auto& error : *errors) std::cerr << error << '\n';
    return kExitBadSettings;
  }
  const auto outcome =
      papayaplank::RunRelay(std::get<papayaplank::RelaySettings>(result),
                            papayaplank::ReloadEdgeSettings);
  if (papayaplank::IsOk(outcome)) return EXIT_SUCCESS;
  std::cerr << papayaplank::ErrorOf(outcome).message << '\n';
  return EXIT_FAILURE;
}
