// The handshake and the frame protection of a channel, without any I/O.
//
// Both sides send a hello with version, name and nonce. The client then proves
// that it holds a key of the file, the server answers with a proof under the
// same key, and both derive one key for each direction of this connection:
//
//   client                                server
//   Hello                          ->
//                                  <-     Hello
//   proof(key, client, transcript) ->     verifies against every key of its file
//                                  <-     proof(key, server, transcript); empty: refused
//   frames sealed by FrameSealer   <->    frames opened by FrameOpener
//
// Guarantees: the transcript holds both hellos, so a proof is good for one
// connection and one role only. A frame that is altered, repeated, left out,
// reordered, reflected or taken from another connection does not open. Frames
// are authenticated and not encrypted.

#ifndef FIGRACK_PROTO_HANDSHAKE_H
#define FIGRACK_PROTO_HANDSHAKE_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "core/ids.h"

namespace figrack::proto {

enum class Role : std::uint8_t { Client, Server };

/// The first message of each side. Its first 8 bytes, mark and version, are the same in every
/// version of the protocol, so that peers of different versions can tell each other apart.
struct Hello
{
    std::uint32_t version = 0;
    NodeId name;
    std::string nonce; ///< 32 random bytes.
};

/// @return a hello with a fresh nonce
auto makeHello(std::uint32_t version, const NodeId &name) -> Hello;
auto encodeHello(const Hello &hello) -> std::string;
/// @param ownVersion the version that this process speaks
/// @return the peer's hello; VersionMismatch naming both versions, or Malformed
auto decodeHello(std::string_view bytes, std::uint32_t ownVersion) -> absl::StatusOr<Hello>;

/// @return what both sides have said: the input of proofs and keys
auto transcriptOf(const Hello &client, const Hello &server) -> std::string;
/// @return a role's proof that it holds a key
auto proofOf(std::string_view key, Role role, std::string_view transcript) -> std::string;
/// @return the first key under which a proof is right; AuthFailed when none is
auto verifyProof(const std::vector<std::string> &keys, Role role, std::string_view transcript,
                 std::string_view proof) -> absl::StatusOr<std::string>;

/// Bytes that a sealed frame is longer than its body: the length, the code and the number.
constexpr auto frameLengthBytes = std::size_t { 4 };
constexpr auto frameCodeBytes = std::size_t { 16 };
constexpr auto frameNumberBytes = std::size_t { 8 };
constexpr auto frameOverheadBytes = frameLengthBytes + frameCodeBytes + frameNumberBytes;

/// @return the length that stands before a frame
auto encodeLength(std::uint32_t length) -> std::string;
auto decodeLength(std::string_view bytes) -> std::uint32_t;

/// Numbers and protects the frames that one side sends.
class FrameSealer
{
public:
    FrameSealer() = default;
    /// @param sender the role of the side that sends
    FrameSealer(std::string_view key, Role sender, std::string_view transcript);
    /// @return the whole frame, with its length
    auto seal(std::string_view body) -> std::string;

private:
    std::string key_;
    std::uint64_t next_ = 1;
};

/// Checks the frames that the other side sent.
class FrameOpener
{
public:
    FrameOpener() = default;
    FrameOpener(std::string_view key, Role sender, std::string_view transcript);
    /// @param frame the frame without its length
    /// @return the body, a view into frame; AuthFailed when it is not the next frame
    auto open(std::string_view frame) -> absl::StatusOr<std::string_view>;

private:
    std::string key_;
    std::uint64_t next_ = 1;
};

} // namespace figrack::proto

#endif // FIGRACK_PROTO_HANDSHAKE_H
