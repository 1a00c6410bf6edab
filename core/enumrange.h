// How many enumerators an enum class has, so that a decoded number can be checked.
//
//   if (number >= enumCount<OrderAction>()) return malformed;
//
// Works for an enum class whose enumerators run from 0 without gaps, as all of
// figrack's do. Nothing has to be declared beside the enum, so no check can be
// forgotten when an enumerator is added. The compiler's own text for a template
// argument tells a named value ("Color::Red") from an unnamed one ("(Color)7").

#ifndef FIGRACK_CORE_ENUMRANGE_H
#define FIGRACK_CORE_ENUMRANGE_H

#include <cstddef>
#include <string_view>
#include <type_traits>

namespace figrack {
namespace detail {

template<auto value>
constexpr auto isNamedEnumerator() -> bool
{
    const auto text = std::string_view { __PRETTY_FUNCTION__ };
    // "(Color)7" has a digit or a sign after its last parenthesis; a name never does.
    const auto valueText = text.substr(0, text.rfind(']'));
    const auto parenthesis = valueText.rfind(')');
    if (parenthesis == std::string_view::npos || parenthesis + 1 >= valueText.size())
        return true;
    const auto next = valueText[parenthesis + 1];
    return next != '-' && (next < '0' || next > '9');
}

template<typename Enum, std::size_t index>
constexpr auto countEnumerators() -> std::size_t
{
    constexpr auto limit = std::size_t { 128 };
    if constexpr (index >= limit || !isNamedEnumerator<static_cast<Enum>(index)>())
        return index;
    else
        return countEnumerators<Enum, index + 1>();
}

} // namespace detail

/// @return the number of enumerators of an enum class that counts from 0 without gaps
template<typename Enum>
constexpr auto enumCount() -> std::size_t
{
    static_assert(std::is_enum_v<Enum>);
    constexpr auto count = detail::countEnumerators<Enum, 0>();
    static_assert(count > 0, "the enumerators must count from 0");
    return count;
}

} // namespace figrack

#endif // FIGRACK_CORE_ENUMRANGE_H
