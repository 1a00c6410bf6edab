// Stand-ins for the scripts of this review: a server of a service, clients, and a caller of the
// control interface.
//
//   standin ports N                     prints N free ports
//   standin call METHOD IP:PORT PATH [BODY-FILE]     prints the status, then the body
//   standin server KEY=VALUE...         serves a service and sends heartbeats until it is ended
//   standin clients KEY=VALUE...        sends requests for some seconds
//   standin streams KEY=VALUE...        asks for streams and takes them up again
//   standin uploads KEY=VALUE...        sends large bodies
//
// The words of the wire are read from names.txt beside the source. Each program writes one line
// for each thing that it sees, with the time of day in ms, to the file "record".

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <iostream>
#include <map>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <sstream>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace {

using Words = std::map<std::string, std::string>;

auto nowMs() -> long long
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

auto sleepMs(long long ms) -> void
{
    std::this_thread::sleep_for(std::chrono::milliseconds { std::max(ms, 0LL) });
}

auto readNames(const std::string &file) -> Words
{
    auto names = Words {};
    auto in = std::ifstream { file };
    for (auto line = std::string {}; std::getline(in, line);) {
        const auto equals = line.find('=');
        if (!line.empty() && line.front() != '#' && equals != std::string::npos)
            names[line.substr(0, equals)] = line.substr(equals + 1);
    }
    return names;
}

auto fill(std::string text, const Words &values) -> std::string
{
    for (const auto &[key, value] : values) {
        const auto mark = "@" + key + "@";
        for (auto at = text.find(mark); at != std::string::npos; at = text.find(mark, at))
            text.replace(at, mark.size(), value);
    }
    return text;
}

auto split(const std::string &text, char mark) -> std::vector<std::string>
{
    auto parts = std::vector<std::string> {};
    auto in = std::istringstream { text };
    for (auto part = std::string {}; std::getline(in, part, mark);)
        parts.push_back(part);
    return parts;
}

/// Appends whole lines, also beside other processes.
class Record
{
public:
    explicit Record(const std::string &file)
        : descriptor_(::open(file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644))
    { }
    auto note(const std::string &line) const -> void
    {
        const auto text = std::to_string(nowMs()) + " " + line + "\n";
        [[maybe_unused]] const auto written = ::write(descriptor_, text.data(), text.size());
    }

private:
    int descriptor_;
};

auto addressOf(const std::string &text) -> sockaddr_in
{
    const auto colon = text.find(':');
    auto address = sockaddr_in {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(std::atoi(text.substr(colon + 1).c_str())));
    ::inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
    return address;
}

auto lower(std::string text) -> std::string
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

/// A message: its first line, its headers by lower-case names, and its body.
struct Message
{
    std::string first;
    Words headers;
    std::string body;
    auto get(const std::string &name) const -> std::string
    {
        const auto found = headers.find(lower(name));
        return found == headers.end() ? std::string {} : found->second;
    }
    auto status() const -> int
    {
        return first.starts_with("HTTP/1.") && first.size() > 12 ? std::atoi(first.c_str() + 9) : 0;
    }
};

class Connection
{
public:
    explicit Connection(int descriptor)
        : descriptor_(descriptor)
    {
        const auto on = 1;
        ::setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~Connection() { ::close(descriptor_); }
    Connection(const Connection &) = delete;
    auto operator=(const Connection &) -> Connection & = delete;

    static auto open(const std::string &to, int limitMs) -> int
    {
        const auto descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        const auto address = addressOf(to);
        auto failed = ::connect(descriptor, reinterpret_cast<const sockaddr *>(&address),
                                sizeof address)
                != 0;
        if (failed && errno == EINPROGRESS) {
            auto waited = pollfd { descriptor, POLLOUT, 0 };
            auto error = 0;
            auto size = socklen_t { sizeof error };
            failed = ::poll(&waited, 1, limitMs) != 1
                    || ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) != 0
                    || error != 0;
        }
        if (failed) {
            ::close(descriptor);
            return -1;
        }
        ::fcntl(descriptor, F_SETFL, 0);
        return descriptor;
    }
    auto send(const std::string &bytes) const -> bool
    {
        for (auto sent = std::size_t { 0 }; sent < bytes.size();) {
            const auto part = ::send(descriptor_, bytes.data() + sent, bytes.size() - sent,
                                     MSG_NOSIGNAL);
            if (part <= 0)
                return false;
            sent += static_cast<std::size_t>(part);
        }
        return true;
    }
    /// @return false at the end of the connection or of the time; see hasEnded()
    auto fillBuffer(long long untilMs) -> bool
    {
        auto waited = pollfd { descriptor_, POLLIN, 0 };
        const auto left = static_cast<int>(std::max(untilMs - nowMs(), 0LL));
        if (::poll(&waited, 1, left) != 1)
            return false;
        auto bytes = std::string(65536, '\0');
        const auto count = ::recv(descriptor_, bytes.data(), bytes.size(), 0);
        hasEnded_ = count <= 0;
        if (count > 0)
            buffer_.append(bytes, 0, static_cast<std::size_t>(count));
        return count > 0;
    }
    auto hasEnded() const -> bool { return hasEnded_; }
    /// Reads a message whose body has a length; one with status 1xx, 204 or 304 has none.
    auto read(Message &message, long long untilMs) -> bool
    {
        auto end = std::string::npos;
        while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
            if (!fillBuffer(untilMs))
                return false;
        }
        auto lines = split(buffer_.substr(0, end), '\n');
        buffer_.erase(0, end + 4);
        message = {};
        for (auto &line : lines) {
            if (!line.empty() && line.back() == '\r')
                line.pop_back();
            const auto colon = line.find(':');
            if (message.first.empty())
                message.first = line;
            else if (colon != std::string::npos)
                message.headers[lower(line.substr(0, colon))]
                        = line.substr(std::min(line.find_first_not_of(' ', colon + 1), line.size()));
        }
        const auto status = message.status();
        const auto length = (status >= 100 && status < 200) || status == 204 || status == 304
                ? std::size_t { 0 }
                : static_cast<std::size_t>(std::atoll(message.get("content-length").c_str()));
        while (buffer_.size() < length) {
            if (!fillBuffer(untilMs))
                return false;
        }
        message.body = buffer_.substr(0, length);
        buffer_.erase(0, length);
        return true;
    }

    /// @param chunk empty for the last one
    auto readChunk(std::string &chunk, long long untilMs) -> bool
    {
        auto end = std::string::npos;
        while ((end = buffer_.find("\r\n")) == std::string::npos) {
            if (!fillBuffer(untilMs))
                return false;
        }
        const auto size = std::strtoul(buffer_.c_str(), nullptr, 16);
        while (buffer_.size() < end + 2 + size + 2) {
            if (!fillBuffer(untilMs))
                return false;
        }
        chunk = buffer_.substr(end + 2, size);
        buffer_.erase(0, end + 2 + size + 2);
        return true;
    }

private:
    int descriptor_;
    std::string buffer_;
    bool hasEnded_ = false;
};

/// @return the status; 0 without an answer
auto call(const std::string &method, const std::string &to, const std::string &path,
          const std::string &body, int limitMs, std::string &answer) -> int
{
    const auto descriptor = Connection::open(to, limitMs);
    if (descriptor < 0)
        return 0;
    auto connection = Connection { descriptor };
    auto message = Message {};
    const auto isAnswered
            = connection.send(method + " " + path + " HTTP/1.1\r\nHost: " + to
                              + "\r\nContent-Type: application/json\r\nConnection: close\r\n"
                              + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body)
            && connection.read(message, nowMs() + limitMs);
    answer = message.body;
    return isAnswered ? message.status() : 0;
}

/// Keys: id, service, listen, zone, slots, controls (in the order in which they are called),
/// work (ms), interim (status codes by commas that precede an answer, in turn), version (of its
/// software), tells-start (1: it states when it was started), silent (ms until its first heartbeat),
/// beats (how many heartbeats it sends; 0: no end),
/// events (of each answer; 0: answers are no streams), gap (ms between events), record, names.
class Server
{
public:
    explicit Server(Words options)
        : options_(std::move(options))
        , names_(readNames(options_["names"]))
        , record_(options_["record"])
        , id_(options_["id"])
    { }

    auto run() -> int
    {
        const auto listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto on = 1;
        ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const auto address = addressOf(options_["listen"]);
        if (::bind(listener, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
            || ::listen(listener, 512) != 0) {
            std::perror("listen");
            return 2;
        }
        std::thread { [this] { sendHeartbeats(); } }.detach();
        while (true) {
            const auto descriptor = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor >= 0)
                std::thread { [this, descriptor] { serve(descriptor); } }.detach();
        }
    }

private:
    auto sendHeartbeats() -> void
    {
        constexpr auto everyMs = 1200;
        constexpr auto answerMs = 1000;
        const auto controls = split(options_["controls"], ',');
        const auto start_field = options_["tells-start"] == "1"
                ? fill(names_["tells-start"], { { "since", std::to_string(nowMs()) } })
                : std::string {};
        sleepMs(std::atoll(options_["silent"].c_str()));
        const auto most = std::atoi(options_["beats"].c_str());
        for (auto sequence = 1; most == 0 || sequence <= most; ++sequence) {
            const auto values = Words { { "id", id_ },
                                        { "service", options_["service"] },
                                        { "addr", options_["listen"] },
                                        { "zone", options_["zone"] },
                                        { "slots", options_["slots"] },
                                        { "version", options_["version"] },
                                        { "tells-start", start_field },
                                        { "seq", std::to_string(sequence) } };
            const auto path = fill(names_["beat-path"], values);
            const auto body = fill(names_["beat-body"], values);
            for (const auto &control : controls) {
                auto answer = std::string {};
                const auto status = call("POST", control, path, body, answerMs, answer);
                record_.note("heartbeat " + id_ + " to " + control + " status "
                             + std::to_string(status));
                if (status / 100 == 2)
                    break;
            }
            sleepMs(everyMs);
        }
    }

    auto serve(int descriptor) -> void
    {
        constexpr auto idleMs = 60000;
        auto connection = Connection { descriptor };
        auto request = Message {};
        while (connection.read(request, nowMs() + idleMs)) {
            if (!answer(connection, request))
                return;
        }
    }

    auto answer(Connection &connection, const Message &request) -> bool
    {
        const auto isHealth = request.first.find(" /health") != std::string::npos;
        const auto request_id = request.get(names_["request-id"]);
        const auto meant = request.get(names_["meant"]);
        const auto named = names_["self"] + ": " + id_ + "\r\n"
                + (request_id.empty() ? std::string {}
                                      : names_["request-id"] + ": " + request_id + "\r\n");
        if (!meant.empty() && meant != id_) {
            record_.note("reject " + request_id + " at " + id_);
            return connection.send("HTTP/1.1 421 Misdirected Request\r\n" + named
                                   + names_["not-run"] + ": 1\r\nContent-Length: 0\r\n\r\n");
        }
        if (isHealth)
            return connection.send("HTTP/1.1 200 OK\r\n" + named + "Content-Length: 0\r\n\r\n");
        record_.note("run " + request_id + " at " + id_);
        if (const auto interim = split(options_["interim"], ','); !interim.empty()) {
            const auto &code = interim[count_++ % interim.size()];
            record_.note("interim " + request_id + " status " + code);
            connection.send("HTTP/1.1 " + code + " Interim\r\n" + names_["request-id"] + ": "
                            + request_id + "\r\n\r\n");
        }
        sleepMs(std::atoll(options_["work"].c_str()));
        if (std::atoi(options_["events"].c_str()) > 0)
            return stream(connection, request, named);
        const auto body = "answer to " + request_id;
        record_.note("answer " + request_id + " status 200");
        return connection.send("HTTP/1.1 200 OK\r\n" + named + names_["stamp"] + ": " + id_ + "."
                               + request_id + "\r\nContent-Length: " + std::to_string(body.size())
                               + "\r\n\r\n" + body);
    }

    /// Goes on after the event that the request names.
    auto stream(Connection &connection, const Message &request, const std::string &named) -> bool
    {
        const auto request_id = request.get(names_["request-id"]);
        const auto last = std::atoi(request.get(names_["last-event"]).c_str());
        record_.note("stream " + request_id + " at " + id_ + " version " + options_["version"]
                     + " after " + std::to_string(last));
        auto isSent = connection.send("HTTP/1.1 200 OK\r\n" + named + names_["stamp"] + ": " + id_
                                      + "." + request_id
                                      + "\r\nContent-Type: text/event-stream\r\n"
                                        "Transfer-Encoding: chunked\r\n\r\n");
        for (auto event = last + 1; isSent && event <= std::atoi(options_["events"].c_str());
             ++event) {
            const auto text = "id: " + std::to_string(event) + "\ndata: " + id_ + " "
                    + options_["version"] + "\n\n";
            auto size = std::stringstream {};
            size << std::hex << text.size();
            isSent = connection.send(size.str() + "\r\n" + text + "\r\n");
            sleepMs(std::atoll(options_["gap"].c_str()));
        }
        return isSent && connection.send("0\r\n\r\n");
    }

    Words options_;
    Words names_;
    Record record_;
    std::string id_;
    std::atomic<std::size_t> count_ { 0 };
};

/// Sends a request and waits for its final answer; interim ones are read and passed over.
/// @return how it ended: "status N", "closed" or "waiting"
auto ask(Connection &connection, const std::string &head, const std::string &body,
         const std::string &id, long long untilMs) -> std::string
{
    if (!connection.send(head) || !connection.send(body))
        return "closed";
    auto message = Message {};
    do {
        if (!connection.read(message, untilMs))
            return connection.hasEnded() ? "closed" : "waiting";
    } while (message.status() >= 100 && message.status() < 200);
    if (message.status() == 200 && message.body != "answer to " + id)
        return "foreign";
    return "status " + std::to_string(message.status());
}

/// Keys: gateways, host, path, count, pause (ms between the requests of a client), seconds,
/// deadline (ms), patience (ms until a request counts as unanswered), prefix, record, names.
auto runClients(Words options) -> int
{
    const auto names = readNames(options["names"]);
    const auto record = Record { options["record"] };
    const auto gateways = split(options["gateways"], ',');
    const auto end = nowMs() + std::atoll(options["seconds"].c_str()) * 1000;
    auto threads = std::vector<std::thread> {};
    const auto client = [&](int number) {
        const auto &gateway = gateways[static_cast<std::size_t>(number) % gateways.size()];
        auto connection = std::unique_ptr<Connection> {};
        for (auto sent = 0; nowMs() < end; ++sent) {
            sleepMs(std::atoll(options["pause"].c_str()));
            if (!connection) {
                const auto descriptor = Connection::open(gateway, 1000);
                if (descriptor < 0)
                    continue;
                connection = std::make_unique<Connection>(descriptor);
            }
            const auto id = options["prefix"] + std::to_string(number) + "-" + std::to_string(sent);
            const auto body = "work of " + id;
            const auto head = "POST " + options["path"] + id + " HTTP/1.1\r\nHost: "
                    + options["host"] + "\r\n" + names.at("request-id") + ": " + id + "\r\n"
                    + names.at("deadline") + ": " + options["deadline"]
                    + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
            const auto sentAt = nowMs();
            record.note("sent " + id + " to " + gateway);
            const auto outcome = ask(*connection, head, body, id,
                                     sentAt + std::atoll(options["patience"].c_str()));
            record.note("ended " + id + " sent_at " + std::to_string(sentAt) + " " + outcome);
            if (!outcome.starts_with("status"))
                connection.reset();
        }
    };
    for (auto number = 0; number < std::atoi(options["count"].c_str()); ++number)
        threads.emplace_back(client, number);
    for (auto &thread : threads)
        thread.join();
    return 0;
}

/// Keys: gateway, host, path, count, every (ms between two), bytes, deadline, prefix, record, names.
auto runUploads(Words options) -> int
{
    const auto names = readNames(options["names"]);
    const auto record = Record { options["record"] };
    const auto body = std::string(static_cast<std::size_t>(std::atoll(options["bytes"].c_str())), 'b');
    auto threads = std::vector<std::thread> {};
    const auto client = [&](int number) {
        const auto id = options["prefix"] + std::to_string(number);
        const auto descriptor = Connection::open(options["gateway"], 1000);
        if (descriptor < 0) {
            record.note("upload " + id + " not connected");
            return;
        }
        auto connection = Connection { descriptor };
        const auto head = "POST " + options["path"] + id + " HTTP/1.1\r\nHost: " + options["host"]
                + "\r\n" + names.at("request-id") + ": " + id + "\r\n" + names.at("deadline") + ": "
                + options["deadline"] + "\r\nContent-Length: " + std::to_string(body.size())
                + "\r\n\r\n";
        record.note("upload " + id + " bytes " + std::to_string(body.size()) + " to "
                    + options["gateway"]);
        const auto until = nowMs() + std::atoll(options["deadline"].c_str());
        record.note("uploaded " + id + " " + ask(connection, head, body, id, until));
    };
    for (auto number = 0; number < std::atoi(options["count"].c_str()); ++number) {
        threads.emplace_back(client, number);
        sleepMs(std::atoll(options["every"].c_str()));
    }
    for (auto &thread : threads)
        thread.join();
    return 0;
}

struct Event
{
    int number = 0;
    std::string version;
};

/// Reads a stream of events in chunks into the list. @return true if it is whole
auto readStream(Connection &connection, long long untilMs, std::vector<Event> &events, int &status)
        -> bool
{
    auto head = Message {};
    if (!connection.read(head, untilMs))
        return false;
    status = head.status();
    if (status != 200 || head.get("transfer-encoding") != "chunked")
        return false;
    auto text = std::string {};
    auto isWhole = false;
    while (true) {
        auto chunk = std::string {};
        if (!connection.readChunk(chunk, untilMs))
            break;
        isWhole = chunk.empty();
        if (isWhole)
            break;
        text += chunk;
    }
    for (auto end = text.find("\n\n"); end != std::string::npos; end = text.find("\n\n")) {
        auto event = Event {};
        for (const auto &line : split(text.substr(0, end), '\n')) {
            if (line.starts_with("id: "))
                event.number = std::atoi(line.c_str() + 4);
            if (line.starts_with("data: "))
                event.version = line.substr(line.rfind(' ') + 1);
        }
        events.push_back(event);
        text.erase(0, end + 2);
    }
    return isWhole;
}

/// Each client asks for one stream and takes it up again where it breaks off. Keys: gateways, host,
/// path, count, deadline, tries, pause (ms before it is taken up again), prefix, record, names.
auto runStreams(Words options) -> int
{
    const auto names = readNames(options["names"]);
    const auto record = Record { options["record"] };
    const auto gateways = split(options["gateways"], ',');
    auto threads = std::vector<std::thread> {};
    const auto client = [&](int number) {
        auto events = std::vector<Event> {};
        auto first = std::string {}; // The attempt that brought the first event.
        auto isWhole = false;
        for (auto attempt = 0; !isWhole && attempt < std::atoi(options["tries"].c_str()); ++attempt) {
            if (attempt > 0)
                sleepMs(std::atoll(options["pause"].c_str()));
            const auto id = options["prefix"] + std::to_string(number) + "-" + std::to_string(attempt);
            const auto &gateway = gateways[static_cast<std::size_t>(number + attempt) % gateways.size()];
            const auto descriptor = Connection::open(gateway, 1000);
            if (descriptor < 0)
                continue;
            auto connection = Connection { descriptor };
            const auto body = "stream " + std::to_string(number);
            auto head = "POST " + options["path"] + std::to_string(number) + " HTTP/1.1\r\nHost: "
                    + options["host"] + "\r\n" + names.at("request-id") + ": " + id + "\r\n"
                    + names.at("deadline") + ": " + options["deadline"] + "\r\n";
            if (!events.empty()) {
                head += names.at("last-event") + ": " + std::to_string(events.back().number) + "\r\n"
                        + names.at("resumes") + ": " + first + "\r\n";
            }
            head += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
            record.note("sent " + id + " to " + gateway + " after "
                        + std::to_string(events.empty() ? 0 : events.back().number));
            auto status = 0;
            const auto held = events.size();
            if (connection.send(head) && connection.send(body)) {
                isWhole = readStream(connection, nowMs() + std::atoll(options["deadline"].c_str()),
                                     events, status);
            }
            if (first.empty() && !events.empty())
                first = id;
            record.note("ended " + id + " status " + std::to_string(status) + " events "
                        + std::to_string(events.size() - held) + (isWhole ? " whole" : " broken"));
        }
        auto versions = std::string {};
        for (const auto &event : events) {
            if (versions.find(event.version) == std::string::npos)
                versions += (versions.empty() ? "" : "+") + event.version;
        }
        record.note("held " + options["prefix"] + std::to_string(number) + " events "
                    + std::to_string(events.size()) + " versions " + versions);
    };
    for (auto number = 0; number < std::atoi(options["count"].c_str()); ++number)
        threads.emplace_back(client, number);
    for (auto &thread : threads)
        thread.join();
    return 0;
}

auto printPorts(int count) -> int
{
    auto descriptors = std::vector<int> {};
    for (auto i = 0; i < count; ++i) {
        const auto descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
        auto address = sockaddr_in {};
        address.sin_family = AF_INET;
        auto size = socklen_t { sizeof address };
        ::bind(descriptor, reinterpret_cast<sockaddr *>(&address), size);
        ::getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &size);
        std::cout << ntohs(address.sin_port) << '\n';
        descriptors.push_back(descriptor);
    }
    for (const auto descriptor : descriptors)
        ::close(descriptor);
    return 0;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    std::signal(SIGPIPE, SIG_IGN);
    const auto words = std::vector<std::string> { argv + 1, argv + argc };
    if (words.empty())
        return 2;
    auto options = Words {};
    for (const auto &word : words) {
        const auto equals = word.find('=');
        if (equals != std::string::npos)
            options[word.substr(0, equals)] = word.substr(equals + 1);
    }
    if (words[0] == "ports" && words.size() == 2)
        return printPorts(std::atoi(words[1].c_str()));
    if (words[0] == "call" && words.size() >= 4) {
        auto body = std::stringstream {};
        if (words.size() > 4)
            body << std::ifstream { words[4] }.rdbuf();
        auto answer = std::string {};
        std::cout << call(words[1], words[2], words[3], body.str(), 3000, answer) << '\n';
        std::cout << answer << '\n';
        return 0;
    }
    if (words[0] == "server")
        return Server { std::move(options) }.run();
    if (words[0] == "clients")
        return runClients(std::move(options));
    if (words[0] == "streams")
        return runStreams(std::move(options));
    if (words[0] == "uploads")
        return runUploads(std::move(options));
    return 2;
}
