#include "fleet/knownservices.h"

#include <utility>

#include "core/log.h"

namespace figrack::fleet {

KnownServices::KnownServices(ReadDocument readDocument)
    : readDocument_(std::move(readDocument))
{ }

auto KnownServices::knows(const ServiceId &service, const Document &newest) -> bool
{
    if (services_.contains(service) || newest.version == Revision {})
        return true;
    if (version_ == newest.version)
        return false;
    return !read(newest) || services_.contains(service);
}

/// @return false when the document cannot be parsed, so that its services are unknown
auto KnownServices::read(const Document &document) -> bool
{
    const auto catalogue = readDocument_(document.text);
    if (!catalogue.ok()) {
        LogEvent(LogLevel::Error, "document_not_read").with(catalogue.status());
        return false;
    }
    version_ = document.version;
    for (const auto &service : catalogue->services)
        services_.insert(service.id);
    return true;
}

} // namespace figrack::fleet
