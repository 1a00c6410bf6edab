// Each call compares the file's stamp, one stat(). A file system's times are coarse:
// a file written twice within a tick has the same stamp, so a file younger than
// settleTime is read again each time until it is older.

#include "core/secretfile.h"

#include <fstream>

#include <fmt/format.h>
#include <sys/stat.h>

#include "core/crypto.h"
#include "core/error.h"
#include "core/log.h"

namespace figrack {
namespace {

constexpr auto maxFileBytes = std::size_t { 64 } << 10;
constexpr auto settleTime = std::time_t { 2 };

auto trimmed(std::string_view line) -> std::string_view
{
    constexpr auto blanks = std::string_view { " \t\r" };
    const auto first = line.find_first_not_of(blanks);
    if (first == std::string_view::npos)
        return {};
    return line.substr(first, line.find_last_not_of(blanks) - first + 1);
}

auto parseSecrets(std::string_view text, std::string_view file, const SecretFile::Check &check)
        -> absl::StatusOr<std::vector<std::string>>
{
    auto secrets = std::vector<std::string> {};
    for (auto number = 1; !text.empty(); ++number) {
        const auto end = text.find('\n');
        const auto line = trimmed(text.substr(0, end));
        text = end == std::string_view::npos ? std::string_view {} : text.substr(end + 1);
        if (line.empty() || line.starts_with('#'))
            continue;
        if (const auto status = check(line); !status.ok())
            return makeError(
                    ErrorKind::BadSettings,
                    fmt::format("file={} line={} {}", file, number, errorArgument(status)));
        secrets.emplace_back(line);
    }
    if (secrets.empty())
        return makeError(ErrorKind::BadSettings, fmt::format("file={} holds no secret", file));
    return secrets;
}

auto readFile(const std::string &path) -> absl::StatusOr<std::string>
{
    auto file = std::ifstream { path, std::ios::binary };
    auto text = std::string(maxFileBytes + 1, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (!file.is_open() || file.bad())
        return makeError(ErrorKind::BadSettings, fmt::format("file={} cannot be read", path));
    text.resize(static_cast<std::size_t>(file.gcount()));
    if (text.size() > maxFileBytes)
        return makeError(ErrorKind::BadSettings,
                         fmt::format("file={} is longer than {} bytes", path, maxFileBytes));
    return text;
}

} // namespace

auto SecretFile::Stamp::operator==(const Stamp &other) const -> bool
{
    return modified.tv_sec == other.modified.tv_sec && modified.tv_nsec == other.modified.tv_nsec
            && size == other.size && inode == other.inode;
}

SecretFile::SecretFile(std::string path, Check check)
    : path_(std::move(path))
    , check_(std::move(check))
{ }

auto SecretFile::open(const std::string &path, Check check)
        -> absl::StatusOr<std::shared_ptr<SecretFile>>
{
    auto file = std::shared_ptr<SecretFile> { new SecretFile { path, std::move(check) } };
    if (auto status = file->reload(); !status.ok())
        return status;
    return file;
}

auto SecretFile::fromText(std::string_view text, const Check &check)
        -> absl::StatusOr<std::shared_ptr<SecretFile>>
{
    auto secrets = parseSecrets(text, "(text)", check);
    if (!secrets.ok())
        return secrets.status();
    auto file = std::shared_ptr<SecretFile> { new SecretFile { {}, check } };
    file->secrets_ = *std::move(secrets);
    return file;
}

auto SecretFile::secrets() -> std::vector<std::string>
{
    const auto lock = std::lock_guard { mutex_ };
    reloadIfChanged();
    return secrets_;
}

auto SecretFile::matches(std::string_view candidate) -> bool
{
    // Digests have one length, so the time tells nothing of a secret's length either.
    const auto digest = sha256(candidate);
    auto found = false;
    for (const auto &secret : secrets())
        found = sameSecret(sha256(secret), digest) || found;
    return found;
}

auto SecretFile::readStamp(const std::string &path) -> Stamp
{
    struct stat status
    { };
    if (stat(path.c_str(), &status) != 0)
        return {};
    return { status.st_mtim, status.st_size, status.st_ino };
}

auto SecretFile::reload() -> absl::Status
{
    // The stamp is taken before the reading: a change in between is then seen by the next call.
    stamp_ = readStamp(path_);
    settled_ = std::time(nullptr) - stamp_.modified.tv_sec > settleTime;
    auto text = readFile(path_);
    if (!text.ok())
        return text.status();
    auto secrets = parseSecrets(*text, path_, check_);
    if (!secrets.ok())
        return secrets.status();
    secrets_ = *std::move(secrets);
    return absl::OkStatus();
}

auto SecretFile::reloadIfChanged() -> void
{
    if (path_.empty())
        return;
    const auto changed = !(readStamp(path_) == stamp_);
    if (!changed && settled_)
        return;
    const auto status = reload();
    if (!changed)
        return;
    if (status.ok())
        LogEvent(LogLevel::Info, "secrets_reloaded").with("file", std::string_view { path_ });
    else
        LogEvent(LogLevel::Error, "secrets_kept").with(status);
}

auto checkToken(std::string_view token) -> absl::Status
{
    constexpr auto minLength = std::size_t { 16 };
    constexpr auto maxLength = std::size_t { 512 };
    if (token.size() < minLength || token.size() > maxLength)
        return makeError(ErrorKind::BadSettings,
                         fmt::format("a token has {} to {} characters", minLength, maxLength));
    for (const auto c : token) {
        if (c <= ' ' || c > '~')
            return makeError(ErrorKind::BadSettings, "a token has printable characters only");
    }
    return absl::OkStatus();
}

} // namespace figrack
