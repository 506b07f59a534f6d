// The endpoint cache: the endpoints that a control host knows, stored on its disk.
// Runs in liftweir-site-control.

#ifndef ENDPOINTCACHEFILE_H_INCLUDED
#define ENDPOINTCACHEFILE_H_INCLUDED

#include "process/registry.h"
#include "process/storage.h"

#include <memory>
#include <vector>

namespace liftweir {

// The endpoints of a control host, and which leaves its log had forgotten when it stored them. The
// list may name endpoints that have left since; the log tells which, until it forgets that too.
struct CachedEndpoints {
    std::vector<EndpointReport> reports;
    Version leaves_forgotten = 0; // Departures::forgotten

    auto operator<=>(const CachedEndpoints&) const = default;
    MSGPACK_DEFINE(reports, leaves_forgotten)
};

// After a power failure of all hosts, entry hosts can serve with this cache until the endpoints
// have registered again. It is only a hint: reports of the endpoints take precedence, and groups
// are never formed from it.
//
// A separate thread writes the file, since a disk may stall for seconds. A write that fails is
// logged and retried.
class EndpointCacheFile {
  public:
    // `storage` must remain usable until the last write has ended.
    explicit EndpointCacheFile(std::shared_ptr<Storage> storage);
    ~EndpointCacheFile();
    EndpointCacheFile(const EndpointCacheFile&) = delete;
    EndpointCacheFile& operator=(const EndpointCacheFile&) = delete;

    // What was stored before this process started; empty if the file is missing or unreadable.
    CachedEndpoints load() const;
    // Stores, in the background, the endpoints that serve and were known to be alive at `since` or
    // later. Replaces a write that has not started yet. Contents that equal the last ones are not
    // written again.
    void keep(const Registry& registry, Time since, Version leaves_forgotten);

  private:
    class Writer;

    std::shared_ptr<Storage> storage_;
    std::shared_ptr<Writer> writer_;
    std::string last_contents_; // contents of the last requested write
};

} // namespace liftweir

#endif // ENDPOINTCACHEFILE_H_INCLUDED
