// Encodes and decodes peer messages as CBOR arrays. The transport adds the
// authentication code.
#ifndef ROUTER_PEER_CODEC_H_
#define ROUTER_PEER_CODEC_H_

#include <string>
#include <string_view>

#include "router/peer_messages.h"

namespace papayaplank {

// Encodes a message.
auto EncodePeerMessage(const PeerMessage& message) -> std::string;

// Decodes a message. Returns `kInvalidArgument`, and never throws, if the bytes
// are not CBOR or a field is missing, surplus or of the wrong type.
auto DecodePeerMessage(std::string_view bytes) -> Outcome<PeerMessage>;

}  // namespace papayaplank

#endif  // ROUTER_PEER_CODEC_H_
