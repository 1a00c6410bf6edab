// Blocks of a document, and how few of them a change touches.

#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <string>

#include "catalogue/documentblocks.h"
#include "core/random.h"

using namespace figrack;
using namespace figrack::catalogue;

namespace {

/// @return a text like a configuration: a version, then routes, some 200 bytes each
auto makeText(std::uint64_t version, std::size_t routes, std::uint64_t seed) -> std::string
{
    auto random = Random { seed };
    auto text = "{\"Version\":" + std::to_string(version) + ",\"Routes\":[";
    for (auto route = std::size_t { 0 }; route < routes; ++route) {
        text += "{\"Name\":\"r-" + std::to_string(random.bits()) + "\",\"Host\":\"h.example\",";
        text += "\"pathPrefix\":\"/" + std::to_string(random.bits()) + "/\",\"Kind\":\"stream\",";
        text += "\"finishLimitMs\":13000,\"Priority\":1,\"Service\":\"s1\",\"maxAttempts\":2,";
        text += "\"Resumable\":true,\"gapTargetMs\":500},";
    }
    return text + "]}";
}

auto missingBytes(const std::string &held, const std::string &wanted) -> std::size_t
{
    auto ids = std::set<BlockId> {};
    for (const auto &block : manifestOf(held))
        ids.insert(block.id);
    auto bytes = std::size_t { 0 };
    for (const auto &block : manifestOf(wanted))
        bytes += ids.contains(block.id) ? 0 : block.bytes;
    return bytes;
}

} // namespace

TEST_CASE("Blocks joined are the text, within their bounds, whatever the text is")
{
    auto random = Random { 1 };
    for (auto round = 0; round < 200; ++round) {
        auto text = std::string(random.below(60000), '\0');
        const auto values = 1 + random.below(256);
        for (auto &byte : text)
            byte = static_cast<char>(random.below(values));
        const auto blocks = splitIntoBlocks(text);
        auto joined = std::string {};
        for (const auto block : blocks)
            joined += block;
        REQUIRE(joined == text);
        REQUIRE(manifestOf(text).size() == blocks.size());
        for (auto i = std::size_t { 0 }; i < blocks.size(); ++i) {
            REQUIRE(blocks[i].size() <= maxBlockBytes);
            REQUIRE((blocks[i].size() >= minBlockBytes || i + 1 == blocks.size()));
            REQUIRE(blockIdOf(blocks[i]) == manifestOf(text)[i].id);
        }
    }
    CHECK(splitIntoBlocks("").empty());
}

/// Whole documents sent 300 KB for each of these changes; blocks send 16 KB or less beside a
/// manifest of 3 KB.
TEST_CASE("A change of one route needs a few blocks of a large document")
{
    const auto before = makeText(7, 1400, 5);
    REQUIRE(before.size() > 280'000);
    CHECK(manifestOf(before).size() * 20 < 4'000);
    auto random = Random { 2 };
    enum class Change { Changed, Added, Removed };
    for (const auto change : { Change::Changed, Change::Added, Change::Removed }) {
        for (auto round = 0; round < 50; ++round) {
            auto after = before;
            after.replace(after.find('7'), 1, std::to_string(8 + round));
            const auto begin = after.find("},", random.below(after.size() - 1000)) + 2;
            if (change == Change::Changed)
                after.replace(after.find("13000", begin), 5, "9000");
            else if (change == Change::Added)
                after.insert(begin, makeText(1, 1, 77).substr(24, 200));
            else
                after.erase(begin, after.find("},", begin) + 2 - begin);
            REQUIRE(after != before);
            CHECK(missingBytes(before, after) <= 4 * maxBlockBytes);
        }
    }
}

TEST_CASE("Blocks tell one byte apart")
{
    auto text = makeText(7, 40, 5);
    const auto before = manifestOf(text);
    text[text.size() / 2] ^= 1;
    CHECK(manifestOf(text) != before);
}
