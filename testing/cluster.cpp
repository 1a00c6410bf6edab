#include "testing/cluster.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <random>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace figrack::testing {
namespace {

constexpr auto firstPort = std::uint16_t { 20000 };
constexpr auto portCount = std::uint16_t { 12000 };
constexpr auto endLimit = std::chrono::seconds { 15 };

auto now() -> Instant
{
    return SystemClock {}.now();
}

auto writeFile(const std::string &path, const std::string &text, bool isSecret = false) -> void
{
    std::ofstream { path } << text;
    using std::filesystem::perms;
    if (isSecret)
        std::filesystem::permissions(path, perms::owner_read | perms::owner_write);
}

auto randomHex(std::size_t bytes) -> std::string
{
    auto device = std::random_device {};
    auto text = std::string {};
    for (auto i = std::size_t { 0 }; i < bytes; ++i)
        text += fmt::format("{:02x}", device() & 0xffU);
    return text;
}

auto isFree(std::uint16_t port) -> bool
{
    const auto handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = sockaddr_in {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const auto bound
            = ::bind(handle, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
    ::close(handle);
    return bound;
}

} // namespace

auto Node::start() -> bool
{
    if (!disturbed_.empty() && disturbed_.back().to == Instant::max())
        disturbed_.back().to = now();
    auto ignored = std::error_code {};
    const auto size = std::filesystem::file_size(logFile(), ignored);
    logSizeAtStart_ = ignored ? 0 : size;
    child_ = ChildProcess::start(command_, logFile());
    return child_ != nullptr;
}

auto Node::hasBegun() const -> bool
{
    auto log = std::ifstream { logFile() };
    log.seekg(static_cast<std::streamoff>(logSizeAtStart_));
    auto line = std::string {};
    while (std::getline(log, line)) {
        if (line.find("event=router_started") != std::string::npos
            || line.find("event=control_started") != std::string::npos)
            return true;
    }
    return false;
}

auto Node::kill() -> void
{
    noteDeath();
    if (child_ != nullptr)
        child_->kill();
}

auto Node::noteDeath() -> void
{
    if (disturbed_.empty() || disturbed_.back().to != Instant::max())
        disturbed_.push_back({ now() });
}

auto Node::pause() -> void
{
    noteDeath();
    child_->signal(SIGSTOP);
}

auto Node::resume() -> void
{
    child_->signal(SIGCONT);
    // What it did not do in time while it was stopped still comes to light a little later.
    if (!disturbed_.empty())
        disturbed_.back().to = now() + std::chrono::seconds { 5 };
}

auto Node::stopPlanned(Duration limit) -> std::optional<int>
{
    if (child_ == nullptr)
        return std::nullopt;
    child_->signal(SIGTERM);
    child_->waitFor(limit);
    return child_->exitStatus();
}

auto Node::wasDisturbed(Instant from, Instant to) const -> bool
{
    for (const auto &span : disturbed_) {
        if (span.from <= to && from <= span.to)
            return true;
    }
    return false;
}

Cluster::Cluster(ClusterOptions options)
    : options_(std::move(options))
    , random_(options_.seed)
    , token_(randomHex(16))
    , nextPort_(static_cast<std::uint16_t>(firstPort + (std::random_device {}() % portCount)))
{
    std::filesystem::create_directories(options_.folder);
    constexpr auto keyBytes = std::size_t { 32 };
    writeFile(options_.folder + "/peer.keys", randomHex(keyBytes) + "\n", true);
    writeFile(options_.folder + "/operator.tokens", token_ + "\n", true);
    makeControls();
    makeRouters();
    auto index = std::size_t { 0 };
    for (const auto &[pool, count] : options_.enginePools) {
        for (auto i = std::size_t { 0 }; i < count; ++i)
            makeEndpoint(engines_, pool, "engine", index++);
    }
    for (const auto &service : options_.services)
        makeEndpoint(services_, service, "service", index++);
}

auto Cluster::freeAddress() -> Address
{
    do {
        ++nextPort_;
        if (nextPort_ >= firstPort + portCount)
            nextPort_ = firstPort;
    } while (!isFree(nextPort_));
    return { "127.0.0.1", nextPort_ };
}

auto Cluster::domainOf(std::size_t index) const -> const std::string &
{
    return options_.domains[index % options_.domains.size()];
}

auto Cluster::makeNode(Nodes &nodes, const std::string &name, std::size_t index) -> Node &
{
    const auto folder = options_.folder + "/" + name;
    std::filesystem::create_directories(folder);
    nodes.push_back(std::make_unique<Node>(name, domainOf(index), freeAddress(), folder));
    return *nodes.back();
}

auto Cluster::makeControls() -> void
{
    for (auto i = std::size_t { 0 }; i < options_.controls; ++i) {
        peerAddresses_.push_back(freeAddress());
        auto &node = makeNode(controls_, fmt::format("control-{}", i + 1), i);
        node.setCommand({ options_.binFolder + "/cmd/figrack-control", "--config",
                          node.folder() + "/control.ini" });
    }
    writeControlSettings(true);
}

auto Cluster::writeControlSettings(bool found) -> void
{
    auto members = std::vector<std::string> {};
    auto operators = std::vector<std::string> {};
    for (auto i = std::size_t { 0 }; i < controls_.size(); ++i) {
        const auto &node = *controls_[i];
        members.push_back(
                fmt::format("{}/{}@{}", node.name(), node.domain(), peerAddresses_[i].text()));
        operators.push_back(fmt::format("{}@{}", node.name(), node.address().text()));
    }
    for (auto i = std::size_t { 0 }; i < controls_.size(); ++i) {
        const auto &node = *controls_[i];
        writeFile(node.folder() + "/control.ini",
                  fmt::format("[control]\nname = {}\ndomain = {}\ndata = {}/data\nlisten = {}\n"
                              "members = {}\nfound = {}\nkey_file = {}/peer.keys\nthreads = 2\n"
                              "[operator]\nlisten = {}\naddresses = {}\n"
                              "token_file = {}/operator.tokens\n[orders]\ndoubt = {}\n"
                              "[store]\nloads_per_minute = 600\nconcurrency = 8\n",
                              node.name(), node.domain(), node.folder(), peerAddresses_[i].text(),
                              fmt::join(members, ","), found, options_.folder,
                              node.address().text(), fmt::join(operators, ","), options_.folder,
                              options_.ordersDoubt));
    }
}

auto Cluster::endFounding() -> void
{
    writeControlSettings(false);
}

auto Cluster::makeRouters() -> void
{
    auto controls = std::vector<std::string> {};
    for (auto i = std::size_t { 0 }; i < controls_.size(); ++i)
        controls.push_back(fmt::format("{}@{}", controls_[i]->name(), peerAddresses_[i].text()));
    for (auto i = std::size_t { 0 }; i < options_.routers; ++i) {
        auto &node = makeNode(routers_, fmt::format("router-{}", i + 1), i);
        writeFile(node.folder() + "/router.ini",
                  fmt::format("[router]\nname = {}\ndomain = {}\nlisten = {}\ncontrols = {}\n"
                              "key_file = {}/peer.keys\nthreads = 2\naddress_lifetime = {}\n",
                              node.name(), node.domain(), node.address().text(),
                              fmt::join(controls, ","), options_.folder, options_.addressLifetime));
        node.setCommand({ options_.binFolder + "/cmd/figrack-router", "--config",
                          node.folder() + "/router.ini" });
    }
}

auto Cluster::makeEndpoint(Nodes &nodes, const std::string &pool, const std::string &kind,
                           std::size_t index) -> void
{
    auto &node = makeNode(nodes, fmt::format("{}-{:02}", pool, index + 1), index);
    auto command = std::vector<std::string> {
        options_.binFolder + "/testing/figrack-fake-endpoint",
        "--id",
        node.name(),
        "--kind",
        kind,
        "--service",
        pool,
        "--domain",
        node.domain(),
        "--listen",
        node.address().text(),
        "--record",
        node.folder() + "/record",
        "--memory-mb",
        std::to_string(options_.engineMemoryMb),
    };
    for (const auto &router : routers_) {
        command.emplace_back("--router");
        command.push_back(router->address().text());
    }
    if (options_.checkFenceEvery > 0 && index % options_.checkFenceEvery == 0)
        command.emplace_back("--checks-fence");
    command.insert(command.end(), options_.engineArguments.begin(), options_.engineArguments.end());
    node.setCommand(std::move(command));
}

auto Cluster::startAll() -> bool
{
    for (auto *node : all()) {
        if (!node->start())
            return false;
    }
    return true;
}

auto Cluster::endAll() -> void
{
    for (auto *node : all()) {
        if (!node->isRunning())
            continue;
        node->child().signal(SIGCONT);
        node->child().signal(SIGTERM);
    }
    const auto end = now() + endLimit;
    for (auto *node : all()) {
        if (node->isRunning() && !node->child().waitFor(end - now()))
            node->child().kill();
    }
}

auto Cluster::all() -> std::vector<Node *>
{
    auto list = std::vector<Node *> {};
    for (auto *nodes : { &controls_, &routers_, &engines_, &services_ }) {
        for (auto &node : *nodes)
            list.push_back(node.get());
    }
    return list;
}

auto Cluster::findRouter(const Address &address) -> Node *
{
    for (auto &node : routers_) {
        if (node->address() == address)
            return node.get();
    }
    return nullptr;
}

auto Cluster::findNode(const std::string &name) -> Node *
{
    for (auto *node : all()) {
        if (node->name() == name)
            return node;
    }
    return nullptr;
}

auto Cluster::failedChecks() -> std::vector<std::string>
{
    auto found = std::vector<std::string> {};
    for (auto *node : all()) {
        auto log = std::ifstream { node->logFile() };
        for (auto line = std::string {}; std::getline(log, line);) {
            if (line.find("event=check_failed") != std::string::npos)
                found.push_back(node->name() + " " + line);
        }
    }
    return found;
}

} // namespace figrack::testing
