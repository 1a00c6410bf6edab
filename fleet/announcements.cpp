#include "fleet/announcements.h"

#include <utility>

#include "core/error.h"
#include "core/log.h"

namespace figrack::fleet {
namespace {

/// Minimum time between two log lines about messages that are not acknowledged.
constexpr auto noteEvery = std::chrono::seconds { 1 };

} // namespace

Announcements::Announcements(Registry &registry, KnownServices services,
                             const GroupContact &contact, const Clock &clock, Metrics &metrics)
    : registry_(registry)
    , services_(std::move(services))
    , contact_(contact)
    , clock_(clock)
    , metrics_(metrics)
{ }

auto Announcements::onAnnouncement(const catalogue::EndpointRow &row, const Document &newest,
                                   Done done) -> void
{
    if (!services_.knows(row.service, newest)) {
        auto status = makeError(ErrorKind::BadRequest, "service=" + row.service.value());
        refuse(status);
        done(std::move(status));
    } else if (row.state == catalogue::EndpointState::Ready) {
        registry_.onAnnouncement(row);
        acknowledgeInTouch(std::move(done))(absl::OkStatus());
    } else {
        registry_.onLeaving(row, acknowledgeInTouch(std::move(done)));
    }
}

auto Announcements::onDeregistration(const EndpointId &id, Done done) -> void
{
    const auto *known = registry_.find(id);
    if (known == nullptr && id.incarnation() == Incarnation {})
        known = registry_.inUse(id);
    auto row = known != nullptr ? *known : catalogue::EndpointRow {};
    if (known == nullptr) {
        row.id = id;
        LogEvent(LogLevel::Info, "unknown_endpoint_deregistered").with("endpoint", id);
    }
    row.state = catalogue::EndpointState::Gone;
    registry_.onLeaving(row, acknowledgeInTouch(std::move(done)));
}

auto Announcements::acknowledgeInTouch(Done done) -> Done
{
    return [this, done = std::move(done)](absl::Status status) {
        if (!status.ok() || contact_.isInTouch()) {
            done(std::move(status));
            return;
        }
        metrics_.onAnnouncementNotAcknowledged();
        ++notAcknowledged_;
        const auto now = clock_.now();
        if (now >= nextTouchNote_) {
            nextTouchNote_ = now + noteEvery;
            LogEvent(LogLevel::Warning, "announcement_not_acknowledged")
                    .with("count", std::exchange(notAcknowledged_, 0))
                    .with("has_leader", contact_.hasLeader())
                    .with("listed", contact_.isListed());
        }
        done(makeError(ErrorKind::NoQuorum, "out of touch with the group"));
    };
}

auto Announcements::refuse(const absl::Status &reason) -> void
{
    metrics_.onAnnouncementRefused();
    ++refused_;
    const auto now = clock_.now();
    if (now < nextNote_)
        return;
    nextNote_ = now + noteEvery;
    LogEvent(LogLevel::Warning, "announcement_refused")
            .with("count", std::exchange(refused_, 0))
            .with(reason);
}

} // namespace figrack::fleet
