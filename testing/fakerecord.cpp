#include "testing/fakerecord.h"

#include <algorithm>

#include <fcntl.h>
#include <unistd.h>

#include <fmt/format.h>

namespace figrack::testing {

FakeRecord::FakeRecord(const std::string &file)
{
    constexpr auto mode = 0644;
    if (!file.empty())
        file_ = ::open(file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, mode);
}

FakeRecord::~FakeRecord()
{
    if (file_ >= 0)
        ::close(file_);
}

auto FakeRecord::write(std::string_view event, std::initializer_list<RecordField> fields) -> void
{
    ++counts_[std::string { event }];
    if (file_ < 0)
        return;
    auto line = fmt::format("t={} e={}", clock_.now().time_since_epoch().count(), event);
    for (const auto &field : fields) {
        auto value = field.value;
        std::replace_if(
                value.begin(), value.end(), [](unsigned char c) { return c <= ' '; }, '_');
        line += fmt::format(" {}={}", field.key, value);
    }
    line += '\n';
    if (::write(file_, line.data(), line.size()) < 0)
        ++counts_["record_failed"];
}

} // namespace figrack::testing
