// Records the outcome of each request in counters and mergeable histograms for the error
// budget report.
//
//   auto recorder = Recorder { clock };
//   recorder.record(RequestRecord { ... });      // exactly once per request
//   auto bytes = recorder.encode(window);        // merged with other routers' by Collector
//
// Thread-safe. Memory is bounded by the number of classes times models and by the number of
// time slots, and does not depend on the number of requests. Percentiles are computed from
// merged histograms. A router has no persistent storage, so a recorder's counts exist only
// as long as its process, apart from those that a Collector has received. If a router fails,
// the counts since its last response to a collector are lost.

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

/// Durations of the phases of a cold start, ms. Phases that did not occur are zero.
struct ColdParts
{
    /// Waiting for a request slot after the replica was ready; the whole wait until dispatch if the
    /// time of the load order is unknown.
    std::int64_t queue = 0;
    std::int64_t decision = 0;   ///< From arrival until the decision to load the model.
    std::int64_t store = 0;      ///< Waiting for the weight store, unless included in load.
    std::int64_t load = 0;       ///< From that decision until the replica was ready.
    std::int64_t firstToken = 0; ///< From dispatch until the first token.
};

struct RequestRecord
{
    ClassId classId;
    std::string target; ///< Id of the model or service.
    RequestEnd end = RequestEnd::Answered;
    ErrorKind refusal = ErrorKind::Ok; ///< Reason for a refusal or failure.
    std::int64_t startMs = 0;          ///< From arrival to the first token.
    std::int64_t finishMs = 0;         ///< From arrival to the last token.
    bool metStart = false;
    bool metFinish = false;
    bool cold = false; ///< True if no replica was ready when the request arrived.
    ColdParts parts {};
};

class Recorder
{
public:
    explicit Recorder(const Clock &clock);
    ~Recorder();
    Recorder(const Recorder &) = delete;
    auto operator=(const Recorder &) -> Recorder & = delete;
    /// Counts one request. Must be called exactly once for each request.
    auto record(const RequestRecord &record) -> void;
    /// @param window how far back the counts go, up to 3 days
    /// @return bytes for Collector::absorb(). They contain every time slot that overlaps the
    ///         window as a whole, so that absorbing a slot twice counts no request twice. The
    ///         oldest slots are left out if the result would exceed maxEncodedBytes.
    auto encode(Duration window) const -> std::string;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace figrack::report

#endif // FIGRACK_REPORT_RECORDER_H
