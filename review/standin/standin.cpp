// Stand-ins for endpoints, callers and operators, for the scripts of the review.
//
//   standin ports N                      N free ports, one a line
//   standin call METHOD IP:PORT PATH [BODYFILE]
//                                        one call, redirects followed; prints the status
//   standin runner KEY=VALUE...          an endpoint; see runRunner()
//   standin streams KEY=VALUE...         callers that each ask for one stream; see runStreams()
//   standin probe KEY=VALUE...           one caller that asks again and again; see runProbe()
//   standin load KEY=VALUE...            callers that keep their connections; see runLoad()
//
// The names on the wire come from the file that wire=FILE gives. Log lines begin with the
// time of day in milliseconds.

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
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

std::atomic<bool> leaveAsked { false };
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
    if (::write(logFile < 0 ? 1 : logFile, text.data(), text.size()) < 0)
        std::perror("log");
}

auto sleepFor(int millis) -> void
{
    std::this_thread::sleep_for(Millis { millis });
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

auto fill(std::string text, const Values &values) -> std::string
{
    for (const auto &[key, value] : values) {
        const auto mark = "%" + key + "%";
        for (auto at = text.find(mark); at != std::string::npos; at = text.find(mark, at))
            text.replace(at, mark.size(), value), at += value.size();
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

    /// Reads more, for that long at most. @return false at the end, after an error or too late
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
    int descriptor_;
    std::string buffer_;
};

auto connectTo(const Place &place, int millis) -> int
{
    const auto descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    const auto address = addressOf(place);
    ::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address);
    auto wait = pollfd { descriptor, POLLOUT, 0 };
    auto error = 0;
    auto size = socklen_t { sizeof error };
    if (::poll(&wait, 1, millis) <= 0
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

/// Reads the next part of a chunked body. @return false when it broke off; empty at its end
auto readChunk(Wire &wire, std::string &into, int millis) -> bool
{
    auto line = std::string {};
    if (!wire.line(line, millis))
        return false;
    const auto size = std::strtoul(line.c_str(), nullptr, 16);
    return wire.bytes(into, size, millis) && wire.line(line, millis);
}

auto readBody(Wire &wire, const Head &head, std::string &body, int millis) -> bool
{
    body.clear();
    if (lower(head.get("transfer-encoding")) != "chunked")
        return wire.bytes(body, std::strtoul(head.get("content-length").c_str(), nullptr, 10),
                          millis);
    for (auto chunk = std::string {}; readChunk(wire, chunk, millis); body += chunk) {
        if (chunk.empty())
            return true;
    }
    return false;
}

/// @return the status; 0 without an answer
auto call(const std::string &method, Place place, std::string path, const std::string &body,
          std::string *answer = nullptr) -> int
{
    for (auto hop = 0; hop < 3; ++hop) {
        const auto descriptor = connectTo(place, 1000);
        if (descriptor < 0)
            return 0;
        auto wire = Wire { descriptor };
        const auto text = method + " " + path + " HTTP/1.1\r\nHost: " + place.ip
                + "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: "
                + std::to_string(body.size()) + "\r\n\r\n" + body;
        auto head = Head {};
        auto got = std::string {};
        if (!wire.send(text) || !readHead(wire, head, 1000) || !readBody(wire, head, got, 1000))
            return 0;
        if (answer != nullptr)
            *answer = got;
        if (head.status() != 307)
            return head.status();
        const auto location = head.get("location").substr(7); // After "http://".
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

/// An endpoint. Keys: wire, log, id, service, addr, zone, version, controls (by commas), models
/// (by commas, may be empty), load_ms, events, gap_ms, work_ms, beat_ms, spoil_every, spoil_ms. A POST
/// is answered by a stream of that many events, or by a whole answer if there are none, as a GET is.
/// SIGUSR1: it leaves without saying that it drains, as PROTOCOL.md has it: it deregisters first and
/// serves on. SIGUSR2: for spoil_ms from then on, one answer in spoil_every is spoilt: it breaks off,
/// or with spoil=extra it is good, and additional bytes follow it late, when the next answer on its
/// connection is expected.
class Runner
{
public:
    Runner(Values settings, Values names)
        : settings_(std::move(settings))
        , names_(std::move(names))
        , controls_(split(settings_["controls"], ','))
    {
        for (const auto &model : split(settings_["models"], ','))
            held_.push_back(model);
    }

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
    /// @return the settings, with what the endpoint says of itself now
    auto state() -> Values
    {
        const auto lock = std::lock_guard { mutex_ };
        auto values = settings_;
        auto models = std::string {};
        for (const auto &model : held_)
            models += (models.empty() ? "" : ",") + fill(names_["held_model"], { { "model", model } });
        values["models"] = models;
        values["orders"] = std::to_string(orders_);
        values["busy"] = isBusy_ ? "true" : "false";
        return values;
    }

    /// Accepts an order to load or unload a model, one at a time. @return the status line's end
    auto takeOrder(const std::string &body) -> std::string
    {
        const auto isLoad = body.find(names_["order_load"]) != std::string::npos;
        const auto mark = names_["order_model"];
        const auto begin = body.find(mark) + mark.size();
        const auto model = body.substr(begin, body.find('"', begin) - begin);
        const auto expected = body.find(names_["order_expected"]);
        const auto lock = std::lock_guard { mutex_ };
        const auto isExpected = expected == std::string::npos
                || std::atoi(body.c_str() + expected + names_["order_expected"].size()) == orders_;
        if (isBusy_ || !isExpected)
            return "409 Conflict";
        ++orders_;
        isBusy_ = true;
        note("runner " + settings_["id"] + " accepts an order to " + (isLoad ? "load " : "unload ")
             + model);
        std::thread { [this, isLoad, model] {
            sleepFor(isLoad ? std::atoi(settings_["load_ms"].c_str()) : 50);
            const auto held = std::lock_guard { mutex_ };
            held_.erase(std::remove(held_.begin(), held_.end(), model), held_.end());
            if (isLoad)
                held_.push_back(model);
            isBusy_ = false;
            announceNow_ = true;
        } }.detach();
        return "202 Accepted";
    }

    auto announce() -> void
    {
        auto next = std::size_t { 0 };
        for (auto sequence = 1;; ++sequence) {
            if (leaveAsked)
                return leave();
            auto values = state();
            values["seq"] = std::to_string(sequence);
            const auto path = fill(names_["heartbeat_path"], settings_);
            const auto body = fill(names_["heartbeat_body"], values);
            for (auto tries = std::size_t { 0 }; tries < controls_.size(); ++tries) {
                const auto status = call("POST", placeOf(controls_[next]), path, body);
                if (status / 100 == 2)
                    break;
                next = (next + 1) % controls_.size();
            }
            const auto beat = std::atoi(settings_["beat_ms"].c_str());
            for (auto waited = 0; waited < beat && !leaveAsked && !announceNow_; waited += 10)
                sleepFor(10);
            announceNow_ = false;
        }
    }

    auto leave() -> void
    {
        const auto path = fill(names_["deregister_path"], settings_);
        for (auto pause = 20;; pause *= 2) {
            for (const auto &control : controls_) {
                note("runner " + settings_["id"] + " deregisters at " + control);
                const auto status = call("POST", placeOf(control), path, "{}");
                note("runner " + settings_["id"] + " deregistration answered "
                     + std::to_string(status));
                if (status / 100 == 2)
                    return;
            }
            sleepFor(std::min(pause, 1000));
        }
    }

    auto serve(int descriptor) -> void
    {
        auto wire = Wire { descriptor };
        auto head = Head {};
        auto body = std::string {};
        auto extra = std::string {};
        while (readHead(wire, head, 60000) && readBody(wire, head, body, 10000)) {
            if (!extra.empty()) {
                note("runner " + settings_["id"] + " sends additional bytes before its answer to "
                     + head.get(names_["request_id"]));
                wire.send(std::exchange(extra, {}));
            }
            if (!answer(wire, head, body, extra))
                return;
        }
    }

    auto whole(Wire &wire, const Head &head, const std::string &status, const std::string &extra,
               const std::string &body) -> bool
    {
        return wire.send("HTTP/1.1 " + status + "\r\n" + names_["request_id"] + ": "
                         + head.get(names_["request_id"]) + "\r\n" + extra
                         + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    /// @param extra set to additional bytes that are sent late
    auto answer(Wire &wire, const Head &head, const std::string &body, std::string &extra) -> bool
    {
        const auto words = split(head.first, ' ');
        const auto &path = words.at(1);
        const auto self = names_["answered"] + ": " + settings_["id"] + "\r\n";
        const auto expected = head.get(names_["expected"]);
        if (!expected.empty() && expected != settings_["id"])
            return whole(wire, head, "421 Misdirected Request", self, "");
        if (path == names_["health_path"])
            return whole(wire, head, "200 OK", self, "");
        if (path == names_["report_path"])
            return whole(wire, head, "200 OK", "", fill(names_["report_body"], state()));
        if (path == names_["order_path"])
            return whole(wire, head, takeOrder(body), "", "");
        const auto id = head.get(names_["request_id"]);
        const auto after = std::atoi(head.get(names_["resume_after"]).c_str());
        note("runner " + settings_["id"] + " version " + settings_["version"] + " runs request "
             + id + " after event " + std::to_string(after));
        const auto stamp = names_["stamp"] + ": " + settings_["id"] + "." + id + "\r\n";
        sleepFor(std::atoi(settings_["work_ms"].c_str()));
        const auto text = "answer to " + id + " by " + settings_["id"];
        const auto spoils = isSpoilt();
        if (spoils && settings_["spoil"] == "refusal") {
            extra = "HTTP/1.1 503 Service Unavailable\r\n" + names_["not_run"]
                    + ": 1\r\nContent-Length: 0\r\n\r\n";
        } else if (spoils && settings_["spoil"] == "extra") {
            // The body once more, behind a head without a header of the runner's.
            extra = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n"
                    + text;
        } else if (spoils) {
            note("runner " + settings_["id"] + " spoils its answer to " + id);
            wire.send("HTTP/1.1 200 OK\r\n" + names_["request_id"] + ": " + id + "\r\n" + stamp
                      + "Content-Length: 99999999999999999\r\n\r\n" + settings_["id"]);
            return false; // Breaks off.
        }
        if (words.at(0) == "GET" || settings_["events"] == "0")
            return whole(wire, head, "200 OK", stamp, text);
        return stream(wire, head, stamp, after);
    }

    auto isSpoilt() -> bool
    {
        if (spoilAsked.exchange(false))
            spoilUntil_ = nowMillis() + std::atoll(settings_["spoil_ms"].c_str());
        return nowMillis() < spoilUntil_ && ++answers_ % std::atoi(settings_["spoil_every"].c_str()) == 0;
    }

    auto stream(Wire &wire, const Head &head, const std::string &stamp, int after) -> bool
    {
        const auto id = head.get(names_["request_id"]);
        if (!wire.send("HTTP/1.1 200 OK\r\n" + names_["request_id"] + ": " + id + "\r\n" + stamp
                       + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
            return false;
        const auto count = std::atoi(settings_["events"].c_str());
        for (auto number = after + 1; number <= count; ++number) {
            sleepFor(std::atoi(settings_["gap_ms"].c_str()));
            const auto event = "id: " + std::to_string(number) + "\ndata: " + settings_["version"]
                    + " " + settings_["id"] + "\n\n";
            auto size = std::ostringstream {};
            size << std::hex << event.size();
            if (wire.isGone() || !wire.send(size.str() + "\r\n" + event + "\r\n")) {
                note("runner " + settings_["id"] + " drops request " + id);
                return false;
            }
        }
        return wire.send("0\r\n\r\n");
    }

    Values settings_;
    Values names_;
    std::vector<std::string> controls_;
    std::mutex mutex_; ///< Guards held_, orders_ and isBusy_.
    std::vector<std::string> held_;
    int orders_ = 0;
    bool isBusy_ = false;
    std::atomic<bool> announceNow_ { false };
    std::atomic<long long> spoilUntil_ { 0 };
    std::atomic<int> answers_ { 0 };
};

auto requestText(const Values &settings, Values names, const std::string &method,
                 const std::string &id) -> std::string
{
    auto text = method + " " + settings.at("path") + id + " HTTP/1.1\r\nHost: " + settings.at("host")
            + "\r\n" + names["request_id"] + ": " + id + "\r\n" + names["deadline"] + ": "
            + settings.at("deadline_ms") + "\r\n";
    if (settings.contains("model")) {
        // A session's part, and one of the request's own.
        const auto part = std::hash<std::string> {}(id) % 100'000'000;
        text += names["model"] + ": " + settings.at("model") + "\r\n" + names["token_count"]
                + ": 700,100\r\n" + names["prompt"] + ": a" + std::to_string(part) + ":600,b"
                + std::to_string(part) + ":100\r\n";
    }
    if (method != "POST")
        return text + "\r\n";
    const auto body = "work of " + id;
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Callers that each ask for one stream, of work of their own. Keys: wire, log, to, host, path,
/// deadline_ms, count, model (may be missing).
auto runStreams(const Values &settings, const Values &names) -> int
{
    auto callers = std::vector<std::thread> {};
    const auto count = std::atoi(settings.at("count").c_str());
    for (auto number = 1; number <= count; ++number) {
        callers.emplace_back([&settings, &names, number] {
            const auto id = "stream-" + std::to_string(number);
            const auto descriptor = connectTo(placeOf(settings.at("to")), 1000);
            if (descriptor < 0)
                return note("caller " + id + " no connection");
            auto wire = Wire { descriptor };
            note("caller " + id + " asks");
            auto head = Head {};
            if (!wire.send(requestText(settings, names, "POST", id)) || !readHead(wire, head, 15000))
                return note("caller " + id + " no answer");
            note("caller " + id + " status " + std::to_string(head.status()));
            if (head.status() != 200)
                return;
            auto events = std::string {};
            for (auto chunk = std::string {}; readChunk(wire, chunk, 15000);) {
                if (chunk.empty())
                    return note("caller " + id + " complete");
                events += chunk;
                for (auto end = events.find("\n\n"); end != std::string::npos;
                     end = events.find("\n\n")) {
                    auto event = events.substr(0, end);
                    events.erase(0, end + 2);
                    std::replace(event.begin(), event.end(), '\n', ' ');
                    note("caller " + id + " event " + event);
                }
            }
            note("caller " + id + " broken off");
        });
        sleepFor(10);
    }
    for (auto &caller : callers)
        caller.join();
    return 0;
}

/// One caller that asks again and again, on a new connection each time. Keys: wire, log, to, host,
/// path, deadline_ms, model, for_ms, every_ms, name.
auto runProbe(const Values &settings, const Values &names) -> int
{
    const auto until = nowMillis() + std::atoll(settings.at("for_ms").c_str());
    for (auto number = 1; nowMillis() < until; ++number) {
        const auto id = settings.at("name") + "-" + std::to_string(number);
        const auto descriptor = connectTo(placeOf(settings.at("to")), 300);
        auto status = 0;
        if (descriptor >= 0) {
            auto wire = Wire { descriptor };
            auto head = Head {};
            auto body = std::string {};
            note("caller " + id + " asks");
            const auto answered = wire.send(requestText(settings, names, "GET", id))
                    && readHead(wire, head, 3000) && readBody(wire, head, body, 3000);
            status = answered ? head.status() : 0;
            note("caller " + id + " status " + std::to_string(status));
        }
        sleepFor(std::atoi(settings.at("every_ms").c_str()));
    }
    return 0;
}

/// Callers that keep their connections, each with one request at a time. Keys: wire, log, to, host,
/// path, deadline_ms, callers, pause_ms, for_ms.
auto runLoad(const Values &settings, const Values &names) -> int
{
    const auto until = nowMillis() + std::atoll(settings.at("for_ms").c_str());
    auto callers = std::vector<std::thread> {};
    for (auto number = 1; number <= std::atoi(settings.at("callers").c_str()); ++number) {
        callers.emplace_back([&settings, &names, number, until] {
            for (auto sent = 0; nowMillis() < until;) {
                const auto descriptor = connectTo(placeOf(settings.at("to")), 300);
                if (descriptor < 0) {
                    sleepFor(100);
                    continue;
                }
                auto wire = Wire { descriptor };
                for (auto isKept = false; nowMillis() < until; isKept = true) {
                    const auto id = "c" + std::to_string(number) + "-" + std::to_string(++sent);
                    note("caller " + id + " asks on a " + (isKept ? "kept" : "new") + " connection");
                    auto head = Head {};
                    auto body = std::string {};
                    if (!wire.send(requestText(settings, names, "POST", id))
                        || !readHead(wire, head, 3000) || !readBody(wire, head, body, 3000)) {
                        note("caller " + id + (wire.isGone() ? " closed" : " waits")
                             + " without an answer");
                        break;
                    }
                    auto kind = std::string {};
                    if (head.status() == 200 && body.find("answer to " + id + " ") != 0)
                        kind = " foreign body: " + body;
                    if (head.status() == 200 && head.get(names.at("stamp")).empty())
                        kind += " (no stamp)";
                    note("caller " + id + " status " + std::to_string(head.status()) + kind);
                    if (lower(head.get("connection")) == "close")
                        break;
                    sleepFor(std::atoi(settings.at("pause_ms").c_str()));
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
        auto answer = std::string {};
        const auto status = call(words[1], placeOf(words[2]), words[3], body.str(), &answer);
        std::printf("%d\n", status);
        std::fprintf(stderr, "%s\n", answer.c_str());
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
    std::signal(SIGUSR1, [](int) { leaveAsked = true; });
    std::signal(SIGUSR2, [](int) { spoilAsked = true; });
    if (words[0] == "runner")
        return Runner { settings, names }.run();
    if (words[0] == "streams")
        return runStreams(settings, names);
    if (words[0] == "probe")
        return runProbe(settings, names);
    if (words[0] == "load")
        return runLoad(settings, names);
    return 2;
}
