// Check of the structure of CBOR bytes before they are decoded.
#ifndef GATEWAY_CBOR_STRUCTURE_H_
#define GATEWAY_CBOR_STRUCTURE_H_

#include <string_view>

namespace papayaplank {

// Whether the bytes are one whole item whose arrays and maps are nested at most
// as deep as those of peer messages, with stated lengths that the bytes can
// hold. Tags and items without a stated length are rejected: no peer message
// contains any. The JSON library calls itself for each level, so other bytes
// could exhaust the stack.
auto IsBoundedCbor(std::string_view bytes) -> bool;

}  // namespace papayaplank

#endif  // GATEWAY_CBOR_STRUCTURE_H_
