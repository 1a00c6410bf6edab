// The tokens that a fake engine gives, as a pure function, so that whoever knows
// the request can check an answer for wholeness and order without the engine.

#ifndef FIGRACK_TESTING_TOKENS_H
#define FIGRACK_TESTING_TOKENS_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace figrack::testing {

constexpr auto tokenBytes = std::size_t { 9 };

/// @param index from 0
/// @return the token, tokenBytes long: eight hexadecimal digits and a space
auto tokenText(std::string_view model, std::string_view prompt, std::uint64_t index) -> std::string;

/// @return the first count tokens together
auto answerText(std::string_view model, std::string_view prompt, std::uint64_t count)
        -> std::string;

/// The prefix-cache blocks of a prompt, chained as figrack chains them: a hash for each 64 bytes.
auto promptBlocks(std::string_view model, std::string_view prompt) -> std::vector<std::uint64_t>;

/// What a fake plain service answers to a body.
auto serviceAnswer(std::string_view service, std::string_view body) -> std::string;

} // namespace figrack::testing

#endif // FIGRACK_TESTING_TOKENS_H
