// Texts of the operator, of targets, of the store and of callers: each either
// decodes or gives an error.
#include "platform/platform.h"

namespace papayaplank {
namespace {

// Lines of the form "name: value" as header fields.
auto ToFields(std::string_view text) -> HttpFields {
  HttpFields fields;
  while (!text.empty()) {
    const auto line = text.substr(0, text.find('\n'));
    const auto colon = line.find(": ");
    if (colon != std::string_view::npos) {
      fields.emplace_back(line.substr(0, colon), line.substr(colon + 2));
    }
    text.remove_prefix(std::min(text.size(), line.size() + 1));
  }
  return fields;
}

}  // namespace
}  // namespace papayaplank

// The first byte chooses the kind of text.
extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                       std::size_t size) -> int {
  using namespace papayaplank;  // NOLINT: the entry point has to be global.
  if (size < 2) return 0;
  const std::string text(reinterpret_cast<const char*>(data) + 1, size - 1);
  switch (data[0] % 6) {
    case 0:
      (void)DecodeConfiguration(text);
      break;
    case 1:
      (void)DecodeStoreRows(text);
      break;
    case 2:
      (void)DecodeTargetRow("i-1", text);
      break;
    case 3:
      (void)DecodeRouterRow(text);
      (void)DecodeQuarantineRow(text);
      break;
    case 4:
      (void)DecodeCallerRequest("POST", "/chat/1?x=1", ToFields(text));
      break;
    default:
      (void)DecodeTargetAnswer(200, ToFields(text));
      break;
  }
  return 0;
}
