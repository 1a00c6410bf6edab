// An operator's client: finds the leader by way of any control and follows redirections.
//
//   auto op = OperatorAgent { context, controlAddresses, token };
//   auto reply = co_await op.ask("POST", "/v1/config", body, limit);
//
// ask() goes on over the controls until one gives an answer that is not "no
// leader", or the limit is over. A change carries its own id, so asking again is safe.

#ifndef FIGRACK_TESTING_OPERATORAGENT_H
#define FIGRACK_TESTING_OPERATORAGENT_H

#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/value.hpp>

#include "core/clock.h"
#include "http/client.h"

namespace figrack::testing {

struct OperatorReply
{
    std::uint32_t status = 0; ///< 0: no answer within the limit.
    boost::json::value body;
    /// @return the number at a JSON pointer, or 0
    auto number(std::string_view pointer) const -> std::uint64_t;
    auto text(std::string_view pointer) const -> std::string;
};

class OperatorAgent
{
public:
    OperatorAgent(boost::asio::io_context &context, std::vector<Address> controls,
                  std::string token);
    auto ask(std::string method, std::string path, std::string body, Duration limit)
            -> boost::asio::awaitable<OperatorReply>;
    /// Makes one configuration change against the revision of the moment, however often it loses.
    /// @param operation such as "\"put_class\":{...}"
    /// @return the revision, or 0 when it was not accepted within the limit
    auto change(std::string id, std::string operation, Duration limit)
            -> boost::asio::awaitable<std::uint64_t>;
    /// One attempt against a given revision.
    auto changeOnce(std::string id, std::uint64_t expected, std::string operation, Duration limit)
            -> boost::asio::awaitable<OperatorReply>;

private:
    auto askOne(Address control, const std::string &method, const std::string &path,
                const std::string &body, Duration limit) -> boost::asio::awaitable<OperatorReply>;

    http::Client client_;
    std::vector<Address> controls_;
    std::string token_;
    SystemClock clock_;
};

} // namespace figrack::testing

#endif // FIGRACK_TESTING_OPERATORAGENT_H
