#ifndef ENDPOINTCACHEFILE_H_INCLUDED
#define ENDPOINTCACHEFILE_H_INCLUDED

#include "process/registry.h"
#include "process/storage.h"

#include <memory>
#include <vector>

namespace liftweir {

// The endpoints that a control host knew a moment ago, on its disk. After a loss of power on all
// hosts, entry hosts can serve by it until the endpoints have registered again. It is a hint: what
// endpoints say themselves always goes first, and groups are never formed by it.
//
// Writing goes on in a thread of its own, since a disk may stand still for seconds. A write that
// fails is logged, and the next one tries again.
class EndpointCacheFile {
  public:
    // `storage` has to stay usable while the last write goes on.
    explicit EndpointCacheFile(std::shared_ptr<Storage> storage);
    ~EndpointCacheFile();
    EndpointCacheFile(const EndpointCacheFile&) = delete;
    EndpointCacheFile& operator=(const EndpointCacheFile&) = delete;

    // What was kept before this process began; empty where there is nothing, or nothing readable.
    std::vector<EndpointReport> load() const;
    // Replaces what is kept, soon, by the endpoints that serve and were heard since `since`. A
    // write that is still waiting is replaced by this one; what is kept already is not written
    // again.
    void keep(const Registry& registry, Time since);

  private:
    class Writer;

    std::shared_ptr<Storage> storage_;
    std::shared_ptr<Writer> writer_;
    std::string kept_; // the bytes of the last write that was asked for
};

} // namespace liftweir

#endif // ENDPOINTCACHEFILE_H_INCLUDED
