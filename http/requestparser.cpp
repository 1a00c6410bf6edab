// Beast's parser does the grammar and the two size limits. It leaves two things
// to its user: a header or chunk line that is not whole yet stays with the
// caller, so the caller's own buffer must be bounded too; and the target is
// taken as it is, so that the path is split off and decoded here.

#include "http/requestparser.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include "core/error.h"
#include "http/growingbody.h"
#include "http/lastchunk.h"

namespace figrack::http {

namespace beast = boost::beast;

class RequestParser::Impl
{
public:
    explicit Impl(const ParseLimits &limits)
    {
        parser.eager(true);
        parser.header_limit(static_cast<std::uint32_t>(limits.maxHeaderBytes));
        parser.body_limit(limits.maxBodyBytes);
    }
    beast::http::request_parser<GrowingBody> parser;
    LastChunkGuard lastChunk;
};

namespace {

auto toView(beast::string_view text) -> std::string_view
{
    return { text.data(), text.size() };
}

auto hexValue(char digit) -> int
{
    if (digit >= '0' && digit <= '9')
        return digit - '0';
    if (digit >= 'a' && digit <= 'f')
        return digit - 'a' + 10;
    if (digit >= 'A' && digit <= 'F')
        return digit - 'A' + 10;
    return -1;
}

auto parseFailure(const beast::error_code &code) -> absl::Status
{
    if (code == beast::http::error::header_limit)
        return makeError(ErrorKind::TooLarge, "part=header");
    if (code == beast::http::error::body_limit)
        return makeError(ErrorKind::TooLarge, "part=body");
    return makeError(ErrorKind::BadRequest, "part=http reason=" + code.message());
}

} // namespace

auto percentDecode(std::string_view text, std::string &decoded) -> bool
{
    decoded.clear();
    for (auto i = std::size_t { 0 }; i < text.size(); ++i) {
        if (text[i] != '%') {
            decoded += text[i];
            continue;
        }
        const auto high = i + 2 < text.size() ? hexValue(text[i + 1]) : -1;
        const auto low = i + 2 < text.size() ? hexValue(text[i + 2]) : -1;
        if (high < 0 || low < 0)
            return false;
        decoded += static_cast<char>(high * 16 + low);
        i += 2;
    }
    return true;
}

RequestParser::RequestParser(ParseLimits limits)
    : limits_(limits)
    , impl_(std::make_unique<Impl>(limits))
{ }

RequestParser::~RequestParser() = default;

auto RequestParser::put(std::string_view bytes) -> std::size_t
{
    auto consumed = std::size_t { 0 };
    while (state_ == ParseState::NeedsMore && consumed < bytes.size()) {
        const auto rest = bytes.substr(consumed);
        if (hasHeader() && !impl_->lastChunk.mayPut(rest))
            break;
        auto code = beast::error_code {};
        const auto used = impl_->parser.put(boost::asio::buffer(rest.data(), rest.size()), code);
        consumed += used;
        impl_->lastChunk.onLeft(bytes.size() - consumed);
        if (code && code != beast::http::error::need_more)
            fail(parseFailure(code));
        else if (impl_->parser.is_done())
            finish();
        else if (code == beast::http::error::need_more || used == 0)
            break;
    }
    // What is left over belongs to one header or one chunk line.
    if (state_ == ParseState::NeedsMore && bytes.size() - consumed > limits_.maxHeaderBytes)
        fail(makeError(ErrorKind::TooLarge, "part=line"));
    return consumed;
}

auto RequestParser::fail(absl::Status error) -> void
{
    state_ = ParseState::Failed;
    error_ = std::move(error);
}

auto RequestParser::finish() -> void
{
    auto &message = impl_->parser.get();
    const auto target = toView(message.target());
    const auto mark = target.find('?');
    if (target.empty() || target.front() != '/')
        return fail(makeError(ErrorKind::BadRequest, "part=target"));
    if (!percentDecode(target.substr(0, mark), request_.path))
        return fail(makeError(ErrorKind::BadRequest, "part=target reason=bad percent escape"));
    if (mark != std::string_view::npos)
        request_.query = target.substr(mark + 1);
    request_.target = target;
    request_.method = toView(message.method_string());
    for (const auto &field : message) {
        request_.headers.push_back({ std::string { toView(field.name_string()) },
                                     std::string { toView(field.value()) } });
    }
    request_.body = std::move(message.body());
    state_ = ParseState::Done;
}

auto RequestParser::hasHeader() const -> bool
{
    return impl_->parser.is_header_done();
}

auto RequestParser::expectsContinue() const -> bool
{
    return hasHeader() && state_ == ParseState::NeedsMore
            && beast::iequals(impl_->parser.get()[beast::http::field::expect], "100-continue");
}

auto RequestParser::bodyCapacity() const -> std::size_t
{
    return state_ == ParseState::Done ? request_.body.capacity()
                                      : impl_->parser.get().body().capacity();
}

auto RequestParser::isHttp10() const -> bool
{
    return hasHeader() && impl_->parser.get().version() < 11;
}

auto RequestParser::keepAlive() const -> bool
{
    return hasHeader() && impl_->parser.keep_alive();
}

auto RequestParser::take() -> Request
{
    return std::move(request_);
}

} // namespace figrack::http
