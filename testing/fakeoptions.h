// What a fake endpoint is told on its command line.

#ifndef FIGRACK_TESTING_FAKEOPTIONS_H
#define FIGRACK_TESTING_FAKEOPTIONS_H

#include <cstdint>
#include <string>
#include <vector>

#include "core/settings.h"
#include "state/commands.h"

namespace figrack::testing {

using Millis = std::int64_t;

struct FakeOptions
{
    std::string id;
    state::EndpointKind kind = state::EndpointKind::Engine;
    Address listen { "127.0.0.1", 0 };
    std::string domain = "local";
    std::string service;
    std::vector<Address> routers; ///< Where it announces itself; it learns of more.
    Millis announceMs = 1000;
    std::uint32_t accelerators = 8;
    std::uint64_t memoryMb = 80000;
    bool checksFence = false;
    std::vector<state::CachedModel> cached;
    Millis loadRemoteMs = 2000;
    Millis loadDiskMs = 800;
    Millis loadMemoryMs = 200;
    Millis unloadMs = 50;
    double storeFactor = 1.0; ///< Remote loads take this many times as long.
    std::uint32_t slots = 8;  ///< Streams a replica runs at once; more wait by priority.
    Millis firstTokenMs = 20;
    Millis tokenMs = 2;
    Millis serviceMs = 20;
    Millis reportLagMs = 0;            ///< Load reports in announcements are this old.
    Millis cacheLagMs = 0;             ///< Cache events are published this late.
    std::uint32_t cacheGapPercent = 0; ///< Cache events that are lost.
    std::uint64_t seed = 1;
    std::string recordFile; ///< One line an event, written as it happens; empty: none.
};

} // namespace figrack::testing

#endif // FIGRACK_TESTING_FAKEOPTIONS_H
