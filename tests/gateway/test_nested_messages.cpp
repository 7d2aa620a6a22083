// Datagrams and stored evidence that no router has written.
#include <gtest/gtest.h>

#include "gateway/gateway.h"

namespace papayaplank {
namespace {

// Heads of items that contain the item after them.
constexpr const char* kNestingHeads[] = {
    "\x81",      // An array of one item.
    "\x9f",      // An array without a stated length.
    "\xa1\x60",  // A map of one pair; its key is the empty text.
    "\xbf\x60",  // A map without a stated length.
    "\x7f",      // A text in pieces.
    "\x5f",      // Bytes in pieces.
    "\xc1",      // A tag.
};

class NestedMessageTest : public testing::TestWithParam<std::size_t> {};

TEST_P(NestedMessageTest, ADeeplyNestedMessageIsNone) {
  for (const std::string head : kNestingHeads) {
    std::string bytes;
    for (std::size_t level = 0; level < GetParam(); ++level) bytes += head;
    EXPECT_FALSE(DecodePeerMessage(bytes)) << head;
    // The same where a report has its loads.
    EXPECT_FALSE(DecodePeerMessage("\x86\x18\x20\x80\x01" + bytes)) << head;
  }
}

// The largest datagram, the largest row, and longer answers of a peer.
INSTANTIATE_TEST_SUITE_P(Levels, NestedMessageTest,
                         testing::Values(64, 65000, 200000, 2000000));

TEST(NestedMessageTest, StatedLengthsBeyondTheBytesAreNoMessage) {
  for (const std::string bytes :
       {"\x9b\x7f\xff\xff\xff\xff\xff\xff\xff", "\x7b\xff\xff\xff\xff\xff\xff",
        "\x9b\xff\xff\xff\xff\xff\xff\xff\xff", "\x82\x0c", "\x82\x0c\x18",
        "\xbb\x80", "\x82\x0c\x5b"}) {
    EXPECT_FALSE(DecodePeerMessage(bytes));
  }
}

}  // namespace
}  // namespace papayaplank
