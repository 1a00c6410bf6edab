// Reloads a daemon's settings when the settings file changes.
//
//   const auto watch = SettingsWatch { context, settings.source(), schema, onChanged };
//
// The file is read on SIGHUP and also periodically, since it may change without a
// signal. SIGHUP reloads the settings even if the file is unchanged. If the file
// is invalid, the error is logged and the current settings remain in force.

#ifndef FIGRACK_CMD_SETTINGSWATCH_H
#define FIGRACK_CMD_SETTINGSWATCH_H

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "core/settings.h"

namespace figrack::cmd {

class SettingsWatch
{
public:
    /// @param path the settings file
    /// @param schema the daemon's rules; the rules of section [log] are added
    /// @param onChanged called on a thread of the context with the settings read
    SettingsWatch(boost::asio::io_context &context, std::string path,
                  std::vector<SettingRule> schema, std::function<void(const Settings &)> onChanged);
    ~SettingsWatch();
    SettingsWatch(const SettingsWatch &) = delete;
    auto operator=(const SettingsWatch &) -> SettingsWatch & = delete;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace figrack::cmd

#endif // FIGRACK_CMD_SETTINGSWATCH_H
