// Encodes the messages of the handover connections between instances in
// Thrift's compact protocol and decodes them.
#ifndef PEERS_HANDOVER_HANDOVER_CODEC_H_
#define PEERS_HANDOVER_HANDOVER_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "peers/handover/handover_messages.h"

namespace boragecroft {

// Returns the message in Thrift's compact protocol, without a frame header.
auto EncodeHandover(const HandoverMessage& message) -> std::string;
// Returns the message, or nothing when the bytes are not a valid message or a
// value in it is out of range.
auto DecodeHandover(std::string_view bytes) -> std::optional<HandoverMessage>;

}  // namespace boragecroft

#endif  // PEERS_HANDOVER_HANDOVER_CODEC_H_
