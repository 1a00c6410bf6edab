// Tests which of the endpoints' messages are accepted and which are refused.

#include <doctest/doctest.h>

#include "core/error.h"
#include "fleet/announcements.h"

using namespace figrack;
using namespace figrack::fleet;
using catalogue::EndpointState;

namespace {

struct AnnouncementsRig
{
    ManualClock clock;
    Metrics metrics;
    Registry registry { {}, clock };
    Announcements announcements { registry, KnownServices { readDocument }, clock, metrics };
    absl::Status last;

    static auto readDocument(std::string_view text) -> absl::StatusOr<catalogue::Catalogue>
    {
        auto service = catalogue::Service {};
        service.id = ServiceId { std::string { text } };
        auto result = catalogue::Catalogue {};
        result.services.push_back(service);
        return result;
    }
    auto onAnnouncement(const std::string &id, const std::string &service, EndpointState state)
            -> void
    {
        auto row = catalogue::EndpointRow {};
        row.id = EndpointId { id };
        row.service = ServiceId { service };
        row.sequence = 1;
        row.state = state;
        announcements.onAnnouncement(row, { Revision { 1 }, "llm" },
                                     [this](absl::Status status) { last = std::move(status); });
    }
    auto onDeregistration(const EndpointId &id) -> void
    {
        announcements.onDeregistration(id,
                                       [this](absl::Status status) { last = std::move(status); });
    }
    auto stateOf(const char *id) const -> EndpointState
    {
        const auto *row = registry.find(EndpointId { id });
        return row == nullptr ? EndpointState::Gone : row->state;
    }
};

} // namespace

TEST_CASE("An announcement for a service that no configuration names is counted and refused")
{
    auto rig = AnnouncementsRig {};
    rig.onAnnouncement("i-1", "llm", EndpointState::Ready);
    CHECK(rig.last.ok());
    rig.onAnnouncement("i-2", "other", EndpointState::Ready);
    CHECK(errorKind(rig.last) == ErrorKind::BadRequest);
    rig.onAnnouncement("i-1", "other", EndpointState::Draining);
    CHECK(errorKind(rig.last) == ErrorKind::BadRequest);
    CHECK(rig.registry.rows().size() == 1);
    CHECK(rig.stateOf("i-1") == EndpointState::Ready);
    CHECK(rig.metrics.text().find("announcements_refused_total 2") != std::string::npos);
}

TEST_CASE("A deregistration applies to the incarnation that it names, or to the one in use")
{
    auto rig = AnnouncementsRig {};
    rig.onAnnouncement("i-1#100", "llm", EndpointState::Ready);
    rig.onAnnouncement("i-1#200", "llm", EndpointState::Ready);
    rig.onDeregistration(EndpointId { "i-1#100" });
    CHECK(rig.stateOf("i-1#200") == EndpointState::Ready);
    rig.onDeregistration(EndpointId { "i-1#50" });
    CHECK(rig.stateOf("i-1#200") == EndpointState::Ready);
    rig.onDeregistration(EndpointId { "i-1" });
    CHECK(rig.stateOf("i-1#200") == EndpointState::Gone);
}
