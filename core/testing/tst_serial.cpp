// Round trips, the exact bytes, and every way in which bytes can lie.

#include <doctest/doctest.h>

#include "core/ids.h"
#include "core/random.h"
#include "core/serial.h"

using namespace figrack;

namespace {

enum class Color : std::uint8_t { Red, Green, Blue };

struct Point
{
    std::int32_t x = 0;
    std::string name;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(x, name);
    }
    auto operator==(const Point &) const -> bool = default;
};

struct Everything
{
    bool flag = false;
    Color color = Color::Red;
    double real = 0;
    std::vector<std::uint16_t> numbers;
    std::vector<Point> points;
    std::map<std::string, std::vector<Point>> byName;
    std::pair<Term, ModelId> pair;
    std::optional<Point> optional;
    std::variant<Point, Color, std::string> choice;
    std::set<ModelId> names;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(flag, color, real, numbers, points, byName, pair, optional, choice, names);
    }
    auto operator==(const Everything &) const -> bool = default;
};

/// One byte on the wire, much in memory, and never a second one.
struct Wide
{
    std::uint8_t first = 0;
    std::array<char, 4096> padding {};
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(first);
        if (first != 0)
            throw cereal::Exception("stop");
    }
};

auto sample() -> Everything
{
    return { .flag = true,
             .color = Color::Blue,
             .real = -2.5,
             .numbers = { 1, 65535 },
             .points = { { -1, "a" }, { 7, "" } },
             .byName = { { "k", { { 3, "c" } } }, { "", {} } },
             .pair = { Term { 9 }, ModelId { "m" } },
             .optional = Point { 5, "o" },
             .choice = std::string { "text" },
             .names = { ModelId { "x" }, ModelId { "y" } } };
}

template<typename T>
auto kindOf(const std::string &bytes) -> ErrorKind
{
    auto value = T {};
    return errorKind(deserialize(bytes, value));
}

} // namespace

TEST_CASE("a value comes back as it was")
{
    auto back = Everything {};
    REQUIRE(deserialize(serialize(sample()), back).ok());
    CHECK(back == sample());
    CHECK(serialize(back) == serialize(sample()));
}

TEST_CASE("the encoding is little-endian with 64-bit lengths")
{
    CHECK(serialize(std::uint32_t { 0x01020304 }) == std::string("\x04\x03\x02\x01", 4));
    CHECK(serialize(std::string { "ab" }) == std::string("\x02\0\0\0\0\0\0\0ab", 10));
    CHECK(serialize(Color::Blue) == std::string("\x02", 1));
    CHECK(serialize(Term { 1 }) == std::string("\x01\0\0\0\0\0\0\0", 8));
}

TEST_CASE("every shorter input and any extra byte is malformed")
{
    const auto bytes = serialize(sample());
    for (auto size = std::size_t { 0 }; size < bytes.size(); ++size)
        CHECK(kindOf<Everything>(bytes.substr(0, size)) == ErrorKind::Malformed);
    CHECK(kindOf<Everything>(bytes + '\0') == ErrorKind::Malformed);
}

TEST_CASE("numbers outside their range are malformed")
{
    CHECK(enumCount<Color>() == 3);
    CHECK(enumCount<ErrorKind>() == errorKindCount);
    CHECK(kindOf<Color>("\x02") == ErrorKind::Ok);
    CHECK(kindOf<Color>("\x03") == ErrorKind::Malformed);
    CHECK(kindOf<Color>("\xff") == ErrorKind::Malformed);
    CHECK(kindOf<bool>("\x02") == ErrorKind::Malformed);
    using Choice = std::variant<bool, Color>;
    CHECK(kindOf<Choice>(std::string("\x01\0\0\0\x02", 5)) == ErrorKind::Ok);
    CHECK(kindOf<Choice>(std::string("\x02\0\0\0\x02", 5)) == ErrorKind::Malformed);
    CHECK(kindOf<Choice>(std::string("\xff\xff\xff\xff\x00", 5)) == ErrorKind::Malformed);
}

TEST_CASE("a hostile length is refused before memory is asked for")
{
    // 2^61 elements, and a length that would overflow when multiplied by the element's size.
    for (const auto length : { std::uint64_t { 1 } << 61, UINT64_MAX, std::uint64_t { 9 } }) {
        const auto bytes = serialize(length) + "12345678";
        CHECK(kindOf<std::string>(bytes) == ErrorKind::Malformed);
        CHECK(kindOf<std::vector<std::uint64_t>>(bytes) == ErrorKind::Malformed);
        CHECK(kindOf<std::vector<Point>>(bytes) == ErrorKind::Malformed);
        CHECK(kindOf<std::map<std::string, Point>>(bytes) == ErrorKind::Malformed);
        CHECK(kindOf<std::set<std::string>>(bytes) == ErrorKind::Malformed);
    }
}

TEST_CASE("a vector grows with what is read and not with what is announced")
{
    // A million elements announced; the first one ends the reading.
    auto bytes = serialize(std::uint64_t { 1 } << 20) + std::string(std::size_t { 1 } << 20, '\1');
    auto value = std::vector<Wide> {};
    CHECK_FALSE(deserialize(bytes, value).ok());
    CHECK(value.capacity() * sizeof(Wide) <= bytes.size());
}

TEST_CASE("random and altered bytes never throw")
{
    auto random = Random { 20 };
    const auto valid = serialize(sample());
    auto accepted = 0;
    for (auto i = 0; i < 100'000; ++i) {
        auto bytes = valid;
        for (auto n = random.below(4) + 1; n > 0; --n)
            bytes[random.below(bytes.size())] = static_cast<char>(random.below(256));
        auto value = Everything {};
        const auto kind = errorKind(deserialize(bytes, value));
        REQUIRE((kind == ErrorKind::Ok || kind == ErrorKind::Malformed));
        accepted += kind == ErrorKind::Ok ? 1 : 0;
    }
    CHECK(accepted > 0);
    CHECK(accepted < 100'000);
}
