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
    // A whole answer, or how it failed. `started` is false where the endpoint never saw it.
    std::function<void(Expected<int>, bool started)> on_done;
};

// Unsure where the answer came too late to tell.
enum class EndpointHealth : std::uint8_t { Serving, Ended, Unsure };

// What an agent sits beside: a model engine or a plain service.
class Endpoint {
  public:
    virtual ~Endpoint() = default;

    // Brings the endpoint into a known, empty state after a restart of the agent: waits out or
    // undoes what the agent before may have ordered.
    virtual void reset(std::function<void(bool ok)> done) = 0;
    // Loads the model for one group. Fenced by the epoch where the engine checks fences.
    virtual void load(const Assignment& assignment, bool lead,
                      std::function<void(bool ok)> done) = 0;
    // Leaves the group; the weights may stay.
    virtual void release(Epoch epoch, std::function<void(bool ok)> done) = 0;

    virtual HttpCallId start(const Attempt& attempt, EndpointCallbacks callbacks) = 0;
    virtual void resume(HttpCallId call) = 0;
    virtual void cancel(HttpCallId call, const AttemptId& attempt) = 0;
    // Whether the process that loaded `epoch` is still there; one that was started again since is
    // not. Only asked after a load has finished.
    virtual void probe(Epoch epoch, std::function<void(EndpointHealth)> done) = 0;
    virtual bool can_resume_streams() const = 0;
};

std::unique_ptr<Endpoint> make_engine(asio::io_context& io, std::string url, bool checks_fence);
std::unique_ptr<Endpoint> make_service(asio::io_context& io, std::string url);

std::string to_text(const AttemptId& id);

} // namespace liftweir

#endif // ENDPOINT_H_INCLUDED
