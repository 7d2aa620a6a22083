// Bytes of peer messages: CBOR arrays by nlohmann-json. The transport adds
// the authentication code.
#ifndef ROUTER_PEER_CODEC_H_
#define ROUTER_PEER_CODEC_H_

#include <string>
#include <string_view>

#include "router/peer_messages.h"

namespace papayaplank {

// Encodes a message.
auto EncodePeerMessage(const PeerMessage& message) -> std::string;

// Decodes a message. Fails on anything that `EncodePeerMessage` would not
// have written; it never throws.
auto DecodePeerMessage(std::string_view bytes) -> Outcome<PeerMessage>;

}  // namespace papayaplank

#endif  // ROUTER_PEER_CODEC_H_
