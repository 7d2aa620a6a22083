// Streams of targets: bytes that arrive in pieces give the same events, each
// complete, as bytes that arrive at once.
#include <cstdlib>

#include "relay/event_splitter.h"

namespace papayaplank {
namespace {

auto Split(std::string_view bytes, std::size_t piece) -> std::string {
  EventSplitter splitter;
  std::string events;
  while (!bytes.empty()) {
    splitter.Append(bytes.substr(0, piece), [&events](std::string_view event) {
      if (event.substr(event.size() - 1) != "\n") std::abort();
      events.append(event);
    });
    bytes.remove_prefix(std::min(piece, bytes.size()));
  }
  return events;
}

}  // namespace
}  // namespace papayaplank

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                       std::size_t size) -> int {
  using namespace papayaplank;  // NOLINT: the entry point has to be global.
  if (size < 2) return 0;
  const std::string_view bytes(reinterpret_cast<const char*>(data) + 1,
                               size - 1);
  if (Split(bytes, bytes.size()) != Split(bytes, 1 + data[0] % 16)) {
    std::abort();
  }
  return 0;
}
