// Reads a daemon's settings again when their file has changed.
//
//   const auto watch = SettingsWatch { context, clock, settings.source(), schema, onChanged };
//
// Looks at SIGHUP and every lookEvery besides, since a file may change without a
// signal. A file that cannot be used is logged, and the settings in force stay.

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
    /// @param onChanged called on the context with the new settings
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
