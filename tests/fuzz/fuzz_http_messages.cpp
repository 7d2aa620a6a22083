// Requests of callers and answers of targets: bytes that arrive in pieces give
// the same message as bytes that arrive at once.
#include <cstdlib>

#include "relay/message_reader.h"

namespace papayaplank {
namespace {

constexpr std::size_t kHeaderLimit = 1024;
constexpr std::uint64_t kBodyLimit = 4096;

template <typename Reader>
struct Result {
  typename Reader::Progress progress{};
  HttpFields fields;
  std::string body;
};

template <typename Reader>
auto Read(std::string_view bytes, std::size_t piece) -> Result<Reader> {
  using Progress = typename Reader::Progress;
  Result<Reader> result;
  Reader reader(kHeaderLimit, kBodyLimit,
                [&result](std::string_view part) { result.body.append(part); });
  std::string unparsed;
  while (!bytes.empty()) {
    unparsed.append(bytes.substr(0, piece));
    bytes.remove_prefix(std::min(piece, bytes.size()));
    result.progress = reader.Read(unparsed);
    if (result.progress != Progress::kHeader &&
        result.progress != Progress::kNeedMore) {
      break;
    }
  }
  if (result.progress == Progress::kHeader) {
    result.progress = Progress::kNeedMore;
  }
  result.fields = reader.fields();
  return result;
}

template <typename Reader>
auto Compare(std::string_view bytes, std::size_t piece) -> void {
  using Progress = typename Reader::Progress;
  const auto whole = Read<Reader>(bytes, bytes.size());
  const auto pieces = Read<Reader>(bytes, piece);
  // Which error is found first may depend on the pieces.
  const auto is_whole_done = whole.progress == Progress::kDone;
  if (is_whole_done != (pieces.progress == Progress::kDone)) std::abort();
  if (!is_whole_done) return;
  if (whole.body != pieces.body || whole.fields != pieces.fields) std::abort();
}

}  // namespace
}  // namespace papayaplank

// The first byte chooses the kind of message and the size of the pieces.
extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                       std::size_t size) -> int {
  using namespace papayaplank;  // NOLINT: the entry point has to be global.
  if (size < 2) return 0;
  const std::size_t piece = 1 + data[0] % 16;
  const std::string_view bytes(reinterpret_cast<const char*>(data) + 1,
                               size - 1);
  if (data[0] >= 128) {
    Compare<RequestReader>(bytes, piece);
  } else {
    Compare<ResponseReader>(bytes, piece);
  }
  return 0;
}
