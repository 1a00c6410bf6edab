// Invariant checks that stay on in release builds.
//
//   FIGRACK_CHECK(used <= total, "accelerator memory is never overcommitted");
//
// A failed check writes one event line to standard error and aborts: a process
// that has broken an invariant must not go on deciding. Never use it for bad
// input, which is an absl::Status.

#ifndef FIGRACK_CORE_CHECK_H
#define FIGRACK_CORE_CHECK_H

namespace figrack {

/// Reports a failed check and aborts. Tests may replace what happens by setCheckHandler().
[[noreturn]] auto checkFailed(const char *condition, const char *promise, const char *file,
                              int line) -> void;

/// What runs in place of the abort. It must not return normally: throw or exit.
using CheckHandler = void (*)(const char *condition, const char *promise);

/// Installs a handler for tests that prove a check bites.
/// @param handler the handler, or nullptr for the abort
/// @return the handler before
auto setCheckHandler(CheckHandler handler) -> CheckHandler;

} // namespace figrack

// NOLINTNEXTLINE(cppcoreguidelines-macro-usage): the condition's text is wanted.
#define FIGRACK_CHECK(condition, promise) \
    do { \
        if (!(condition)) [[unlikely]] \
            ::figrack::checkFailed(#condition, promise, __FILE__, __LINE__); \
    } while (false)

#endif // FIGRACK_CORE_CHECK_H
