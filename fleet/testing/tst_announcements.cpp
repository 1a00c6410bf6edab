// Tests which of the endpoints' messages are accepted and which are refused.

#include <doctest/doctest.h>

#include "core/error.h"
#include "fleet/announcements.h"
#include "fleet/testing/fakepeer.h"

using namespace figrack;
using namespace figrack::fleet;
using catalogue::EndpointState;
using figrack::fleet::testing::FakePeer;

namespace {

struct AnnouncementsRig
{
    ManualClock clock;
    Metrics metrics;
    Registry registry { {}, clock };
    GroupContact contact { { .self = NodeId { "n1" } }, clock };
    Announcements announcements { registry, KnownServices { readDocument }, contact, clock,
                                  metrics };
    absl::Status last;
    std::uint64_t sequence = 0; ///< Of the latest announcement.

    AnnouncementsRig() { observe("n2"); }
    /// @param leader that this control, a voter of its group, hears; empty: none
    auto observe(const char *leader) -> void
    {
        auto self = coord::Member {};
        self.node = NodeId { "n1" };
        self.incarnation = Incarnation { 7 };
        auto status = coord::ReplicaStatus {};
        status.role = coord::Role::Follower;
        status.incarnation = self.incarnation;
        status.membership.members = { self };
        status.leader = NodeId { leader };
        contact.observe(status);
    }
    /// The control hears no leader for longer than an election takes.
    auto loseTouch() -> void
    {
        observe("");
        clock.advance(std::chrono::seconds { 3 });
    }
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
        row.sequence = ++sequence;
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

// A control that was removed from its group acknowledged them, and no gateway learned of the
// endpoints.
TEST_CASE("An announcement at a control out of touch with its group is used, not acknowledged")
{
    auto rig = AnnouncementsRig {};
    rig.loseTouch();
    rig.onAnnouncement("i-1", "llm", EndpointState::Ready);
    CHECK(errorKind(rig.last) == ErrorKind::NoQuorum);
    CHECK(rig.stateOf("i-1") == EndpointState::Ready);
    CHECK(rig.metrics.text().find("not_acknowledged_total 1") != std::string::npos);
    rig.observe("n2");
    rig.onAnnouncement("i-1", "llm", EndpointState::Ready);
    CHECK(rig.last.ok());
}

TEST_CASE("A leaving that only the gateways of a control out of touch confirm isn't acknowledged")
{
    auto rig = AnnouncementsRig {};
    rig.onAnnouncement("i-1", "llm", EndpointState::Ready);
    const auto gateway = std::make_shared<FakePeer>("g1");
    auto subscribe = proto::Subscribe {};
    subscribe.ready = true;
    rig.registry.onSubscribe(gateway, subscribe);
    rig.clock.advance(std::chrono::seconds { 2 });
    const auto leave = [&rig, &gateway](auto &&send) {
        rig.last = absl::UnknownError("not completed");
        send();
        rig.registry.onAck(gateway, { gateway->updates.back().number });
        return errorKind(rig.last);
    };
    rig.loseTouch();
    CHECK(leave([&] { rig.onAnnouncement("i-1", "llm", EndpointState::Draining); })
          == ErrorKind::NoQuorum);
    CHECK(rig.stateOf("i-1") == EndpointState::Draining);
    CHECK(leave([&] { rig.onDeregistration(EndpointId { "i-1" }); }) == ErrorKind::NoQuorum);
    CHECK(rig.stateOf("i-1") == EndpointState::Gone);
    rig.observe("n2");
    rig.onAnnouncement("i-2", "llm", EndpointState::Ready);
    leave([&] { rig.onDeregistration(EndpointId { "i-2" }); });
    CHECK(rig.last.ok());
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
