// What an endpoint says of itself in the head of an answer.

#ifndef FIGRACK_CATALOGUE_ENDPOINTNOTICE_H
#define FIGRACK_CATALOGUE_ENDPOINTNOTICE_H

#include <optional>

#include "core/clock.h"

namespace figrack::catalogue {

struct EndpointNotice
{
    bool notRun = false;     ///< It did not run the request, and will not.
    bool isOther = false;    ///< Another endpoint than the one meant has answered.
    bool lacksModel = false; ///< It does not hold the model or adapter that was asked for.
    /// Requests a second that it takes from all gateways together, from 0 on. Absent: any number.
    std::optional<double> ratePerSecond;
    /// A rate was named that could not be read: what was known of it stands.
    bool isRateMalformed = false;
    /// It rejected the request, and takes none from the asking gateway for so long.
    std::optional<Duration> backoff;
    bool isBackoffMalformed = false; ///< The time of a backoff could not be read.
    bool isDraining = false;         ///< It will end, and takes no new requests.
};

} // namespace figrack::catalogue

#endif // FIGRACK_CATALOGUE_ENDPOINTNOTICE_H
