#include "fleet/originstore.h"

namespace figrack::fleet {

OriginStore::OriginStore(proto::OriginTableOptions options, const Clock &clock, Metrics &metrics)
    : metrics_(metrics)
    , table_(options, clock)
{ }

auto OriginStore::keep(const proto::BegunStreams &begun) -> void
{
    auto kept = std::size_t { 0 };
    auto dropped = std::size_t { 0 };
    for (const auto &stream : begun.streams) {
        if (kept >= proto::maxBegunStreams || !proto::isWithinBounds(stream)) {
            ++dropped;
            continue;
        }
        dropped += table_.keep(stream, proto::OriginKeeper::Others);
        ++kept;
    }
    metrics_.onOriginsTold(kept, dropped);
}

auto OriginStore::answer(const proto::StreamOriginQuery &query) const -> proto::StreamOriginReply
{
    auto reply = proto::StreamOriginReply {};
    reply.origin = table_.find(query.key);
    metrics_.onOriginAsked(reply.origin.has_value());
    return reply;
}

} // namespace figrack::fleet
