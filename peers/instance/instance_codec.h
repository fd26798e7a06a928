// Encodes messages between instances in Thrift's compact protocol and decodes
// them.
#ifndef PEERS_INSTANCE_INSTANCE_CODEC_H_
#define PEERS_INSTANCE_INSTANCE_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "servers/dispatcher/peer_messages.h"

namespace boragecroft {

// Returns the message in Thrift's compact protocol, without a frame header.
auto EncodePeerMessage(const PeerMessage& message) -> std::string;
// Returns the message, or nothing when the bytes are not a valid message of
// this interface.
auto DecodePeerMessage(std::string_view bytes) -> std::optional<PeerMessage>;

}  // namespace boragecroft

#endif  // PEERS_INSTANCE_INSTANCE_CODEC_H_
