// Every use of a key is under its own label, so that no code made for one purpose
// passes for another. The code of a frame is HMAC-SHA256 cut to 128 bits over its
// number and body; the number is sent too, so that the log can tell a repeated frame
// from an altered one.

#include "proto/handshake.h"

#include <fmt/format.h>

#include "core/crypto.h"
#include "core/serial.h"

namespace figrack::proto {
namespace {

constexpr auto mark = std::uint32_t { 0x6b726766 }; // "fgrk" on the wire.
constexpr auto nonceBytes = std::size_t { 32 };
constexpr auto maxNameBytes = std::size_t { 256 };
constexpr auto versionBytes = std::size_t { 8 };

struct HelloPrefix
{
    std::uint32_t mark = 0;
    std::uint32_t version = 0;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(mark, version);
    }
};

struct HelloBody
{
    NodeId name;
    std::string nonce;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(name, nonce);
    }
};

auto roleName(Role role) -> std::string_view
{
    return role == Role::Client ? "client" : "server";
}

auto labelled(std::string_view key, std::string_view use, Role role, std::string_view transcript)
        -> std::string
{
    return hmacSha256(key, fmt::format("figrack {} {}\n{}", roleName(role), use, transcript));
}

auto frameCode(std::string_view key, std::string_view numberAndBody) -> std::string
{
    return hmacSha256(key, numberAndBody).substr(0, frameCodeBytes);
}

} // namespace

auto makeHello(std::uint32_t version, const NodeId &name) -> Hello
{
    return { version, name, secureRandom(nonceBytes) };
}

auto encodeHello(const Hello &hello) -> std::string
{
    return serialize(HelloPrefix { mark, hello.version })
            + serialize(HelloBody { hello.name, hello.nonce });
}

auto decodeHello(std::string_view bytes, std::uint32_t ownVersion) -> absl::StatusOr<Hello>
{
    auto prefix = HelloPrefix {};
    const auto isHello = deserialize(bytes.substr(0, versionBytes), prefix).ok();
    if (!isHello || prefix.mark != mark)
        return makeError(ErrorKind::Malformed, "this is no figrack hello");
    if (prefix.version != ownVersion)
        return makeError(ErrorKind::VersionMismatch,
                         fmt::format("theirs={} ours={}", prefix.version, ownVersion));
    auto body = HelloBody {};
    if (auto status = deserialize(bytes.substr(versionBytes), body); !status.ok())
        return status;
    if (body.name.empty() || body.name.value().size() > maxNameBytes
        || body.nonce.size() != nonceBytes)
        return makeError(ErrorKind::Malformed, "a hello without a name or a nonce");
    return Hello { prefix.version, std::move(body.name), std::move(body.nonce) };
}

auto transcriptOf(const Hello &client, const Hello &server) -> std::string
{
    return serialize(std::pair { encodeHello(client), encodeHello(server) });
}

auto proofOf(std::string_view key, Role role, std::string_view transcript) -> std::string
{
    return labelled(key, "proof", role, transcript);
}

auto verifyProof(const std::vector<std::string> &keys, Role role, std::string_view transcript,
                 std::string_view proof) -> absl::StatusOr<std::string>
{
    for (const auto &key : keys) {
        if (sameSecret(proofOf(key, role, transcript), proof))
            return key;
    }
    return makeError(ErrorKind::AuthFailed, "no key of the file fits the proof");
}

auto encodeLength(std::uint32_t length) -> std::string
{
    return serialize(length);
}

auto decodeLength(std::string_view bytes) -> std::uint32_t
{
    auto length = std::uint32_t { 0 };
    return deserialize(bytes, length).ok() ? length : UINT32_MAX;
}

FrameSealer::FrameSealer(std::string_view key, Role sender, std::string_view transcript)
    : key_(labelled(key, "frames", sender, transcript))
{ }

auto FrameSealer::seal(std::string_view body) -> std::string
{
    auto numbered = serialize(next_++);
    numbered += body;
    auto frame = encodeLength(static_cast<std::uint32_t>(frameCodeBytes + numbered.size()));
    frame += frameCode(key_, numbered);
    frame += numbered;
    return frame;
}

FrameOpener::FrameOpener(std::string_view key, Role sender, std::string_view transcript)
    : key_(labelled(key, "frames", sender, transcript))
{ }

auto FrameOpener::open(std::string_view frame) -> absl::StatusOr<std::string_view>
{
    if (frame.size() < frameCodeBytes + frameNumberBytes)
        return makeError(ErrorKind::Malformed, "a frame too short for its code");
    const auto numbered = frame.substr(frameCodeBytes);
    if (!sameSecret(frameCode(key_, numbered), frame.substr(0, frameCodeBytes)))
        return makeError(ErrorKind::AuthFailed, "a frame was altered or is not of this connection");
    auto number = std::uint64_t { 0 };
    if (auto status = deserialize(numbered.substr(0, frameNumberBytes), number); !status.ok())
        return status;
    if (number != next_)
        return makeError(ErrorKind::AuthFailed,
                         fmt::format("frame {} came where {} was next", number, next_));
    ++next_;
    return numbered.substr(frameNumberBytes);
}

} // namespace figrack::proto
