// A fake endpoint's own record: the truth that a test holds figrack against.
//
//   auto record = FakeRecord { "e1.record" };
//   record.write("run", { { "id", requestId }, { "model", model } });
//
// Each event is one line "t=NANOS e=NAME key=value...", written to the file at
// once: what happened before a SIGKILL stays on record. The time is the
// machine's boot clock, so records of several processes compare. Counts are kept for GET
// /test/record.

#ifndef FIGRACK_TESTING_FAKERECORD_H
#define FIGRACK_TESTING_FAKERECORD_H

#include <cstdint>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>

#include "core/clock.h"

namespace figrack::testing {

struct RecordField
{
    std::string_view key;
    std::string value; ///< Spaces are written as '_'.
};

class FakeRecord
{
public:
    /// @param file appended to; empty for counts alone
    explicit FakeRecord(const std::string &file);
    ~FakeRecord();
    FakeRecord(const FakeRecord &) = delete;
    auto operator=(const FakeRecord &) -> FakeRecord & = delete;

    auto write(std::string_view event, std::initializer_list<RecordField> fields) -> void;
    /// @return how often each event was written
    auto counts() const -> const std::map<std::string, std::uint64_t, std::less<>> &
    {
        return counts_;
    }

private:
    SystemClock clock_;
    int file_ = -1;
    std::map<std::string, std::uint64_t, std::less<>> counts_;
};

} // namespace figrack::testing

#endif // FIGRACK_TESTING_FAKERECORD_H
