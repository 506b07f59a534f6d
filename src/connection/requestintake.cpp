// How ServerConnection bounds the memory and the time that requests take while they are read.

#include "connection/serverconnection.h"

#include <algorithm>
#include <utility>

namespace liftweir {

namespace {

// What the kernel holds for a connection that is not read.
constexpr std::size_t UnreadInKernel = 128u << 10;
// Two strings, without the characters of long ones.
constexpr std::size_t BytesPerHeader = 96;
// A caller that sends a body brings this many bytes within this time.
constexpr std::size_t ProgressBytes = 4096;
constexpr Duration StallTime = std::chrono::milliseconds(500);
// A body whose bytes come now and then ends after this many header timeouts, and a second more for
// each of these bytes.
constexpr int BodyTimeouts = 4;
constexpr std::size_t MinBytesPerSecond = 512;

} // namespace

// A larger body could not be held beside its head, even with no other request there.
std::size_t ServerConnection::largest_body() const {
    const std::size_t limit = core_->requests->limit();
    const std::size_t head = core_->limits.header_bytes + BytesPerHeader * MaxHeaderCount;
    return std::min(core_->limits.body_bytes, (limit - std::min(limit, head)) / 2);
}

bool ServerConnection::stalled() const {
    if (write_active_)
        return false;
    if (phase_ == Phase::Body)
        return BootClock::now() - sent_last_ > StallTime;
    return phase_ == Phase::Idle || phase_ == Phase::Head || phase_ == Phase::Lingering;
}

// Bytes times seconds for which a request has been held while its caller stalls, or while it waits
// behind one in progress. Zero if it does not give way.
double ServerConnection::idle_memory(Time now) const {
    const Duration idle = now - sent_last_;
    if (idle <= StallTime)
        return 0;
    if (phase_ == Phase::Working)
        return static_cast<double>(buffered_charge_.bytes()) * to_seconds(idle);
    if (phase_ != Phase::Head && phase_ != Phase::Body)
        return 0;
    const std::size_t body = message_.body ? message_.body->capacity() : 0;
    return static_cast<double>(message_.head_charge.bytes() + body) * to_seconds(idle);
}

void ServerConnection::give_way() {
    if (phase_ == Phase::Working)
        drop_pipelined();
    else
        refuse(503);
}

// Requests whose callers have stalled give way to one whose caller sends. None of them has run.
bool ServerConnection::make_room(std::size_t before, std::size_t after) {
    const Time now = BootClock::now();
    while (!core_->requests->allows_change(before, after)) {
        ConnectionPtr first;
        for (const ConnectionPtr& other : core_->connections)
            if (other.get() != this &&
                other->idle_memory(now) > (first ? first->idle_memory(now) : 0))
                first = other;
        if (!first)
            return false;
        first->give_way();
    }
    return true;
}

bool ServerConnection::hold_head() {
    MemoryCharge& charge = message_.head_charge;
    const std::size_t bytes = head_bytes_ + BytesPerHeader * message_.headers.size();
    if (charge.bytes() == 0)
        charge = MemoryCharge(core_->requests);
    if (!make_room(charge.bytes(), bytes))
        return false;
    charge.set(bytes);
    return true;
}

bool ServerConnection::hold_body(std::size_t size) {
    if (!message_.body)
        message_.body = std::make_shared<RequestBody>(core_->requests);
    RequestBody& body = *message_.body;
    const bool known = (parser_.flags & F_CHUNKED) == 0;
    const std::size_t expected = known ? size + parser_.content_length : largest_body();
    const std::size_t wanted = known && expected <= MaxUnscreenedBody ? expected : size;
    const std::size_t capacity = body.capacity_for(wanted, expected);
    if (capacity > body.capacity() && !make_room(body.capacity(), capacity))
        return false;
    body.grow(capacity);
    return true;
}

void ServerConnection::hold_pipelined(std::string_view bytes) {
    if (drops_buffered_)
        return;
    const std::size_t size = buffered_.size() + bytes.size();
    const std::size_t held = 2 * size + (size > MaxBufferedBytes ? UnreadInKernel : 0);
    if (make_room(buffered_charge_.bytes(), held)) {
        buffered_charge_.set(held);
        buffered_.append(bytes);
        return;
    }
    drop_pipelined();
}

// The response in progress becomes the last one: the requests behind it are discarded and not run.
void ServerConnection::drop_pipelined() {
    buffered_ = {};
    buffered_charge_.set(0);
    close_after_ = drops_buffered_ = true;
    read_more();
}

void ServerConnection::note_body_bytes(std::size_t count) {
    const Time now = BootClock::now();
    body_bytes_ += count;
    unnoted_bytes_ += count;
    if (unnoted_bytes_ >= ProgressBytes) {
        unnoted_bytes_ = 0;
        sent_last_ = now;
    }
    const Duration extra = std::chrono::seconds(body_bytes_ / MinBytesPerSecond);
    deadline_ = std::min(now + core_->limits.header_timeout,
                         body_began_ + BodyTimeouts * core_->limits.header_timeout + extra);
}

} // namespace liftweir
