// A configuration document as blocks that are named by their content.
//
//   for (const auto &block : splitIntoBlocks(text)) ...
//   const auto manifest = manifestOf(text);      // the names and sizes, in order
//   if (blockIdOf(bytes) == manifest[3].id) ...  // those bytes are the fourth block
//
// Who holds one version of a document and learns the manifest of the next needs
// only the blocks that differ: of a document of 300 KB whose routes change one at
// a time, two or three of some 150, about 6 KB with the manifest. A block may come
// from any process that holds it, and one that came is kept whichever version it
// was asked for.
//
// Guarantees: the blocks of a text, joined, are the text. Where a block ends
// depends on the 64 bytes before its end alone, so an insertion changes the blocks
// around it and no others. Pure.

#ifndef FIGRACK_CATALOGUE_DOCUMENTBLOCKS_H
#define FIGRACK_CATALOGUE_DOCUMENTBLOCKS_H

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace figrack::catalogue {

/// Bytes of a block but for the last one, which may be shorter. A manifest names a block in 20
/// bytes, so that larger blocks make it smaller and each change larger.
constexpr auto minBlockBytes = std::size_t { 512 };
constexpr auto meanBlockBytes = std::size_t { 2048 };
constexpr auto maxBlockBytes = std::size_t { 8192 };

/// A hash of the block's bytes. Blocks come from authenticated peers: it guards against chance.
struct BlockId
{
    std::uint64_t low = 0;
    std::uint64_t high = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the comparison with 0 for one.
    auto operator<=>(const BlockId &) const = default;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(low, high);
    }
};

/// One block of a manifest.
struct BlockRef
{
    BlockId id;
    std::uint32_t bytes = 0;
    auto operator==(const BlockRef &) const -> bool = default;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(id, bytes);
    }
};

auto blockIdOf(std::string_view bytes) -> BlockId;
/// @return parts of the text, in order; none of an empty one
auto splitIntoBlocks(std::string_view text) -> std::vector<std::string_view>;
/// @return names and sizes of the text's blocks, in order
auto manifestOf(std::string_view text) -> std::vector<BlockRef>;

} // namespace figrack::catalogue

#endif // FIGRACK_CATALOGUE_DOCUMENTBLOCKS_H
