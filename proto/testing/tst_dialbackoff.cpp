// Patience and pauses of a client that dials, without a network.

#include <doctest/doctest.h>

#include "proto/dialbackoff.h"

using namespace figrack;
using namespace figrack::proto;
using namespace std::chrono_literals;

TEST_CASE("a peer that starts half a second later is reached within a tenth of a second")
{
    // An opening packet to a VM without power is lost; the system would repeat it after 1 s.
    const auto upAt = Duration { 500ms };
    auto backoff = DialBackoff { {} };
    auto now = Duration {};
    while (now < upAt) {
        now += backoff.patience();
        backoff.onFailed();
        now += backoff.pause();
    }
    CHECK(now - upAt <= 100ms); // Before, the first try alone took a second.
}

TEST_CASE("a peer that stays away is tried ever less often, and anew once it was there")
{
    const auto options = DialBackoffOptions {};
    auto backoff = DialBackoff { options };
    CHECK(backoff.patience() == options.firstPatience);
    for (auto i = 0; i < 20; ++i)
        backoff.onFailed();
    CHECK(backoff.patience() == options.longestPatience);
    CHECK(backoff.pause() == options.longestPause);
    backoff.onOpened();
    CHECK(backoff.patience() == options.firstPatience);
    CHECK(backoff.pause() == options.firstPause);
}
