// The services that configurations have named, so that whoever announces itself for
// another is told apart from an endpoint.
//
//   if (!services.knows(row.service, newest)) refuse(row);
//
// A service that a later configuration drops stays known: its endpoints still leave
// in order. Not thread-safe.

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
    /// @param newest the newest document that is known; an unknown name costs reading it, once for
    /// each version
    /// @return true when the service was ever named here, or no document can say
    auto knows(const ServiceId &service, const Document &newest) -> bool;

private:
    auto read(const Document &document) -> bool;

    ReadDocument readDocument_;
    std::set<ServiceId> services_;
    Revision version_; ///< That was read last.
};

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_KNOWNSERVICES_H
