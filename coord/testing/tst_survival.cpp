// Which copies of an accepted change survive which losses: every case counted,
// for the voter sets weighed in docs/design/consensus.md.
//
// A case is one smallest set of voters that accepted a change together with one
// set of disks then lost for good. A witness votes and remembers that a change
// exists, and has no copy of it.

#include <bit>
#include <string>
#include <vector>

#include <doctest/doctest.h>

namespace {

struct Voter
{
    bool full = true; ///< Has a copy; a witness has not.
    int domain = 0;
};

struct Count
{
    int cases = 0;
    int serving = 0; ///< The change survives and a majority goes on.
    int stopped = 0; ///< It survives, but without a majority nothing is decided.
    int lost = 0;    ///< No copy is left.
    auto operator==(const Count &) const -> bool = default;
};

using Voters = std::vector<Voter>;

auto hasCopy(const Voters &voters, unsigned set) -> bool
{
    for (auto i = 0U; i < voters.size(); ++i)
        if ((set >> i & 1U) != 0 && voters[i].full)
            return true;
    return false;
}

auto quorumOf(const Voters &voters) -> int
{
    return static_cast<int>(voters.size()) / 2 + 1;
}

auto add(Count &count, const Voters &voters, unsigned accepted, unsigned lost) -> void
{
    const auto left = ~lost & ((1U << voters.size()) - 1);
    ++count.cases;
    if (!hasCopy(voters, accepted & left))
        ++count.lost;
    else if (std::popcount(left) < quorumOf(voters))
        ++count.stopped;
    else
        ++count.serving;
}

auto acceptedSets(const Voters &voters) -> std::vector<unsigned>
{
    auto sets = std::vector<unsigned> {};
    for (auto set = 0U; set < 1U << voters.size(); ++set)
        if (std::popcount(set) == quorumOf(voters) && hasCopy(voters, set))
            sets.push_back(set);
    return sets;
}

/// Any number of single disks lost.
auto afterDisks(const Voters &voters, int losses) -> Count
{
    auto count = Count {};
    for (const auto accepted : acceptedSets(voters))
        for (auto lost = 0U; lost < 1U << voters.size(); ++lost)
            if (std::popcount(lost) == losses)
                add(count, voters, accepted, lost);
    return count;
}

/// A whole failure domain, and then one more disk outside it.
auto afterDomainAndDisk(const Voters &voters, int domains) -> Count
{
    auto count = Count {};
    for (const auto accepted : acceptedSets(voters))
        for (auto domain = 0; domain < domains; ++domain) {
            auto gone = 0U;
            for (auto i = 0U; i < voters.size(); ++i)
                gone |= voters[i].domain == domain ? 1U << i : 0U;
            for (auto i = 0U; i < voters.size(); ++i)
                if ((gone >> i & 1U) == 0)
                    add(count, voters, accepted, gone | 1U << i);
        }
    return count;
}

auto print(const char *name, const Count &count) -> void
{
    MESSAGE("| ", std::string { name }, " | ", count.cases, " | ", count.serving, " | ",
            count.stopped, " | ", count.lost, " |");
}

} // namespace

TEST_CASE("which copies of an accepted change survive which losses")
{
    const auto three = Voters { { true, 0 }, { true, 1 }, { true, 2 } };
    const auto witness = Voters { { true, 0 }, { true, 1 }, { false, 2 } };
    const auto fiveInThree
            = Voters { { true, 0 }, { true, 0 }, { true, 1 }, { true, 1 }, { true, 2 } };
    const auto fiveInFive
            = Voters { { true, 0 }, { true, 1 }, { true, 2 }, { true, 3 }, { true, 4 } };

    CHECK(afterDisks(three, 1) == Count { 9, 9, 0, 0 });
    CHECK(afterDisks(three, 2) == Count { 9, 0, 6, 3 });
    CHECK(afterDisks(witness, 1) == Count { 9, 7, 0, 2 });
    CHECK(afterDisks(witness, 2) == Count { 9, 0, 4, 5 });
    CHECK(afterDisks(fiveInFive, 1) == Count { 50, 50, 0, 0 });
    CHECK(afterDisks(fiveInFive, 2) == Count { 100, 100, 0, 0 });
    print("3 voters, 1 disk", afterDisks(three, 1));
    print("3 voters, 2 disks", afterDisks(three, 2));
    print("2 voters + witness, 1 disk", afterDisks(witness, 1));
    print("2 voters + witness, 2 disks", afterDisks(witness, 2));
    print("5 voters, 1 disk", afterDisks(fiveInFive, 1));
    print("5 voters, 2 disks", afterDisks(fiveInFive, 2));
    print("3 voters in 3 domains, a domain and a disk", afterDomainAndDisk(three, 3));
    print("2 voters + witness in 3 domains, a domain and a disk", afterDomainAndDisk(witness, 3));
    print("5 voters in 3 domains, a domain and a disk", afterDomainAndDisk(fiveInThree, 3));
    print("5 voters in 5 domains, a domain and a disk", afterDomainAndDisk(fiveInFive, 5));
}
