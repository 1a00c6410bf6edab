// The first field of an entry or a snapshot that is a bare document is its version.
// In everything else it is notADocument, which no document has. A reservation begins like
// the end of an evacuation of a domain without a name, which releases that do not know
// reservations reject.

#include "fleet/configlog.h"

#include <limits>
#include <utility>

#include "core/log.h"
#include "core/serial.h"

namespace figrack::fleet {
namespace {

constexpr auto notADocument = Revision { std::numeric_limits<std::uint64_t>::max() };

struct EvacuationEntry
{
    Revision mark = notADocument;
    catalogue::EvacuationChange change;

    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(mark, change);
    }
};

struct ReservationEntry
{
    EvacuationEntry noEvacuation;
    RetryReservation reservation;

    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(noEvacuation, reservation);
    }
};

struct Snapshot
{
    Revision mark = notADocument;
    Document document;
    catalogue::Evacuations evacuations;

    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(mark, document, evacuations);
    }
};

auto isDocument(std::string_view bytes) -> bool
{
    const auto mark = serialize(notADocument);
    return bytes.substr(0, mark.size()) != mark;
}

} // namespace

auto ConfigLog::encode(const Document &document) -> std::string
{
    return serialize(document);
}

auto ConfigLog::encode(const catalogue::EvacuationChange &change) -> std::string
{
    return serialize(EvacuationEntry { notADocument, change });
}

auto ConfigLog::encode(const RetryReservation &reservation) -> std::string
{
    return serialize(ReservationEntry { {}, reservation });
}

auto ConfigLog::versionOf(const coord::Entry &entry) -> std::optional<Revision>
{
    auto proposed = Document {};
    if (entry.kind != coord::EntryKind::Command || !isDocument(entry.data)
        || !deserialize(entry.data, proposed).ok())
        return std::nullopt;
    return proposed.version;
}

auto ConfigLog::apply(const coord::Entry &entry) -> void
{
    if (entry.kind != coord::EntryKind::Command)
        return;
    auto reservation = ReservationEntry {};
    if (isDocument(entry.data))
        applyDocument(entry);
    else if (deserialize(entry.data, reservation).ok())
        applyReservation(entry, reservation.reservation);
    else
        applyEvacuation(entry);
}

auto ConfigLog::applyReservation(const coord::Entry &entry, const RetryReservation &reservation)
        -> void
{
    if (onReserved_)
        onReserved_(reservation, entry.term);
    if (onApplied_)
        onApplied_(entry.index, entry.term);
}

auto ConfigLog::applyDocument(const coord::Entry &entry) -> void
{
    auto proposed = Document {};
    if (auto status = deserialize(entry.data, proposed); !status.ok()) {
        LogEvent(LogLevel::Error, "document_entry_unreadable")
                .with("index", entry.index)
                .with(status);
        return;
    }
    const auto wins = proposed.version > document_.version;
    LogEvent(LogLevel::Info, "document_applied")
            .with("version", proposed.version)
            .with("held", document_.version)
            .with("wins", wins)
            .with("index", entry.index);
    if (wins)
        document_ = std::move(proposed);
    if (onApplied_)
        onApplied_(entry.index, entry.term);
}

auto ConfigLog::applyEvacuation(const coord::Entry &entry) -> void
{
    auto proposed = EvacuationEntry {};
    if (auto status = deserialize(entry.data, proposed); !status.ok()) {
        LogEvent(LogLevel::Error, "evacuation_entry_unreadable")
                .with("index", entry.index)
                .with(status);
        return;
    }
    const auto changed = evacuations_.apply(proposed.change);
    LogEvent(LogLevel::Info, "evacuation_applied")
            .with("domain", proposed.change.domain)
            .with("begins", proposed.change.begins)
            .with("changed", changed)
            .with("revision", evacuations_.revision)
            .with("index", entry.index);
    if (onApplied_)
        onApplied_(entry.index, entry.term);
}

auto ConfigLog::snapshot() const -> std::string
{
    return serialize(Snapshot { notADocument, document_, evacuations_ });
}

auto ConfigLog::restore(std::string_view state, LogIndex lastIndex) -> absl::Status
{
    auto restored = Snapshot {};
    auto status = isDocument(state) ? deserialize(state, restored.document)
                                    : deserialize(state, restored);
    if (!status.ok())
        return status;
    document_ = std::move(restored.document);
    evacuations_ = std::move(restored.evacuations);
    if (onRestored_)
        onRestored_(lastIndex);
    return absl::OkStatus();
}

auto ConfigLog::reset() -> void
{
    document_ = {};
    evacuations_ = {};
}

auto ConfigLog::setOnReserved(std::function<void(const RetryReservation &, Term)> listener) -> void
{
    onReserved_ = std::move(listener);
}

auto ConfigLog::setOnRestored(std::function<void(LogIndex)> listener) -> void
{
    onRestored_ = std::move(listener);
}

auto ConfigLog::setOnApplied(std::function<void(LogIndex, Term)> listener) -> void
{
    onApplied_ = std::move(listener);
}

} // namespace figrack::fleet
