// Turns messages between instances into Thrift's compact protocol and back.
#ifndef PEERS_INSTANCE_INSTANCE_CODEC_H_
#define PEERS_INSTANCE_INSTANCE_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "servers/dispatcher/peer_messages.h"

namespace boragecroft {

auto EncodePeerMessage(const PeerMessage& message) -> std::string;
// Empty when the bytes are no message of this interface.
auto DecodePeerMessage(std::string_view bytes) -> std::optional<PeerMessage>;

}  // namespace boragecroft

#endif  // PEERS_INSTANCE_INSTANCE_CODEC_H_
