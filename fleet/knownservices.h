// The services that configurations have named. Announcements for any other service
// do not come from endpoints.
//
//   if (!services.knows(row.service, newest)) refuse(row);
//
// A service that a later configuration removes stays known, so that its endpoints
// can still leave normally. Not thread-safe.

#ifndef FIGRACK_FLEET_KNOWNSERVICES_H
#define FIGRACK_FLEET_KNOWNSERVICES_H

#include <functional>
#include <set>
#include <string_view>

#include <absl/status/statusor.h>

#include "catalogue/catalogue.h"
#include "fleet/configlog.h"

namespace figrack::fleet {

class KnownServices
{
public:
    using ReadDocument = std::function<absl::StatusOr<catalogue::Catalogue>(std::string_view)>;
    explicit KnownServices(ReadDocument readDocument);
    /// @param newest the newest known document. An unknown service name costs parsing it, once per
    /// version
    /// @return true when any document named the service, or no document could be read
    auto knows(const ServiceId &service, const Document &newest) -> bool;

private:
    auto read(const Document &document) -> bool;

    ReadDocument readDocument_;
    std::set<ServiceId> services_;
    Revision version_; ///< Of the document that was read last.
};

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_KNOWNSERVICES_H
