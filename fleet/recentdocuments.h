// What a control gives gateways of the documents that it holds: manifests and blocks.
//
//   shelf.hold(document);                 // the newest one known to be committed
//   peer->send(shelf.manifest());
//   peer->send(shelf.blocks(request));
//
// The blocks of the last few documents are kept, so that a gateway that works
// through one manifest finds its blocks while newer documents come: with eight
// changes in progress at once, eight. What they share is held once.
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
    /// Does nothing with the version that is held. @param document the newest one
    auto addDocument(const Document &document) -> void;
    /// @return of the newest document; version 0 without one
    auto manifest() const -> proto::ManifestReply;
    /// @return those asked for that are held, as many as fit one reply
    auto blocks(const proto::BlocksRequest &request) const -> proto::BlocksReply;

private:
    struct Block
    {
        std::string bytes;
        std::uint32_t uses = 0; ///< By manifests that are kept.
    };

    auto dropOldest() -> void;

    std::deque<proto::ManifestReply> manifests_; ///< The newest last.
    std::map<catalogue::BlockId, Block> blocks_;
};

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_RECENTDOCUMENTS_H
