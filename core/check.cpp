// The report goes straight to standard error: the logging package may itself be
// what broke.

#include "core/check.h"

#include <atomic>
#include <cstdio>
#include <cstdlib>

namespace figrack {
namespace {

std::atomic<CheckHandler> installedHandler { nullptr };

} // namespace

auto checkFailed(const char *condition, const char *promise, const char *file, int line) -> void
{
    if (const auto handler = installedHandler.load())
        handler(condition, promise);
    std::fprintf(stderr, "event=check_failed promise=\"%s\" condition=\"%s\" at=%s:%d\n", promise,
                 condition, file, line);
    std::abort();
}

auto setCheckHandler(CheckHandler handler) -> CheckHandler
{
    return installedHandler.exchange(handler);
}

} // namespace figrack
