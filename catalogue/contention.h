// Tells from a configuration whether its classes of requests compete for the same engines in a way
// that calls for an order among them.
//
//   if (asksForOrderedAdmission(catalogue)) ...   // requests queue for places (fleet/placequeue.h)
//   if (isDeferrable(route, engine)) ...          // its loads may be put off for more urgent ones
//
// Pure functions over the configuration. A configuration that does not ask for either is served
// without these mechanisms.

#ifndef FIGRACK_CATALOGUE_CONTENTION_H
#define FIGRACK_CATALOGUE_CONTENTION_H

#include "catalogue/catalogue.h"

namespace figrack::catalogue {

/// Ranks on one engine service from which on the order of waiting requests matters: with two,
/// the urgent requests' larger share of an endpoint's places is enough.
constexpr auto ranksThatCompete = std::size_t { 3 };
/// Time that a route's requests must be able to wait for a place, besides startReserve. Engines
/// run a request for about a second, so several places become free in it.
constexpr auto usefulWait = std::chrono::milliseconds { 2000 };
/// Time to read the prompt of a request, once it has a place.
constexpr auto startReserve = std::chrono::milliseconds { 500 };
/// Time between the demand for a model and the end of its load, besides the load itself: the report
/// to the leader, the order, the unload of another model and the announcement.
constexpr auto loadOverhead = std::chrono::milliseconds { 700 };

/// @return true when the routes of an engine service have at least ranksThatCompete ranks, and
/// requests of one of them may wait for usefulWait and still start on time
auto asksForOrderedAdmission(const Catalogue &catalogue) -> bool;

/// @return true when a request of the route starts on time even if another load comes before the
/// load of its own model, both from an endpoint's own copies
auto isDeferrable(const Route &route, const EngineSpec &engine) -> bool;

/// @return true when the service has engines and a deferrable route, so that its loads are ordered
/// by the latest start of their requests
auto hasDeferrableRoute(const Catalogue &catalogue, const Service &service) -> bool;

} // namespace figrack::catalogue

#endif // FIGRACK_CATALOGUE_CONTENTION_H
