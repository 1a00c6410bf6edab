// Typed names and numbers, so that a term is never passed for an index nor a
// model's name for an endpoint's.
//
//   auto term = Term { 3 };
//   auto model = ModelId { "plaques" };
//
// Both kinds compare, hash, print by value() and serialize by cereal.

#ifndef FIGRACK_CORE_IDS_H
#define FIGRACK_CORE_IDS_H

#include <charconv>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace figrack {

/// A number that only mixes with its own kind.
template<typename Tag>
class NumberId
{
public:
    constexpr NumberId() = default;
    constexpr explicit NumberId(std::uint64_t value)
        : value_(value)
    { }
    constexpr auto value() const -> std::uint64_t { return value_; }
    /// @return the number after this one
    constexpr auto next() const -> NumberId { return NumberId { value_ + 1 }; }
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the comparison with 0 for one.
    constexpr auto operator<=>(const NumberId &) const = default;

    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(value_);
    }

private:
    std::uint64_t value_ = 0;
};

/// A name that only mixes with its own kind.
template<typename Tag>
class NameId
{
public:
    NameId() = default;
    explicit NameId(std::string value)
        : value_(std::move(value))
    { }
    auto value() const -> const std::string & { return value_; }
    auto empty() const -> bool { return value_.empty(); }
    // NOLINTNEXTLINE(modernize-use-nullptr): as above.
    auto operator<=>(const NameId &) const = default;

    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(value_);
    }

private:
    std::string value_;
};

using Term = NumberId<struct TermTag>;         ///< Leadership term; also the high part of a fence.
using LogIndex = NumberId<struct LogIndexTag>; ///< Position in the replicated log, from 1.
using Revision = NumberId<struct RevisionTag>; ///< Configuration revision; 0 is "none yet".
using Incarnation = NumberId<struct IncarnationTag>; ///< One life of a process or a disk.
using OrderId = NumberId<struct OrderIdTag>;         ///< The log index of the order's intent.
using Fence = NumberId<struct FenceTag>;             ///< Fencing number carried by every order.

using NodeId = NameId<struct NodeIdTag>;       ///< A router or control process.
using ModelId = NameId<struct ModelIdTag>;     ///< A base model or an adapter.
using ClassId = NameId<struct ClassIdTag>;     ///< An operator's class of work.
using AccountId = NameId<struct AccountIdTag>; ///< A client account.
using ServiceId = NameId<struct ServiceIdTag>; ///< A plain service.
using DomainId = NameId<struct DomainIdTag>;   ///< A failure domain.
using RegionId = NameId<struct RegionIdTag>;   ///< A group of failure domains close to one another.
using RequestId = NameId<struct RequestIdTag>;
using ChangeId = NameId<struct ChangeIdTag>; ///< An operator's own id of one change.
using IdempotencyKey = NameId<struct IdempotencyKeyTag>;

/// One incarnation of an endpoint. An endpoint that starts again under its name is another one to
/// all that keep state by this id: orders, bookings, limits and copies of the one before do not
/// carry over. The text is the name and, where the endpoint tells its incarnation, '#' and the
/// number; a name that comes from outside must not hold that character.
class EndpointId : public NameId<struct EndpointIdTag>
{
public:
    EndpointId() = default;
    /// @param value as value() gives it
    explicit EndpointId(std::string value)
        : NameId(std::move(value))
    { }
    /// @param incarnation 0: not told
    EndpointId(const std::string &name, Incarnation incarnation)
        : NameId(incarnation == Incarnation {}
                         ? name
                         : name + separator + std::to_string(incarnation.value()))
    { }

    /// @return what all incarnations share
    auto name() const -> std::string_view
    {
        return std::string_view { value() }.substr(0, value().rfind(separator));
    }
    /// @return 0 when it was not told; the higher one is the newer
    auto incarnation() const -> Incarnation
    {
        const auto end = value().rfind(separator);
        auto number = std::uint64_t { 0 };
        if (end != std::string::npos)
            std::from_chars(value().data() + end + 1, value().data() + value().size(), number);
        return Incarnation { number };
    }

    static constexpr auto separator = '#';
};

} // namespace figrack

template<typename Tag>
struct std::hash<figrack::NumberId<Tag>>
{
    auto operator()(const figrack::NumberId<Tag> &id) const noexcept -> std::size_t
    {
        return std::hash<std::uint64_t> {}(id.value());
    }
};

template<typename Tag>
struct std::hash<figrack::NameId<Tag>>
{
    auto operator()(const figrack::NameId<Tag> &id) const noexcept -> std::size_t
    {
        return std::hash<std::string> {}(id.value());
    }
};

template<>
struct std::hash<figrack::EndpointId>
{
    auto operator()(const figrack::EndpointId &id) const noexcept -> std::size_t
    {
        return std::hash<std::string> {}(id.value());
    }
};

#endif // FIGRACK_CORE_IDS_H
