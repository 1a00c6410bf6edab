// What became of each request, kept as mergeable histograms for the burn report.
//
//   auto recorder = Recorder { clock };
//   recorder.record(RequestRecord { ... });      // exactly once a request
//   auto bytes = recorder.encode(window);        // merged with other routers' by merge()
//
// Guarantees: thread-safe; memory is bounded by classes times models seen and by
// the windows' slots, not by requests. Percentiles come from merged histograms.

#ifndef FIGRACK_REPORT_RECORDER_H
#define FIGRACK_REPORT_RECORDER_H

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include <absl/status/status.h>

#include "core/clock.h"
#include "core/error.h"
#include "core/ids.h"

namespace figrack::report {

enum class RequestEnd : std::uint8_t { Answered, Refused, Failed, Cancelled };

/// Where the time of a cold start went, ms. Zero for parts that did not happen.
struct ColdParts
{
    std::int64_t queue = 0;      ///< Arrival till the wish reached the leader.
    std::int64_t decision = 0;   ///< Till the order's intent was committed.
    std::int64_t store = 0;      ///< Waiting for the weight store.
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
    ColdParts parts;
};

class Recorder
{
public:
    explicit Recorder(const Clock &clock);
    ~Recorder();
    auto record(const RequestRecord &record) -> void;
    /// @param window how far back, up to 3 days
    /// @return bytes for merge(); bounded by what was seen
    auto encode(Duration window) const -> std::string;
    /// Saves and restores the counts across a restart of the process.
    auto saveText() const -> std::string;
    auto restoreText(std::string_view text) -> absl::Status;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace figrack::report

#endif // FIGRACK_REPORT_RECORDER_H
