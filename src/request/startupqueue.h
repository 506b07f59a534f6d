// Queue for requests that reach liftweir-site-entry before it has received its first settings.

#ifndef STARTUPQUEUE_H_INCLUDED
#define STARTUPQUEUE_H_INCLUDED

#include "connection/httpserver.h"
#include "request/callerprotocol.h"

#include <memory>
#include <vector>

namespace liftweir {

// Holds early requests until the first settings arrive or the hold time ends. Rejecting them at
// once would cost each caller one of its few attempts.
class StartupQueue {
  public:
    struct QueuedRequest {
        std::shared_ptr<HttpExchange> exchange;
        CallerRequest request;
        Time until{}; // rejected then
    };

    // False if the queue is full: the request has to be rejected at once.
    bool add(const std::shared_ptr<HttpExchange>& exchange, const CallerRequest& request, Time now);
    // Takes out all requests whose callers are still connected, in the order of their arrival.
    std::vector<QueuedRequest> release();
    // Takes out the requests whose hold time has ended and that have to be rejected now.
    std::vector<QueuedRequest> expired(Time now);
    std::size_t size() const { return queued_.size(); }

  private:
    struct Entry {
        QueuedRequest queued;
        std::shared_ptr<bool> disconnected; // the caller disconnected
    };

    std::vector<Entry> queued_;
};

} // namespace liftweir

#endif // STARTUPQUEUE_H_INCLUDED
