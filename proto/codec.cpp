// core/serial.h does the bounded reading; this is the one place that names the types.

#include "proto/codec.h"

#include "core/serial.h"

namespace figrack::proto {

auto encode(const Envelope &envelope) -> std::string
{
    return serialize(envelope);
}

auto decodeEnvelope(std::string_view bytes) -> absl::StatusOr<Envelope>
{
    if (bytes.size() > maxFrameBytes)
        return makeError(ErrorKind::Malformed, "the message is longer than a frame may be");
    auto envelope = Envelope {};
    if (auto status = deserialize(bytes, envelope); !status.ok())
        return status;
    return envelope;
}

} // namespace figrack::proto
