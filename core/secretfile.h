// Secrets in a file, one a line, taken up again when the file changes.
//
//   auto tokens = SecretFile::open("/etc/figrack/tokens", checkToken);
//   if (!(*tokens)->matches(given)) ...            // constant time
//
// Blank lines and lines that start with '#' are left out. A secret is rotated
// without a restart: add the new line, let its users change, remove the old.
//
// Guarantees: safe from any thread. A changed file is seen by the next call. A
// file that has become unreadable or bad is logged and the secrets before it
// stay in force. Secrets are never logged nor put into errors.

#ifndef FIGRACK_CORE_SECRETFILE_H
#define FIGRACK_CORE_SECRETFILE_H

#include <ctime>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

namespace figrack {

class SecretFile
{
public:
    /// Says whether a line is a usable secret. Its error must not repeat the secret.
    using Check = std::function<absl::Status(std::string_view)>;

    /// @param path the file
    /// @param check applied to every line
    /// @return the secrets, or BadSettings naming the file and the line
    static auto open(const std::string &path, Check check)
            -> absl::StatusOr<std::shared_ptr<SecretFile>>;
    /// As open(), from text that never changes.
    static auto fromText(std::string_view text, const Check &check)
            -> absl::StatusOr<std::shared_ptr<SecretFile>>;

    /// @return the secrets in force, in the order of the file; never empty
    auto secrets() -> std::vector<std::string>;
    /// @return true when the candidate is one of the secrets; constant time in their content
    auto matches(std::string_view candidate) -> bool;

private:
    /// What tells one state of the file from another.
    struct Stamp
    {
        timespec modified {};
        std::int64_t size = 0;
        std::uint64_t inode = 0;
        auto operator==(const Stamp &other) const -> bool;
    };
    SecretFile(std::string path, Check check);
    static auto readStamp(const std::string &path) -> Stamp;
    auto reload() -> absl::Status;
    auto reloadIfChanged() -> void;

    const std::string path_; ///< Empty: from text.
    const Check check_;
    std::mutex mutex_; ///< Guards what follows. A leaf: no other lock is taken under it.
    Stamp stamp_;
    bool settled_ = true; ///< False: the file may change again within its stamp's resolution.
    std::vector<std::string> secrets_;
};

/// The check of operator tokens: 16 to 512 printable characters without blanks.
auto checkToken(std::string_view token) -> absl::Status;

} // namespace figrack

#endif // FIGRACK_CORE_SECRETFILE_H
