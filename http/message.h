// HTTP requests and responses as plain values, shared by the server and the client.

#ifndef FIGRACK_HTTP_MESSAGE_H
#define FIGRACK_HTTP_MESSAGE_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace figrack::http {

struct Header
{
    std::string name;
    std::string value;
};

using Headers = std::vector<Header>;

/// @return true when two header names are the same, without regard to case
auto isSameName(std::string_view left, std::string_view right) -> bool;

/// @param name compared without regard to case
/// @return the first value, or an empty view
auto findHeader(const Headers &headers, std::string_view name) -> std::string_view;

/// A whole request as a server handler gets it.
struct Request
{
    std::string method; ///< "GET", "POST", ...
    std::string target; ///< As sent: path and query, nothing decoded.
    std::string path;   ///< Without the query, percent-decoded.
    std::string query;  ///< After '?', as sent.
    Headers headers;
    std::string body;
    std::string remoteIp; ///< Of the TCP peer.
    auto header(std::string_view name) const -> std::string_view
    {
        return findHeader(headers, name);
    }
};

/// A whole response.
struct Response
{
    std::uint32_t status = 200;
    Headers headers; ///< Content-Length and Connection are set by the server.
    std::string body;
};

} // namespace figrack::http

#endif // FIGRACK_HTTP_MESSAGE_H
