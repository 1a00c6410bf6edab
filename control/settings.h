// The settings of figrack-control: the schema and the conversion to options.

#ifndef FIGRACK_CONTROL_SETTINGS_H
#define FIGRACK_CONTROL_SETTINGS_H

#include <map>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "control/control.h"
#include "core/peerbudget.h"
#include "core/settings.h"
#include "endpoint/orders.h"

namespace figrack::control {

/// All options of the process.
struct ProcessOptions
{
    ControlOptions control;
    endpoint::OrderOptions orders;
    std::vector<coord::Member> peers; ///< The other controls listed in the settings.
    std::map<NodeId, Address> operatorAddresses;
    Address listen;         ///< Address where controls and routers connect.
    Address operatorListen; ///< Address where operators connect.
    std::string dataFolder;
    std::string keyFile;
    std::string tokenFile;
    std::string certificateFile;
    std::string keyPemFile;
    std::uint32_t threads = 4;
    PeerBudgetOptions budget; ///< Of operators, and of peers that have not proved a key.
};

/// @return every key of a figrack-control settings file
auto controlSchema() -> std::vector<SettingRule>;

/// @param settings read with controlSchema()
/// @return the options, or BadSettings naming the key
auto processOptions(const Settings &settings) -> absl::StatusOr<ProcessOptions>;

} // namespace figrack::control

#endif // FIGRACK_CONTROL_SETTINGS_H
