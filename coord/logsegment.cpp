// Torn or damaged? A frame is written only after the one before it was synced.
// So bytes that are bad and have no good frame after them are the tail of a
// write that a crash cut off; bad bytes with a good frame behind them were once
// synced and have been damaged since. The search for a later frame tries every
// offset, since a damaged length tells nothing; the frame's number, which must
// be above the last good one, rules out nearly all offsets before the checksum
// is computed.
//
// Damage to the very last frame looks like a torn one: it is cut, and this
// replica then lacks entries that the others still hold.

#include "coord/logsegment.h"

#include <array>

#include <fmt/format.h>
#include <xxhash.h>

#include "core/error.h"

namespace figrack::coord {

namespace {

constexpr auto segmentMagic = std::string_view { "figlog01" };
constexpr auto sealMagic = std::string_view { "figseal1" };
constexpr auto wordBytes = std::size_t { 8 };
constexpr auto segmentHeaderBytes = 5 * wordBytes;
constexpr auto frameHeaderBytes = 3 * wordBytes;
constexpr auto sealHeaderBytes = 4 * wordBytes;

/// Little-endian, whatever the host.
auto putWord(std::string &out, std::uint64_t word) -> void
{
    for (auto shift = 0; shift < 64; shift += 8)
        out.push_back(static_cast<char>((word >> shift) & 0xFFU));
}

auto wordAt(std::string_view bytes, std::size_t offset) -> std::uint64_t
{
    auto word = std::uint64_t { 0 };
    for (auto i = wordBytes; i > 0; --i)
        word = (word << 8U) | static_cast<unsigned char>(bytes[offset + i - 1]);
    return word;
}

auto checksum(std::string_view bytes, std::uint64_t seed) -> std::uint64_t
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

auto frameChecksum(Incarnation folder, std::uint64_t frame, std::string_view payload)
        -> std::uint64_t
{
    auto words = std::string {};
    putWord(words, frame);
    putWord(words, payload.size());
    return checksum(payload, checksum(words, folder.value()));
}

/// A whole good frame at an offset.
struct FrameAt
{
    std::uint64_t number = 0;
    std::string_view payload;
};

/// @param lowest the least number that is looked for
auto frameAt(std::string_view bytes, std::size_t offset, Incarnation folder, std::uint64_t lowest)
        -> std::optional<FrameAt>
{
    if (bytes.size() - offset < frameHeaderBytes)
        return std::nullopt;
    const auto length = wordAt(bytes, offset);
    const auto number = wordAt(bytes, offset + wordBytes);
    const auto rest = bytes.substr(offset + frameHeaderBytes);
    // No segment holds more frames than bytes.
    if (length > rest.size() || number < lowest || number - lowest > bytes.size())
        return std::nullopt;
    const auto payload = rest.substr(0, length);
    if (wordAt(bytes, offset + 2 * wordBytes) != frameChecksum(folder, number, payload))
        return std::nullopt;
    return FrameAt { number, payload };
}

auto laterFrameExists(std::string_view bytes, std::size_t from, Incarnation folder,
                      std::uint64_t expected) -> bool
{
    for (auto offset = from; offset < bytes.size(); ++offset) {
        if (frameAt(bytes, offset, folder, expected))
            return true;
    }
    return false;
}

auto decodeSegmentHeader(std::string_view bytes) -> absl::StatusOr<SegmentHeader>
{
    if (bytes.size() < segmentHeaderBytes || !bytes.starts_with(segmentMagic))
        return makeError(ErrorKind::Corrupt, "part=segment_header reason=no_magic");
    const auto checked = bytes.substr(0, segmentHeaderBytes - wordBytes);
    if (wordAt(bytes, checked.size()) != checksum(checked, 0))
        return makeError(ErrorKind::Corrupt, "part=segment_header reason=checksum");
    return SegmentHeader { wordAt(bytes, wordBytes), Incarnation { wordAt(bytes, 2 * wordBytes) },
                           wordAt(bytes, 3 * wordBytes) };
}

auto sealChecksum(SealKind kind, std::string_view folderAndLength, std::string_view payload)
        -> std::uint64_t
{
    const auto seed = checksum(folderAndLength, static_cast<std::uint64_t>(kind) + 1);
    return checksum(payload, seed);
}

} // namespace

auto encodeSegmentHeader(const SegmentHeader &header) -> std::string
{
    auto bytes = std::string { segmentMagic };
    putWord(bytes, header.sequence);
    putWord(bytes, header.folder.value());
    putWord(bytes, header.firstFrame);
    putWord(bytes, checksum(bytes, 0));
    return bytes;
}

auto encodeFrame(Incarnation folder, std::uint64_t frame, std::string_view payload) -> std::string
{
    auto bytes = std::string {};
    bytes.reserve(frameHeaderBytes + payload.size());
    putWord(bytes, payload.size());
    putWord(bytes, frame);
    putWord(bytes, frameChecksum(folder, frame, payload));
    bytes.append(payload);
    return bytes;
}

auto scanSegment(std::string_view bytes) -> absl::StatusOr<SegmentScan>
{
    const auto header = decodeSegmentHeader(bytes);
    if (!header.ok())
        return header.status();
    auto scan = SegmentScan { *header, {}, segmentHeaderBytes, false };
    auto expected = header->firstFrame;
    while (scan.goodBytes < bytes.size()) {
        const auto frame = frameAt(bytes, scan.goodBytes, header->folder, expected);
        if (!frame || frame->number != expected) {
            scan.goodAfterBad = laterFrameExists(bytes, scan.goodBytes, header->folder, expected);
            break;
        }
        scan.payloads.push_back(frame->payload);
        scan.goodBytes += frameHeaderBytes + frame->payload.size();
        ++expected;
    }
    return scan;
}

auto encodeSealed(SealKind kind, Incarnation folder, std::string_view payload) -> std::string
{
    auto words = std::string {};
    putWord(words, folder.value());
    putWord(words, payload.size());
    auto bytes = std::string { sealMagic } + words;
    putWord(bytes, sealChecksum(kind, words, payload));
    bytes.append(payload);
    return bytes;
}

auto decodeSealed(SealKind kind, std::optional<Incarnation> folder, std::string_view bytes)
        -> absl::StatusOr<std::string_view>
{
    if (bytes.size() < sealHeaderBytes || !bytes.starts_with(sealMagic))
        return makeError(ErrorKind::Corrupt, "reason=no_magic");
    const auto words = bytes.substr(wordBytes, 2 * wordBytes);
    const auto payload = bytes.substr(sealHeaderBytes);
    if (wordAt(words, wordBytes) != payload.size())
        return makeError(ErrorKind::Corrupt, "reason=length");
    if (wordAt(bytes, 3 * wordBytes) != sealChecksum(kind, words, payload))
        return makeError(ErrorKind::Corrupt, "reason=checksum");
    if (folder && folder->value() != wordAt(words, 0))
        return makeError(ErrorKind::Corrupt, "reason=other_folder");
    return payload;
}

} // namespace figrack::coord
