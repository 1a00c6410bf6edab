// The most recent configuration documents of a control, served to gateways as manifests and blocks.
//
//   recentDocuments.addDocument(document);          // the newest one known to be committed
//   peer->send(recentDocuments.manifest());
//   peer->send(recentDocuments.blocks(request));
//
// The blocks of the last few documents are kept, so that a gateway that fetches
// the blocks of one manifest finds them while newer documents arrive. There may
// be eight changes in progress at once, so eight documents are kept. Blocks that
// several documents share are stored once.
//
// Not thread-safe.

#ifndef FIGRACK_FLEET_RECENTDOCUMENTS_H
#define FIGRACK_FLEET_RECENTDOCUMENTS_H

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "catalogue/documentblocks.h"
#include "fleet/configlog.h"
#include "proto/servingmessages.h"

namespace figrack::fleet {

class RecentDocuments
{
public:
    /// Does nothing when the newest held document has the same version.
    /// @param document the newest document
    auto addDocument(const Document &document) -> void;
    /// @return the manifest of the newest document; version 0 when there is none
    auto manifest() const -> proto::ManifestReply;
    /// @return the requested blocks that are held, as many as fit into one reply
    auto blocks(const proto::BlocksRequest &request) const -> proto::BlocksReply;

private:
    struct Block
    {
        std::string bytes;
        std::uint32_t uses = 0; ///< Number of kept manifests that refer to the block.
    };

    auto dropOldest() -> void;

    std::deque<proto::ManifestReply> manifests_; ///< The newest is last.
    std::map<catalogue::BlockId, Block> blocks_;
};

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_RECENTDOCUMENTS_H
