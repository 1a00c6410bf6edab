// Where a caller's stream of events stands, and which events of an endpoint may follow.
//
//   position.beginRun();                       // before each endpoint's stream
//   switch (position.onEvent(id, hasData)) ... // Send, Drop or Break
//   if (position.isResumable()) ...            // another endpoint may go on after lastId()
//
// A stream may be put together from the runs of several endpoints. IDs that are decimal numbers
// increase within a stream, so they show which events of a resumed run the caller already has and
// whether one is missing. Other IDs have no order.
//
// Guarantee: no event with a number is sent twice, and none after one with a higher number.

#ifndef FIGRACK_GATEWAY_STREAMPOSITION_H
#define FIGRACK_GATEWAY_STREAMPOSITION_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace figrack::gateway {

enum class EventVerdict : std::uint8_t {
    Send,
    Drop,  ///< The caller already has it.
    Break, ///< The event cannot follow what was sent: the run must be given up.
};

class StreamPosition
{
public:
    StreamPosition() = default;
    /// @param given ID of the last event that the caller has of an earlier answer; empty if none
    explicit StreamPosition(std::string given);
    /// @param last ID of the last event that another gateway has sent in the same answer
    static auto handedOver(std::string last) -> StreamPosition;
    /// Called after handedOver() if the numbers that the other gateway has sent were consecutive.
    auto assumeConsecutive() -> void { isConsecutive_ = true; }
    /// Called before the first event of each run.
    auto beginRun() -> void { hasPlace_ = false; }
    /// Decides on the next event of the run, and notes it if it is to be sent.
    /// @param id of the event; empty if it has none
    /// @param hasData false for a comment
    auto onEvent(const std::string &id, bool hasData) -> EventVerdict;
    /// @return ID of the last event that the caller has; empty if there is none
    auto lastId() const -> const std::string & { return lastId_; }
    /// @return true unless the numbers of the events sent so far leave out one
    auto isConsecutive() const -> bool { return isConsecutive_; }
    /// @return true if a run that begins after lastId() continues exactly what was sent
    auto isResumable() const -> bool { return !hasSent_ || (number_ && isExact_); }

private:
    auto judge(const std::string &id, std::optional<std::uint64_t> number) const -> EventVerdict;
    auto note(const std::string &id, std::optional<std::uint64_t> number) -> void;

    std::string lastId_;
    std::optional<std::uint64_t> number_; ///< Of lastId_.
    bool isConsecutive_ = true;           ///< The numbers sent so far were.
    bool hasSent_ = false;                ///< An event with an ID or data was sent.
    bool isExact_ = true;                 ///< No data was sent after lastId_.
    bool hasPlace_ = false;               ///< An event of the run was sent, which tells its place.
};

} // namespace figrack::gateway

#endif // FIGRACK_GATEWAY_STREAMPOSITION_H
