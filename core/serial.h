// Values to bytes and back, by cereal, safe for bytes from anywhere.
//
//   auto bytes = serialize(command);
//   auto status = deserialize(bytes, command);    // Malformed, never an exception
//
// The encoding: numbers are little-endian of their own size, lengths are 64
// bits, an enum class is its underlying number, a variant is its 32-bit index
// and its value. Equal values give equal bytes on every machine.
//
// Guarantees of deserialize(): it never reads past the end and never throws.
// Every length is checked against the bytes left before memory is asked for,
// and vectors grow as their elements are read, so memory stays a small multiple
// of the input's size. A flag other than 0 or 1, an enumerator or a variant
// alternative out of range, and bytes left over are Malformed.
//
// Include it from .cpp files only: cereal is slow to compile.

#ifndef FIGRACK_CORE_SERIAL_H
#define FIGRACK_CORE_SERIAL_H

#include <algorithm>
#include <array>
#include <bit>
#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

#include <absl/status/status.h>
#include <cereal/cereal.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/tuple.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>

#include "core/enumrange.h"
#include "core/error.h"

namespace figrack {
namespace detail {

/// The wrappers by which cereal hands a value on, which binary formats see through.
template<typename T>
struct Unwrapped : std::false_type
{ };
template<typename T>
struct Unwrapped<cereal::NameValuePair<T>> : std::true_type
{ };

template<typename T>
struct IsSizeTag : std::false_type
{ };
template<typename T>
struct IsSizeTag<cereal::SizeTag<T>> : std::true_type
{ };

template<typename T>
struct IsVector : std::false_type
{ };
template<typename T, typename Allocator>
struct IsVector<std::vector<T, Allocator>> : std::true_type
{ };

/// Bytes of a number in the order they are sent, or the other way round.
template<typename T>
auto littleEndian(T value) -> std::array<char, sizeof(T)>
{
    static_assert(sizeof(T) <= 8, "no fixed size on every machine");
    auto bytes = std::bit_cast<std::array<char, sizeof(T)>>(value);
    if constexpr (std::endian::native == std::endian::big)
        std::reverse(bytes.begin(), bytes.end());
    return bytes;
}

} // namespace detail

/// A cereal archive that appends to a string. Use serialize().
class ByteOutput : public cereal::OutputArchive<ByteOutput, cereal::AllowEmptyClassElision>
{
public:
    ByteOutput()
        : OutputArchive(this)
    { }

    template<typename... Types>
    auto operator()(Types &&...values) -> ByteOutput &
    {
        (write(values), ...);
        return *this;
    }

    auto take() -> std::string { return std::move(bytes_); }

private:
    template<typename T>
    auto write(const T &value) -> void
    {
        if constexpr (std::is_arithmetic_v<T>)
            writeNumber(value);
        else if constexpr (std::is_enum_v<T>)
            writeNumber(static_cast<std::underlying_type_t<T>>(value));
        else if constexpr (detail::Unwrapped<T>::value)
            (*this)(value.value);
        else if constexpr (detail::IsSizeTag<T>::value)
            writeNumber(static_cast<std::uint64_t>(value.size));
        else if constexpr (std::is_same_v<T, std::string>)
            writeText(value);
        else if constexpr (detail::IsVector<T>::value)
            writeVector(value);
        else
            OutputArchive::operator()(value);
    }

    template<typename T>
    auto writeNumber(T value) -> void
    {
        const auto bytes = detail::littleEndian(value);
        bytes_.append(bytes.data(), bytes.size());
    }

    auto writeText(const std::string &text) -> void
    {
        writeNumber(static_cast<std::uint64_t>(text.size()));
        bytes_ += text;
    }

    template<typename T>
    auto writeVector(const T &elements) -> void
    {
        writeNumber(static_cast<std::uint64_t>(elements.size()));
        for (const auto &element : elements)
            write(element);
    }

    std::string bytes_;
};

/// A cereal archive that reads a view and checks before it believes. Use deserialize().
class ByteInput : public cereal::InputArchive<ByteInput, cereal::AllowEmptyClassElision>
{
public:
    explicit ByteInput(std::string_view bytes)
        : InputArchive(this)
        , left_(bytes)
    { }

    template<typename... Types>
    auto operator()(Types &&...values) -> ByteInput &
    {
        (read(values), ...);
        return *this;
    }

    /// @return bytes not yet read
    auto left() const -> std::size_t { return left_.size(); }

private:
    template<typename T>
    auto read(T &value) -> void
    {
        if constexpr (std::is_arithmetic_v<T>)
            readNumber(value);
        else if constexpr (std::is_enum_v<T>)
            readEnumerator(value);
        else if constexpr (detail::Unwrapped<T>::value)
            (*this)(value.value);
        else if constexpr (detail::IsSizeTag<T>::value)
            value.size = readLength(1);
        else if constexpr (std::is_same_v<T, std::string>)
            value = readBytes(readLength(1));
        else if constexpr (detail::IsVector<T>::value)
            readVector(value);
        else
            InputArchive::operator()(value);
    }

    auto readBytes(std::size_t size) -> std::string_view
    {
        if (size > left_.size())
            throw cereal::Exception("more is announced than is there");
        const auto bytes = left_.substr(0, size);
        left_.remove_prefix(size);
        return bytes;
    }

    template<typename T>
    auto readNumber(T &value) -> void
    {
        auto bytes = std::array<char, sizeof(T)> {};
        std::memcpy(bytes.data(), readBytes(sizeof(T)).data(), sizeof(T));
        if constexpr (std::endian::native == std::endian::big)
            std::reverse(bytes.begin(), bytes.end());
        if constexpr (std::is_same_v<T, bool>) {
            if (bytes[0] != 0 && bytes[0] != 1)
                throw cereal::Exception("a flag is neither 0 nor 1");
        }
        value = std::bit_cast<T>(bytes);
    }

    template<typename T>
    auto readEnumerator(T &value) -> void
    {
        auto number = std::underlying_type_t<T> {};
        readNumber(number);
        if (static_cast<std::uint64_t>(number) >= enumCount<T>())
            throw cereal::Exception("an enumerator is out of range");
        value = static_cast<T>(number);
    }

    /// @param elementSize least bytes that an element takes
    auto readLength(std::size_t elementSize) -> std::size_t
    {
        auto length = std::uint64_t { 0 };
        readNumber(length);
        if (length > left_.size() / elementSize)
            throw cereal::Exception("more is announced than is there");
        return static_cast<std::size_t>(length);
    }

    template<typename T>
    auto readVector(T &elements) -> void
    {
        using Element = typename T::value_type;
        constexpr auto least = std::is_arithmetic_v<Element> ? sizeof(Element) : 1;
        const auto length = readLength(least);
        elements.clear();
        elements.reserve(std::min(length, left_.size() / sizeof(Element)));
        for (auto i = std::size_t { 0 }; i < length; ++i) {
            auto element = Element {};
            read(element);
            elements.push_back(std::move(element));
        }
    }

    std::string_view left_;
};

/// @param value anything with a cereal serialize()
/// @return its bytes; the same for equal values
template<typename T>
auto serialize(const T &value) -> std::string
{
    auto output = ByteOutput {};
    output(value);
    return output.take();
}

/// @param bytes exactly what serialize() gave; may come from anywhere
/// @param value replaced; half replaced when the bytes are malformed
/// @return Malformed when the bytes are not one whole value
template<typename T>
auto deserialize(std::string_view bytes, T &value) -> absl::Status
{
    auto input = ByteInput { bytes };
    try {
        input(value);
    } catch (const std::exception &exception) {
        return makeError(ErrorKind::Malformed, exception.what());
    }
    if (input.left() != 0)
        return makeError(ErrorKind::Malformed, "bytes are left over");
    return absl::OkStatus();
}

} // namespace figrack

#endif // FIGRACK_CORE_SERIAL_H
