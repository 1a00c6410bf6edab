// A SecretFile of hexadecimal lines, decoded at each use: only handshakes ask.

#include <fmt/format.h>

#include "core/error.h"
#include "core/secretfile.h"
#include "proto/channel.h"

namespace figrack::proto {
namespace {

constexpr auto minKeyBytes = std::size_t { 32 };

auto hexDigit(char c) -> int
{
    if (c >= '0' && c <= '9')
        return c - '0';
    if (c >= 'a' && c <= 'f')
        return c - 'a' + 10;
    if (c >= 'A' && c <= 'F')
        return c - 'A' + 10;
    return -1;
}

auto checkKey(std::string_view line) -> absl::Status
{
    auto valid = line.size() % 2 == 0 && line.size() >= 2 * minKeyBytes;
    for (const auto c : line)
        valid = valid && hexDigit(c) >= 0;
    if (valid)
        return absl::OkStatus();
    return makeError(ErrorKind::BadSettings,
                     fmt::format("a key has {} or more hexadecimal digits, as of: "
                                 "openssl rand -hex {}",
                                 2 * minKeyBytes, minKeyBytes));
}

auto decodeKey(std::string_view line) -> std::string
{
    auto key = std::string {};
    for (auto i = std::size_t { 0 }; i + 1 < line.size(); i += 2)
        key += static_cast<char>(hexDigit(line[i]) * 16 + hexDigit(line[i + 1]));
    return key;
}

class FilePeerKeys final : public PeerKeys
{
public:
    explicit FilePeerKeys(std::shared_ptr<SecretFile> file)
        : file_(std::move(file))
    { }

    auto current() const -> std::vector<std::string> override
    {
        auto keys = std::vector<std::string> {};
        for (const auto &line : file_->secrets())
            keys.push_back(decodeKey(line));
        return keys;
    }

private:
    std::shared_ptr<SecretFile> file_;
};

auto wrap(absl::StatusOr<std::shared_ptr<SecretFile>> file)
        -> absl::StatusOr<std::shared_ptr<PeerKeys>>
{
    if (!file.ok())
        return file.status();
    return std::make_shared<FilePeerKeys>(*std::move(file));
}

} // namespace

auto PeerKeys::fromFile(const std::string &path) -> absl::StatusOr<std::shared_ptr<PeerKeys>>
{
    return wrap(SecretFile::open(path, checkKey));
}

auto PeerKeys::fromText(std::string_view text) -> absl::StatusOr<std::shared_ptr<PeerKeys>>
{
    return wrap(SecretFile::fromText(text, checkKey));
}

} // namespace figrack::proto
