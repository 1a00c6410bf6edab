// A whole figrack on loopback, of real processes: controls, routers, fake endpoints.
//
//   auto cluster = Cluster { options };
//   cluster.startAll();
//   cluster.router(0).stop(SIGKILL); cluster.router(0).start();
//
// Each node has a folder for its settings, data and log under options.folder.
// Ports are free ones outside the kernel's ephemeral range, so that no outgoing
// connection takes one between two lives of a node.

#ifndef FIGRACK_TESTING_CLUSTER_H
#define FIGRACK_TESTING_CLUSTER_H

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/random.h"
#include "core/settings.h"
#include "testing/childprocess.h"

namespace figrack::testing {

using Millis = std::int64_t;

/// A time span of the machine's boot clock.
struct Span
{
    Instant from;
    Instant to = Instant::max();
};

/// One process of the cluster, through all its lives.
class Node
{
public:
    Node(std::string name, std::string domain, Address address, std::string folder)
        : name_(std::move(name))
        , domain_(std::move(domain))
        , address_(std::move(address))
        , folder_(std::move(folder))
    { }
    auto name() const -> const std::string & { return name_; }
    auto domain() const -> const std::string & { return domain_; }
    /// Where callers, operators or orders connect.
    auto address() const -> const Address & { return address_; }
    auto folder() const -> const std::string & { return folder_; }
    auto logFile() const -> std::string { return folder_ + "/log"; }
    auto setCommand(std::vector<std::string> command) -> void { command_ = std::move(command); }

    /// @return false when the program cannot be started
    auto start() -> bool;
    auto isRunning() -> bool { return child_ != nullptr && child_->isRunning(); }
    /// @return whether it has logged, since its latest start, that it serves: before that it cannot
    /// have installed what makes a SIGTERM a planned stop
    auto hasBegun() const -> bool;
    auto child() -> ChildProcess & { return *child_; }
    /// SIGKILL; noted as a disturbance.
    auto kill() -> void;
    /// SIGSTOP; noted as a disturbance until resume().
    auto pause() -> void;
    auto resume() -> void;
    /// SIGTERM, and waits. @return the exit status, or nullopt when it did not end in time
    auto stopPlanned(Duration limit) -> std::optional<int>;
    /// @return whether it was killed, stopped or paused at any time in the span
    auto wasDisturbed(Instant from, Instant to) const -> bool;
    /// Notes that it dies by itself, by a test's order.
    auto noteDeath() -> void;

private:
    std::string name_;
    std::string domain_;
    Address address_;
    std::string folder_;
    std::vector<std::string> command_;
    std::unique_ptr<ChildProcess> child_;
    std::uintmax_t logSizeAtStart_ = 0; ///< Of what earlier starts have logged, in bytes.
    std::vector<Span> disturbed_;
};

struct ClusterOptions
{
    std::string folder;    ///< Made anew; must not exist.
    std::string binFolder; ///< The build folder.
    std::vector<std::string> domains { "morlaix", "brasparts", "quimper" };
    std::size_t controls = 3;
    std::size_t routers = 3;
    std::map<std::string, std::size_t> enginePools { { "redaction", 6 } };
    std::vector<std::string> services { "comptoir" };
    std::vector<std::string> engineArguments; ///< For every engine.
    std::uint64_t engineMemoryMb = 80000;
    std::size_t checkFenceEvery = 2; ///< Every n-th engine checks fences; 0: none.
    std::string addressLifetime = "2s";
    std::string ordersDoubt = "3s";
    std::uint64_t seed = 1;
};

class Cluster
{
public:
    explicit Cluster(ClusterOptions options);
    /// @return false when a program is missing
    auto startAll() -> bool;
    /// SIGTERM to all, then SIGKILL to what is left.
    auto endAll() -> void;

    using Nodes = std::vector<std::unique_ptr<Node>>;
    auto controls() -> Nodes & { return controls_; }
    auto routers() -> Nodes & { return routers_; }
    auto engines() -> Nodes & { return engines_; }
    auto services() -> Nodes & { return services_; }
    auto domains() const -> const std::vector<std::string> & { return options_.domains; }
    auto token() const -> const std::string & { return token_; }
    auto all() -> std::vector<Node *>;
    auto findRouter(const Address &address) -> Node *;
    auto findNode(const std::string &name) -> Node *;
    /// Controls restarted after this do not found the group again.
    auto endFounding() -> void;
    /// @return "NAME event" lines of logs that no process should have written: failed checks
    auto failedChecks() -> std::vector<std::string>;

private:
    auto makeNode(Nodes &nodes, const std::string &name, std::size_t index) -> Node &;
    auto makeControls() -> void;
    auto writeControlSettings(bool found) -> void;
    auto makeRouters() -> void;
    auto makeEndpoint(Nodes &nodes, const std::string &pool, const std::string &kind,
                      std::size_t index) -> void;
    auto freeAddress() -> Address;
    auto domainOf(std::size_t index) const -> const std::string &;

    ClusterOptions options_;
    Random random_;
    std::string token_;
    std::vector<Address> peerAddresses_; ///< Of the controls.
    Nodes controls_;
    Nodes routers_;
    Nodes engines_;
    Nodes services_;
    std::uint16_t nextPort_;
};

} // namespace figrack::testing

#endif // FIGRACK_TESTING_CLUSTER_H
