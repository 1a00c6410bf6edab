#include "cmd/settingswatch.h"

#include <csignal>
#include <fstream>
#include <iterator>
#include <utility>

#include <boost/asio/signal_set.hpp>

#include "cmd/daemon.h"
#include "core/boottimer.h"
#include "core/log.h"

namespace figrack::cmd {
namespace {

/// Interval at which the file is read. Each read costs a few system calls; changes without a
/// signal are rare and none is urgent.
constexpr auto pollInterval = std::chrono::seconds { 2 };

auto readContent(const std::string &path) -> std::string
{
    auto file = std::ifstream { path, std::ios::binary };
    return { std::istreambuf_iterator<char> { file }, std::istreambuf_iterator<char> {} };
}

} // namespace

class SettingsWatch::Impl : public std::enable_shared_from_this<Impl>
{
public:
    Impl(boost::asio::io_context &context, std::string path, std::vector<SettingRule> schema,
         std::function<void(const Settings &)> onChanged)
        : signals_(context, SIGHUP)
        , timer_(context)
        , path_(std::move(path))
        , schema_(std::move(schema))
        , onChanged_(std::move(onChanged))
        , content_(readContent(path_))
    {
        for (auto &rule : logRules())
            schema_.push_back(std::move(rule));
    }

    auto waitForSignal() -> void
    {
        signals_.async_wait([weak = weak_from_this()](boost::system::error_code error, int) {
            const auto self = weak.lock();
            if (!self || error)
                return;
            self->checkFile(true);
            self->waitForSignal();
        });
    }

    auto waitForTimer() -> void
    {
        timer_.expires_after(pollInterval);
        timer_.async_wait([weak = weak_from_this()](boost::system::error_code error) {
            const auto self = weak.lock();
            if (!self || error)
                return;
            self->checkFile(false);
            self->waitForTimer();
        });
    }

    auto cancel() -> void
    {
        auto ignored = boost::system::error_code {};
        signals_.cancel(ignored);
        timer_.cancel();
    }

private:
    auto checkFile(bool signalled) -> void
    {
        auto content = readContent(path_);
        const auto changed = content != content_;
        if (!changed && !signalled)
            return;
        content_ = std::move(content);
        const auto settings = Settings::parse(content_, path_, schema_);
        auto line = LogEvent { LogLevel::Info, "settings_read" };
        line.with("signal", signalled).with("changed", changed).with("used", settings.ok());
        if (settings.ok())
            onChanged_(*settings);
        else
            line.with(settings.status());
    }

    boost::asio::signal_set signals_;
    BootTimer timer_;
    std::string path_;
    std::vector<SettingRule> schema_;
    std::function<void(const Settings &)> onChanged_;
    std::string content_; ///< The file's content as last read.
};

SettingsWatch::SettingsWatch(boost::asio::io_context &context, std::string path,
                             std::vector<SettingRule> schema,
                             std::function<void(const Settings &)> onChanged)
    : impl_(std::make_shared<Impl>(context, std::move(path), std::move(schema),
                                   std::move(onChanged)))
{
    impl_->waitForSignal();
    impl_->waitForTimer();
}

SettingsWatch::~SettingsWatch()
{
    impl_->cancel();
}

} // namespace figrack::cmd
