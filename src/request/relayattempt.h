// One attempt of a RelayedCall at an endpoint (liftweir-site-entry).

#ifndef RELAYATTEMPT_H_INCLUDED
#define RELAYATTEMPT_H_INCLUDED

#include "connection/eventsplitter.h"
#include "connection/httpchannel.h"
#include "request/callerprotocol.h"
#include "request/directory.h"

#include <cstdint>
#include <memory>
#include <string>

namespace liftweir {

struct RelayAttempt {
    std::uint64_t number = 0; // unique within the call
    EndpointId endpoint;      // empty while no endpoint has the request
    std::unique_ptr<HttpCallHandle> call;
    Time sent_at{};
    Time last_event_at{};          // when it was sent until its first event
    LoadForecast forecast;         // of its pick
    bool low_priority = false;     // at the endpoint
    std::uint32_t events_seen = 0; // from the endpoint
    bool endpoint_waits = false;   // its response is not read until the caller reads

    HttpResponseHead head;
    ResponseSignals signals;
    bool streaming = false; // the response is a stream of events
    EventSplitter splitter;
    std::string body;                   // of a response without a stream
    std::size_t held = 0;               // bytes in splitter and body, as counted by MemoryBudget
    std::size_t bytes_without_data = 0; // of a stream, since its last event with data

    bool active() const { return !endpoint.empty(); }
    bool has_event() const { return events_seen > 0; }
};

} // namespace liftweir

#endif // RELAYATTEMPT_H_INCLUDED
