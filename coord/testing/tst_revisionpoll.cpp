// What a majority requires, by the answers of voters.

#include <doctest/doctest.h>

#include "coord/revisionpoll.h"

using namespace figrack;
using namespace figrack::coord;

namespace {

struct Voters
{
    std::uint32_t size = 5;
    std::uint64_t set = 7;
    auto reply(const std::string &name, std::uint64_t round, std::uint64_t required) const
            -> RevisionReply
    {
        return { NodeId { name }, round, Revision { required }, size, set };
    }
};

} // namespace

TEST_CASE("Nothing is required before a majority has answered")
{
    auto poll = RevisionPoll {};
    const auto voters = Voters {};
    const auto round = poll.begin().round;
    poll.onReply(voters.reply("a", round, 3));
    poll.onReply(voters.reply("b", round, 3));
    poll.onReply(voters.reply("b", round, 3)); // Said twice, it counts once.
    CHECK_FALSE(poll.required());
    poll.onReply(voters.reply("c", round, 4));
    CHECK(poll.required() == Revision { 4 });
    CHECK_FALSE(poll.isComplete());
}

TEST_CASE("Of all majorities the one that requires least counts")
{
    auto poll = RevisionPoll {};
    const auto voters = Voters {};
    const auto round = poll.begin().round;
    poll.onReply(voters.reply("a", round, 9)); // Stored by a deposed leader, and not committed.
    poll.onReply(voters.reply("b", round, 3));
    poll.onReply(voters.reply("c", round, 3));
    CHECK(poll.required() == Revision { 9 });
    poll.onReply(voters.reply("d", round, 3));
    CHECK(poll.required() == Revision { 3 });
    poll.onReply(voters.reply("e", round, 9));
    CHECK(poll.required() == Revision { 3 });
    CHECK(poll.isComplete());
}

TEST_CASE("Answers of other rounds, of other voter sets and of no voter are not added up")
{
    auto poll = RevisionPoll {};
    const auto voters = Voters {};
    const auto others = Voters { 5, 8 };
    const auto first = poll.begin().round;
    const auto round = poll.begin().round;
    poll.onReply(voters.reply("a", first, 1));
    poll.onReply(voters.reply("b", round, 2));
    poll.onReply(voters.reply("c", round, 2));
    poll.onReply(others.reply("d", round, 2));
    auto recovering = voters.reply("e", round, 2);
    recovering.voters = 0;
    poll.onReply(recovering);
    CHECK_FALSE(poll.required());
    poll.onReply(voters.reply("d", round, 2));
    CHECK(poll.required() == Revision { 2 });
}

TEST_CASE("One voter alone is its own majority")
{
    auto poll = RevisionPoll {};
    const auto round = poll.begin().round;
    poll.onReply(Voters { 1, 7 }.reply("a", round, 5));
    CHECK(poll.required() == Revision { 5 });
}
