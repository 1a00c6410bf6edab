// What became of each request, kept as mergeable histograms for the burn report.
//
//   auto recorder = Recorder { clock };
//   recorder.record(RequestRecord { ... });      // exactly once a request
//   auto bytes = recorder.encode(window);        // merged with other routers' by Collector
//
// Guarantees: thread-safe; memory is bounded by classes times models seen and by
// the windows' slots, not by requests. Percentiles come from merged histograms.
// A router has no disk, so a recorder lives as long as its process: what survives
// is what a Collector absorbed, and a router that dies loses what it counted since.

#ifndef FIGRACK_REPORT_RECORDER_H
#define FIGRACK_REPORT_RECORDER_H

#include <cstdint>
#include <memory>
#include <string>

#include "core/clock.h"
#include "core/error.h"
#include "core/ids.h"

namespace figrack::report {

enum class RequestEnd : std::uint8_t { Answered, Refused, Failed, Cancelled };

/// Where the time of a cold start went, ms. Zero for parts that did not happen.
struct ColdParts
{
    std::int64_t queue = 0;      ///< Waiting for a slot, once the replica was ready.
    std::int64_t decision = 0;   ///< Arrival till the order to load was decided.
    std::int64_t store = 0;      ///< Waiting for the weight store, where load does not hold it.
    std::int64_t load = 0;       ///< Till the replica was ready.
    std::int64_t firstToken = 0; ///< Till the first token.
};

struct RequestRecord
{
    ClassId classId;
    std::string target; ///< The model's or service's id.
    RequestEnd end = RequestEnd::Answered;
    ErrorKind refusal = ErrorKind::Ok; ///< Why it was refused or failed.
    std::int64_t startMs = 0;          ///< Arrival to first token.
    std::int64_t finishMs = 0;         ///< Arrival to last token.
    bool metStart = false;
    bool metFinish = false;
    bool cold = false; ///< No replica was ready when it arrived.
    ColdParts parts {};
};

class Recorder
{
public:
    explicit Recorder(const Clock &clock);
    ~Recorder();
    Recorder(const Recorder &) = delete;
    auto operator=(const Recorder &) -> Recorder & = delete;
    /// Counts one request; call it exactly once for each.
    auto record(const RequestRecord &record) -> void;
    /// @param window how far back, up to 3 days
    /// @return bytes for Collector::absorb(): every slot of time that reaches into the window,
    ///         whole, so that absorbing it twice counts nothing twice
    auto encode(Duration window) const -> std::string;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace figrack::report

#endif // FIGRACK_REPORT_RECORDER_H
