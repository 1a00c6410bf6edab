#include "proto/sharedpush.h"

#include <utility>

#include "proto/codec.h"

namespace figrack::proto {

SharedPush::SharedPush(Payload payload)
    : envelope_({ 0, std::move(payload) })
{ }

auto SharedPush::body() const -> const std::shared_ptr<const std::string> &
{
    if (!body_)
        body_ = std::make_shared<const std::string>(encode(envelope_));
    return body_;
}

} // namespace figrack::proto
