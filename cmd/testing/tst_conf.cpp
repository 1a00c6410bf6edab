// Tests that the sample settings are valid and that those of one user are consistent.

#include <doctest/doctest.h>

#include <filesystem>
#include <map>
#include <set>
#include <string>

#include "cmd/ctloptions.h"
#include "cmd/daemon.h"
#include "control/settings.h"
#include "router/settings.h"

using namespace figrack;

namespace {

/// The sample settings of one user, by kind of program.
struct Samples
{
    std::vector<control::ProcessOptions> controls;
    std::vector<router::RouterOptions> routers;
    std::size_t others = 0;
};

auto readSample(const std::filesystem::path &path, std::vector<SettingRule> rules) -> Settings
{
    CAPTURE(path.string());
    for (auto &rule : cmd::logRules())
        rules.push_back(std::move(rule));
    auto settings = Settings::read(path.string(), rules);
    CAPTURE(settings.status().message());
    REQUIRE(settings.ok());
    return *std::move(settings);
}

auto readSamples(const std::string &user) -> Samples
{
    auto samples = Samples {};
    const auto folder = std::filesystem::path { FIGRACK_CONF_DIR } / user;
    for (const auto &entry : std::filesystem::directory_iterator { folder }) {
        const auto name = entry.path().filename().string();
        if (name.starts_with("control-")) {
            auto options = control::processOptions(readSample(entry, control::controlSchema()));
            REQUIRE(options.ok());
            samples.controls.push_back(*std::move(options));
        } else if (name.starts_with("router-")) {
            auto options = router::routerOptions(readSample(entry, router::routerSchema()));
            REQUIRE(options.ok());
            samples.routers.push_back(*std::move(options));
        } else {
            REQUIRE(name == "figrackctl.ini");
            readSample(entry, cmd::ctlRules());
            ++samples.others;
        }
    }
    return samples;
}

} // namespace

TEST_CASE("sample settings are valid and consistent")
{
    const auto vms = std::map<std::string, std::size_t> { { "granits", 6 }, { "socorro", 7 } };
    for (const auto &row : vms) {
        const auto &user = row.first;
        CAPTURE(user);
        const auto samples = readSamples(user);
        CHECK(samples.controls.size() == 3);
        CHECK(samples.routers.size() == row.second);
        CHECK(samples.others == 1);
        auto domains = std::set<DomainId> {};
        auto listening = std::map<std::string, std::string> {};
        for (const auto &control : samples.controls) {
            const auto &self = control.control.node.replica.self;
            CHECK(domains.insert(self.domain).second);
            CHECK(control.peers.size() == 2);
            CHECK(control.operatorAddresses.size() == 3);
            CHECK(control.operatorAddresses.at(self.node) == control.operatorListen);
            listening[self.node.value()] = control.listen.text();
        }
        CHECK(domains.size() == 3);
        auto names = std::set<NodeId> {};
        for (const auto &router : samples.routers) {
            CHECK(names.insert(router.self).second);
            CHECK(domains.contains(router.domain));
            REQUIRE(router.controls.size() == 3);
            CHECK(router.controls[0].name == "control-" + router.domain.value());
            for (const auto &control : router.controls)
                CHECK(listening.at(control.name) == control.address.text());
        }
    }
}
