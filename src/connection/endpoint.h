// How an agent drives the endpoint on its own host: load, release, requests and health checks.

#ifndef ENDPOINT_H_INCLUDED
#define ENDPOINT_H_INCLUDED

#include "connection/httpclient.h"
#include "connection/wire.h"

#include <functional>
#include <memory>
#include <string>

namespace liftweir {

struct EndpointCallbacks {
    std::function<void(int status, const std::string& content_type)> on_head;
    std::function<bool(std::string_view)> on_data; // false pauses until resume()
    // Status of a complete response, or the failure. `started` is false if the endpoint never
    // received the request.
    std::function<void(Expected<int>, bool started)> on_done;
};

// Unknown: the endpoint did not reply in time, so that nothing can be concluded.
enum class EndpointHealth : std::uint8_t { Serving, Ended, Unknown };

// The process that an agent manages: a model engine or a plain service.
class Endpoint {
  public:
    virtual ~Endpoint() = default;

    // Brings the endpoint into a known, empty state after a restart of the agent: waits for or
    // undoes the orders that the previous agent process may have sent.
    virtual void reset(std::function<void(bool ok)> done) = 0;
    // Loads the model for one group, fenced by the epoch if the engine checks fences.
    virtual void load(const Assignment& assignment, bool lead,
                      std::function<void(bool ok)> done) = 0;
    // Ends the membership of the group; the weights may stay loaded.
    virtual void release(Epoch epoch, std::function<void(bool ok)> done) = 0;

    virtual HttpCallId start(const Attempt& attempt, EndpointCallbacks callbacks) = 0;
    virtual void resume(HttpCallId call) = 0;
    virtual void cancel(HttpCallId call, const AttemptId& attempt) = 0;
    // Reports whether the process that loaded `epoch` still runs; a process that was restarted
    // since counts as ended. Called only after a load has finished.
    virtual void probe(Epoch epoch, std::function<void(EndpointHealth)> done) = 0;
    virtual bool can_resume_streams() const = 0;
};

std::unique_ptr<Endpoint> make_engine(asio::io_context& io, std::string url, bool checks_fence);
std::unique_ptr<Endpoint> make_service(asio::io_context& io, std::string url);

std::string to_text(const AttemptId& id);

} // namespace liftweir

#endif // ENDPOINT_H_INCLUDED
