// Stand-ins for endpoints, callers and operators, for the scripts of the review.
//
//   standin ports N                N free ports, one a line
//   standin call METHOD IP:PORT PATH [BODYFILE]
//                                  one call, redirects followed; prints the status
//   standin runner KEY=VALUE...    an endpoint; see Runner
//   standin load KEY=VALUE...      callers that keep their connections; see runLoad()
//
// The names on the wire come from the file that wire=FILE gives. Log lines begin with the time of
// day in milliseconds.

#include <algorithm>
#include <atomic>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <map>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {

using Values = std::map<std::string, std::string>;
using Millis = std::chrono::milliseconds;

constexpr auto connectTimeout = 1000;
constexpr auto answerTimeout = 3000;
constexpr auto idleTimeout = 60000;

std::atomic<bool> spoilAsked { false };
std::mutex logMutex;
int logFile = -1;

auto nowMillis() -> long long
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<Millis>(now).count();
}

auto note(const std::string &line) -> void
{
    const auto text = std::to_string(nowMillis()) + " " + line + "\n";
    const auto lock = std::lock_guard { logMutex };
    if (::write(logFile < 0 ? STDOUT_FILENO : logFile, text.data(), text.size()) < 0)
        std::perror("log");
}

auto sleepFor(int millis) -> void
{
    std::this_thread::sleep_for(Millis { millis });
}

auto numberOf(const Values &values, const std::string &key) -> int
{
    return std::atoi(values.at(key).c_str());
}

auto lower(std::string text) -> std::string
{
    for (auto &letter : text)
        letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
    return text;
}

auto split(const std::string &text, char mark) -> std::vector<std::string>
{
    auto result = std::vector<std::string> {};
    auto in = std::istringstream { text };
    for (auto item = std::string {}; std::getline(in, item, mark);)
        result.push_back(item);
    return result;
}

/// @return the text with each %key% replaced by its value
auto fill(std::string text, const Values &values) -> std::string
{
    for (const auto &[key, value] : values) {
        const auto mark = "%" + key + "%";
        for (auto at = text.find(mark); at != std::string::npos; at = text.find(mark, at)) {
            text.replace(at, mark.size(), value);
            at += value.size();
        }
    }
    return text;
}

auto readPairs(std::istream &in) -> Values
{
    auto result = Values {};
    for (auto line = std::string {}; std::getline(in, line);) {
        const auto equals = line.find('=');
        if (!line.empty() && line.front() != '#' && equals != std::string::npos)
            result[line.substr(0, equals)] = line.substr(equals + 1);
    }
    return result;
}

struct Place
{
    std::string ip;
    int port = 0;
};

auto placeOf(const std::string &text) -> Place
{
    const auto colon = text.find(':');
    return { text.substr(0, colon), std::atoi(text.c_str() + colon + 1) };
}

auto addressOf(const Place &place) -> sockaddr_in
{
    auto address = sockaddr_in {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(place.port));
    ::inet_pton(AF_INET, place.ip.c_str(), &address.sin_addr);
    return address;
}

/// One connection, with the bytes that were read and not used yet.
class Wire
{
public:
    explicit Wire(int descriptor)
        : descriptor_(descriptor)
    {
        const auto yes = 1;
        ::setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    }
    ~Wire() { ::close(descriptor_); }
    Wire(const Wire &) = delete;
    auto operator=(const Wire &) -> Wire & = delete;

    auto send(const std::string &bytes) -> bool
    {
        auto sent = std::size_t { 0 };
        while (sent < bytes.size()) {
            const auto now
                    = ::send(descriptor_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (now <= 0)
                return false;
            sent += static_cast<std::size_t>(now);
        }
        return true;
    }

    /// Reads a line without its end.
    auto line(std::string &into, int millis) -> bool
    {
        auto end = std::string::npos;
        while ((end = buffer_.find("\r\n")) == std::string::npos) {
            if (!more(millis))
                return false;
        }
        into = buffer_.substr(0, end);
        buffer_.erase(0, end + 2);
        return true;
    }

    auto bytes(std::string &into, std::size_t count, int millis) -> bool
    {
        while (buffer_.size() < count) {
            if (!more(millis))
                return false;
        }
        into = buffer_.substr(0, count);
        buffer_.erase(0, count);
        return true;
    }

    /// @return true when the peer has closed the connection
    auto isGone() const -> bool
    {
        auto byte = char {};
        const auto got = ::recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

private:
    /// Reads more. @return false at the end, after an error or too late
    auto more(int millis) -> bool
    {
        auto wait = pollfd { descriptor_, POLLIN, 0 };
        if (::poll(&wait, 1, millis) <= 0)
            return false;
        char chunk[16384];
        const auto got = ::recv(descriptor_, chunk, sizeof chunk, 0);
        if (got <= 0)
            return false;
        buffer_.append(chunk, static_cast<std::size_t>(got));
        return true;
    }

    int descriptor_;
    std::string buffer_;
};

/// @return a descriptor; -1 when nobody accepted the connection in time
auto connectTo(const Place &place) -> int
{
    const auto descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    const auto address = addressOf(place);
    ::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address);
    auto wait = pollfd { descriptor, POLLOUT, 0 };
    auto error = 0;
    auto size = socklen_t { sizeof error };
    if (::poll(&wait, 1, connectTimeout) <= 0
        || ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
        ::close(descriptor);
        return -1;
    }
    ::fcntl(descriptor, F_SETFL, ::fcntl(descriptor, F_GETFL) & ~O_NONBLOCK);
    return descriptor;
}

/// The head of a request or an answer; header names are in lower case.
struct Head
{
    std::string first;
    Values headers;
    auto get(const std::string &name) const -> std::string
    {
        const auto found = headers.find(lower(name));
        return found == headers.end() ? std::string {} : found->second;
    }
    auto status() const -> int { return first.size() > 9 ? std::atoi(first.c_str() + 9) : 0; }
};

auto readHead(Wire &wire, Head &head, int millis) -> bool
{
    head = {};
    if (!wire.line(head.first, millis))
        return false;
    for (auto line = std::string {}; wire.line(line, millis);) {
        if (line.empty())
            return true;
        const auto colon = line.find(':');
        const auto value = line.find_first_not_of(' ', colon + 1);
        head.headers[lower(line.substr(0, colon))]
                = value == std::string::npos ? std::string {} : line.substr(value);
    }
    return false;
}

auto readBody(Wire &wire, const Head &head, std::string &body, int millis) -> bool
{
    return wire.bytes(body, std::strtoul(head.get("content-length").c_str(), nullptr, 10), millis);
}

/// @return the status; 0 without an answer
auto call(const std::string &method, Place place, std::string path, const std::string &body) -> int
{
    for (auto hop = 0; hop < 3; ++hop) {
        const auto descriptor = connectTo(place);
        if (descriptor < 0)
            return 0;
        auto wire = Wire { descriptor };
        const auto text = method + " " + path + " HTTP/1.1\r\nHost: " + place.ip
                + "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: "
                + std::to_string(body.size()) + "\r\n\r\n" + body;
        auto head = Head {};
        if (!wire.send(text) || !readHead(wire, head, connectTimeout))
            return 0;
        if (head.status() != 307)
            return head.status();
        const auto location = head.get("location").substr(std::string { "http://" }.size());
        const auto slash = location.find('/');
        place = placeOf(location.substr(0, slash));
        path = location.substr(slash);
    }
    return 307;
}

auto printPorts(int count) -> int
{
    for (auto i = 0; i < count; ++i) {
        const auto descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
        auto address = sockaddr_in {};
        address.sin_family = AF_INET;
        auto size = socklen_t { sizeof address };
        ::bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address);
        ::getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &size);
        std::printf("%d\n", ntohs(address.sin_port)); // Held open, so that all of them differ.
    }
    return 0;
}

/// An endpoint of a plain service. Keys: wire, log, id, service, addr, zone, version, controls (by
/// commas), beat_ms, work_ms, spoil, spoil_every, spoil_ms.
///
/// It answers each request after work_ms with a body that names the request. For spoil_ms after a
/// SIGUSR2 it spoils one answer in spoil_every:
///   spoil=truncate  the head promises more than is sent, and the connection is closed
///   spoil=extra     the answer is good; additional bytes follow it late, when the next answer on
///                   the connection is expected: its body once more, without the runner's headers
///   spoil=refusal   the same, and the additional bytes are a refusal
class Runner
{
public:
    Runner(Values settings, Values names)
        : settings_(std::move(settings))
        , names_(std::move(names))
        , controls_(split(settings_["controls"], ','))
    { }

    auto run() -> int
    {
        const auto listener = ::socket(AF_INET, SOCK_STREAM, 0);
        const auto yes = 1;
        ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
        const auto address = addressOf(placeOf(settings_["addr"]));
        if (::bind(listener, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
            || ::listen(listener, 256) != 0) {
            std::perror("listen");
            return 2;
        }
        std::thread { [this] { announce(); } }.detach();
        while (true) {
            const auto descriptor = ::accept(listener, nullptr, nullptr);
            if (descriptor >= 0)
                std::thread { [this, descriptor] { serve(descriptor); } }.detach();
        }
    }

private:
    auto announce() -> void
    {
        auto next = std::size_t { 0 };
        for (auto sequence = 1;; ++sequence) {
            auto values = settings_;
            values["seq"] = std::to_string(sequence);
            const auto path = fill(names_["heartbeat_path"], values);
            const auto body = fill(names_["heartbeat_body"], values);
            for (auto tries = std::size_t { 0 }; tries < controls_.size(); ++tries) {
                if (call("POST", placeOf(controls_[next]), path, body) / 100 == 2)
                    break;
                next = (next + 1) % controls_.size();
            }
            sleepFor(numberOf(settings_, "beat_ms"));
        }
    }

    auto serve(int descriptor) -> void
    {
        auto wire = Wire { descriptor };
        auto head = Head {};
        auto body = std::string {};
        auto extra = std::string {};
        while (readHead(wire, head, idleTimeout) && readBody(wire, head, body, answerTimeout)) {
            if (!extra.empty()) {
                note("runner " + settings_["id"] + " sends additional bytes before its answer to "
                     + head.get(names_["request_id"]));
                wire.send(std::exchange(extra, {}));
            }
            if (!answer(wire, head, extra))
                return;
        }
    }

    /// @param extra set to additional bytes that are sent late
    /// @return false when the connection ends
    auto answer(Wire &wire, const Head &head, std::string &extra) -> bool
    {
        const auto self = names_["answered"] + ": " + settings_["id"] + "\r\n";
        const auto expected = head.get(names_["expected"]);
        if (!expected.empty() && expected != settings_["id"])
            return send(wire, head, "421 Misdirected Request", self, "");
        if (split(head.first, ' ').at(1) == names_["health_path"])
            return send(wire, head, "200 OK", self, "");
        const auto id = head.get(names_["request_id"]);
        note("runner " + settings_["id"] + " runs request " + id);
        sleepFor(numberOf(settings_, "work_ms"));
        const auto stamp = names_["stamp"] + ": " + settings_["id"] + "." + id + "\r\n";
        const auto text = "answer to " + id + " by " + settings_["id"];
        if (isSpoilt()) {
            if (settings_["spoil"] == "truncate") {
                note("runner " + settings_["id"] + " truncates its answer to " + id);
                wire.send("HTTP/1.1 200 OK\r\n" + names_["request_id"] + ": " + id + "\r\n" + stamp
                          + "Content-Length: 99999999999999999\r\n\r\n" + text);
                return false;
            }
            extra = settings_["spoil"] == "refusal" ? "HTTP/1.1 503 Service Unavailable\r\n"
                            + names_["not_run"] + ": 1\r\nContent-Length: 0\r\n\r\n"
                                                    : "HTTP/1.1 200 OK\r\nContent-Length: "
                            + std::to_string(text.size()) + "\r\n\r\n" + text;
        }
        return send(wire, head, "200 OK", stamp, text);
    }

    auto send(Wire &wire, const Head &head, const std::string &status, const std::string &headers,
              const std::string &body) -> bool
    {
        return wire.send("HTTP/1.1 " + status + "\r\n" + names_["request_id"] + ": "
                         + head.get(names_["request_id"]) + "\r\n" + headers
                         + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    auto isSpoilt() -> bool
    {
        if (spoilAsked.exchange(false))
            spoilUntil_ = nowMillis() + numberOf(settings_, "spoil_ms");
        return nowMillis() < spoilUntil_ && ++answers_ % numberOf(settings_, "spoil_every") == 0;
    }

    Values settings_;
    Values names_;
    std::vector<std::string> controls_;
    std::atomic<long long> spoilUntil_ { 0 };
    std::atomic<int> answers_ { 0 }; ///< Since it was told to spoil some.
};

/// Sends one request and notes how it ends. @return false when the connection can't be used again
auto ask(Wire &wire, const Values &settings, const Values &names, const std::string &id) -> bool
{
    const auto work = "work of " + id;
    auto head = Head {};
    auto body = std::string {};
    const auto isAnswered
            = wire.send("POST " + settings.at("path") + id + " HTTP/1.1\r\nHost: "
                        + settings.at("host") + "\r\n" + names.at("request_id") + ": " + id + "\r\n"
                        + names.at("deadline") + ": " + settings.at("deadline_ms")
                        + "\r\nContent-Length: " + std::to_string(work.size()) + "\r\n\r\n" + work)
            && readHead(wire, head, answerTimeout) && readBody(wire, head, body, answerTimeout);
    if (!isAnswered) {
        note("caller " + id + (wire.isGone() ? " closed" : " waits") + " without an answer");
        return false;
    }
    auto line = "caller " + id + " status " + std::to_string(head.status());
    if (head.status() == 200 && body.find("answer to " + id + " ") != 0)
        line += " foreign body: " + body;
    if (head.status() == 200 && head.get(names.at("stamp")).empty())
        line += " (no stamp)";
    note(line);
    return lower(head.get("connection")) != "close";
}

/// Callers that keep their connections, each with one request at a time. Keys: wire, log, to, host,
/// path, deadline_ms, callers, pause_ms, for_ms.
auto runLoad(const Values &settings, const Values &names) -> int
{
    const auto until = nowMillis() + numberOf(settings, "for_ms");
    auto callers = std::vector<std::thread> {};
    for (auto number = 1; number <= numberOf(settings, "callers"); ++number) {
        callers.emplace_back([&settings, &names, number, until] {
            auto sent = 0;
            while (nowMillis() < until) {
                const auto descriptor = connectTo(placeOf(settings.at("to")));
                if (descriptor < 0) {
                    sleepFor(100);
                    continue;
                }
                auto wire = Wire { descriptor };
                for (auto isKept = false; nowMillis() < until; isKept = true) {
                    const auto id = "c" + std::to_string(number) + "-" + std::to_string(++sent);
                    note("caller " + id + " asks on a " + (isKept ? "kept" : "new")
                         + " connection");
                    if (!ask(wire, settings, names, id))
                        break;
                    sleepFor(numberOf(settings, "pause_ms"));
                }
            }
        });
    }
    for (auto &caller : callers)
        caller.join();
    return 0;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    const auto words = std::vector<std::string> { argv + 1, argv + argc };
    if (words.size() >= 2 && words[0] == "ports")
        return printPorts(std::atoi(words[1].c_str()));
    if (words.size() >= 4 && words[0] == "call") {
        auto body = std::ostringstream {};
        if (words.size() > 4)
            body << std::ifstream { words[4] }.rdbuf();
        const auto status = call(words[1], placeOf(words[2]), words[3], body.str());
        std::printf("%d\n", status);
        return status / 100 == 2 ? 0 : 1;
    }
    auto given = std::ostringstream {};
    for (const auto &word : words)
        given << word << '\n';
    auto lines = std::istringstream { given.str() };
    auto settings = readPairs(lines);
    auto file = std::ifstream { settings["wire"] };
    const auto names = readPairs(file);
    if (words.empty() || names.empty()) {
        std::fprintf(stderr, "usage: see the head of this program's source\n");
        return 2;
    }
    logFile = ::open(settings["log"].c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGUSR2, [](int) { spoilAsked = true; });
    if (words[0] == "runner")
        return Runner { settings, names }.run();
    if (words[0] == "load")
        return runLoad(settings, names);
    return 2;
}
