// Which hosts are told of a changed endpoint. Used by liftweir-site-control.

#ifndef CHANGEFEED_H_INCLUDED
#define CHANGEFEED_H_INCLUDED

#include "process/registry.h"

#include <set>
#include <utility>
#include <vector>

namespace liftweir {

// Collects changes until they are sent. Peers get every change that an endpoint reported here.
// Entry hosts get what requests can be sent to, and what they can no longer be sent to: at a site
// whose groups have N members that is one endpoint in N, and one change of several. Pure: no I/O.
class ChangeFeed {
  public:
    // The endpoint has reported the change to this host, or an operator's action ended it here.
    // `was_routable` refers to its last report known here.
    void add_reported(const EndpointReport& report, bool was_routable);
    // A peer has forwarded the change. True where entry hosts are to be told.
    bool add_forwarded(const EndpointReport& report);
    // A change that all hosts need, whatever they know.
    void add_for_all(const EndpointReport& report);

    std::vector<EndpointReport> take_for_peers() { return std::exchange(for_peers_, {}); }
    std::vector<EndpointReport> take_for_entries() { return std::exchange(for_entries_, {}); }

  private:
    std::vector<EndpointReport> for_peers_;
    std::vector<EndpointReport> for_entries_;
    std::set<EndpointId> announced_; // that this host told entry hosts are routable
};

} // namespace liftweir

#endif // CHANGEFEED_H_INCLUDED
