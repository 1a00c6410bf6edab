#include "fleet/recentdocuments.h"

#include <utility>

namespace figrack::fleet {
namespace {

/// Operators may have at most this many changes in progress at once.
constexpr auto keptDocuments = std::size_t { 8 };
/// Maximum size of one reply; a gateway asks for less. A longer frame would delay the messages
/// behind it.
constexpr auto maxReplyBytes = std::size_t { 256 } << 10;

} // namespace

auto RecentDocuments::addDocument(const Document &document) -> void
{
    if (!manifests_.empty() && manifests_.back().version == document.version)
        return;
    auto manifest = proto::ManifestReply { document.version, {} };
    for (const auto bytes : catalogue::splitIntoBlocks(document.text)) {
        const auto id = catalogue::blockIdOf(bytes);
        auto &block = blocks_[id];
        if (block.uses++ == 0)
            block.bytes = bytes;
        manifest.blocks.push_back({ id, static_cast<std::uint32_t>(bytes.size()) });
    }
    manifests_.push_back(std::move(manifest));
    if (manifests_.size() > keptDocuments)
        dropOldest();
}

auto RecentDocuments::manifest() const -> proto::ManifestReply
{
    return manifests_.empty() ? proto::ManifestReply {} : manifests_.back();
}

auto RecentDocuments::blocks(const proto::BlocksRequest &request) const -> proto::BlocksReply
{
    auto reply = proto::BlocksReply {};
    auto bytes = std::size_t { 0 };
    for (const auto &id : request.blocks) {
        const auto found = blocks_.find(id);
        if (found == blocks_.end())
            continue;
        bytes += found->second.bytes.size();
        if (bytes > maxReplyBytes)
            break;
        reply.blocks.push_back(found->second.bytes);
    }
    return reply;
}

auto RecentDocuments::dropOldest() -> void
{
    for (const auto &ref : manifests_.front().blocks) {
        const auto found = blocks_.find(ref.id);
        if (--found->second.uses == 0)
            blocks_.erase(found);
    }
    manifests_.pop_front();
}

} // namespace figrack::fleet
