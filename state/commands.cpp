// A command's bytes are a format number and cereal's encoding of the variant. The
// number lets a later release read the log of an earlier one: alternatives and
// fields are only ever added at the end, under a new number.

#include "state/commands.h"

#include "core/serial.h"

namespace figrack::state {
namespace {

constexpr auto formatNumber = std::uint8_t { 1 };

/// What an encoded command is made of.
struct EncodedCommand
{
    std::uint8_t format = formatNumber;
    Command command;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(format, command);
    }
};

} // namespace

auto encodeCommand(const Command &command) -> std::string
{
    return serialize(EncodedCommand { formatNumber, command });
}

auto decodeCommand(std::string_view bytes) -> absl::StatusOr<Command>
{
    auto encoded = EncodedCommand {};
    if (auto status = deserialize(bytes, encoded); !status.ok())
        return status;
    if (encoded.format != formatNumber)
        return makeError(ErrorKind::Malformed, "a command of another format");
    return std::move(encoded.command);
}

auto isControlOnly(const Command &command) -> bool
{
    return std::holds_alternative<TakeClaim>(command) || std::holds_alternative<EndClaim>(command)
            || std::holds_alternative<ExpireClaims>(command);
}

} // namespace figrack::state
