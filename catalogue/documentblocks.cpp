// A gear hash: each byte shifts the hash by one bit and adds a number of its own,
// so that a byte has left the hash 64 bytes later. A block ends where the upper
// bits of the hash are zero.

#include "catalogue/documentblocks.h"

#include <algorithm>
#include <array>
#include <bit>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace figrack::catalogue {
namespace {

constexpr auto byteValues = std::size_t { 256 };
/// As many zero bits as one position in meanBlockBytes has by chance.
constexpr auto boundaryBits = std::countr_zero(meanBlockBytes);

/// @return a number for each byte value, by splitmix64
constexpr auto gearTable() -> std::array<std::uint64_t, byteValues>
{
    auto table = std::array<std::uint64_t, byteValues> {};
    auto state = std::uint64_t { 0 };
    for (auto &number : table) {
        state += 0x9e3779b97f4a7c15;
        auto mixed = state;
        mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9;
        mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111eb;
        number = mixed ^ (mixed >> 31);
    }
    return table;
}

constexpr auto gear = gearTable();

/// @return the size of the first block of a text that is not empty
auto firstBlockBytes(std::string_view text) -> std::size_t
{
    const auto limit = std::min(text.size(), maxBlockBytes);
    auto hash = std::uint64_t { 0 };
    for (auto position = std::size_t { 0 }; position < limit; ++position) {
        hash = (hash << 1) + gear[static_cast<unsigned char>(text[position])];
        const auto endsHere = (hash >> (64 - boundaryBits)) == 0;
        if (endsHere && position + 1 >= minBlockBytes)
            return position + 1;
    }
    return limit;
}

} // namespace

auto blockIdOf(std::string_view bytes) -> BlockId
{
    const auto hash = XXH3_128bits(bytes.data(), bytes.size());
    return { hash.low64, hash.high64 };
}

auto splitIntoBlocks(std::string_view text) -> std::vector<std::string_view>
{
    auto blocks = std::vector<std::string_view> {};
    while (!text.empty()) {
        const auto bytes = firstBlockBytes(text);
        blocks.push_back(text.substr(0, bytes));
        text.remove_prefix(bytes);
    }
    return blocks;
}

auto manifestOf(std::string_view text) -> std::vector<BlockRef>
{
    auto manifest = std::vector<BlockRef> {};
    for (const auto block : splitIntoBlocks(text))
        manifest.push_back({ blockIdOf(block), static_cast<std::uint32_t>(block.size()) });
    return manifest;
}

} // namespace figrack::catalogue
