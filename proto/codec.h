// Bytes to typed messages and back, by cereal, with bounds.
//
//   auto bytes = encode(envelope);
//   auto envelope = decodeEnvelope(bytes);    // Malformed, never an exception
//
// Guarantees: decoding any bytes at all returns a value or Malformed; it never
// throws, never reads past the end and never asks for more memory than a small
// multiple of the input's size, since lengths are checked against the bytes left.

#ifndef FIGRACK_PROTO_CODEC_H
#define FIGRACK_PROTO_CODEC_H

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "proto/messages.h"

namespace figrack::proto {

/// @return the encoding of an envelope
auto encode(const Envelope &envelope) -> std::string;
/// @param bytes one whole frame's body
/// @return the envelope, or Malformed
auto decodeEnvelope(std::string_view bytes) -> absl::StatusOr<Envelope>;

} // namespace figrack::proto

#endif // FIGRACK_PROTO_CODEC_H
