#ifndef STARTUPQUEUE_H_INCLUDED
#define STARTUPQUEUE_H_INCLUDED

#include "connection/httpserver.h"
#include "request/callerprotocol.h"

#include <memory>
#include <vector>

namespace liftweir {

// Requests that came before this entry host had its first settings. They are answered as soon as it
// has them; a caller that would have to be refused loses one of its few tries.
class StartupQueue {
  public:
    struct QueuedRequest {
        std::shared_ptr<HttpExchange> exchange;
        CallerRequest request;
        Time until{}; // given up then
    };

    // False where no more are held: the request is to be refused at once.
    bool take(const std::shared_ptr<HttpExchange>& exchange, const CallerRequest& request,
              Time now);
    // All whose callers still wait, in the order of their arrival.
    std::vector<QueuedRequest> release();
    // Those that have waited for too long, and are to be refused now.
    std::vector<QueuedRequest> expired(Time now);
    std::size_t size() const { return held_.size(); }

  private:
    struct Entry {
        QueuedRequest held;
        std::shared_ptr<bool> gone; // the caller left
    };

    std::vector<Entry> held_;
};

} // namespace liftweir

#endif // STARTUPQUEUE_H_INCLUDED
