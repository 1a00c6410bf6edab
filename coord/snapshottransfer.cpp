// The image is the membership's length in four bytes, the membership, then the
// embedder's state as it is: the state is copied once and parsed by nobody here.

#include "coord/snapshottransfer.h"

#include <algorithm>
#include <array>

#include "coord/membership.h"
#include "core/error.h"

namespace figrack::coord {

namespace {

constexpr auto lengthBytes = std::size_t { 4 };

auto encodeLength(std::size_t length) -> std::string
{
    auto bytes = std::string(lengthBytes, '\0');
    for (auto i = std::size_t { 0 }; i < lengthBytes; ++i)
        bytes[i] = static_cast<char>((length >> (8 * i)) & 0xffU);
    return bytes;
}

auto decodeLength(std::string_view bytes) -> std::size_t
{
    auto length = std::size_t { 0 };
    for (auto i = std::size_t { 0 }; i < lengthBytes; ++i)
        length |= std::size_t { static_cast<unsigned char>(bytes[i]) } << (8 * i);
    return length;
}

} // namespace

auto packSnapshot(const Snapshot &snapshot) -> std::shared_ptr<const SnapshotImage>
{
    const auto membership = encodeMembership(snapshot.membership);
    auto image = std::make_shared<SnapshotImage>();
    image->lastIndex = snapshot.lastIndex;
    image->lastTerm = snapshot.lastTerm;
    image->bytes = encodeLength(membership.size()) + membership + snapshot.state;
    return image;
}

auto snapshotPart(const SnapshotImage &image, std::uint64_t offset, std::size_t maxBytes)
        -> SnapshotPart
{
    auto part = SnapshotPart {};
    part.lastIndex = image.lastIndex;
    part.lastTerm = image.lastTerm;
    part.offset = offset;
    part.totalBytes = image.bytes.size();
    if (offset < image.bytes.size())
        part.data = image.bytes.substr(offset, maxBytes);
    return part;
}

SnapshotAssembly::SnapshotAssembly(std::size_t maxBytes)
    : maxBytes_(maxBytes)
{ }

auto SnapshotAssembly::take(const SnapshotPart &part, Term term) -> std::uint64_t
{
    if (part.totalBytes > maxBytes_)
        return 0;
    const auto same = active_ && term_ == term && lastIndex_ == part.lastIndex
            && lastTerm_ == part.lastTerm && totalBytes_ == part.totalBytes;
    if (!same) {
        clear();
        active_ = true;
        term_ = term;
        lastIndex_ = part.lastIndex;
        lastTerm_ = part.lastTerm;
        totalBytes_ = part.totalBytes;
    }
    const auto fits = part.data.size() <= totalBytes_ - bytes_.size();
    if (part.offset == bytes_.size() && fits)
        bytes_ += part.data;
    return bytes_.size();
}

auto SnapshotAssembly::complete() const -> bool
{
    return active_ && bytes_.size() == totalBytes_;
}

auto SnapshotAssembly::unpack() const -> absl::StatusOr<Snapshot>
{
    const auto bytes = std::string_view { bytes_ };
    if (bytes.size() < lengthBytes)
        return makeError(ErrorKind::Malformed, "snapshot=short");
    const auto length = decodeLength(bytes);
    if (length > bytes.size() - lengthBytes)
        return makeError(ErrorKind::Malformed, "snapshot=short");
    auto membership = decodeMembership(bytes.substr(lengthBytes, length));
    if (!membership.ok())
        return membership.status();
    auto snapshot = Snapshot {};
    snapshot.lastIndex = lastIndex_;
    snapshot.lastTerm = lastTerm_;
    snapshot.membership = *std::move(membership);
    snapshot.state = std::string { bytes.substr(lengthBytes + length) };
    return snapshot;
}

auto SnapshotAssembly::clear() -> void
{
    active_ = false;
    bytes_.clear();
    bytes_.shrink_to_fit();
    totalBytes_ = 0;
}

} // namespace figrack::coord
