// Finds the blank lines that end server-sent events.

#include "connection/eventsplitter.h"

#include <algorithm>
#include <optional>

namespace liftweir {

namespace {

// Position after the blank line that closes the first event, or npos. Lines end in LF or CRLF.
std::size_t end_of_event(std::string_view text, std::size_t from) {
    for (std::size_t at = text.find('\n', from); at != std::string_view::npos;
         at = text.find('\n', at + 1)) {
        std::size_t next = at + 1;
        if (next < text.size() && text[next] == '\r')
            ++next;
        if (next < text.size() && text[next] == '\n')
            return next + 1;
    }
    return std::string_view::npos;
}

// Value of the last field of this name. A field may stand without a colon and a value.
std::optional<std::string_view> value_of_field(std::string_view event, std::string_view name) {
    std::optional<std::string_view> value;
    while (!event.empty()) {
        const auto end = std::min(event.find('\n'), event.size());
        std::string_view line = event.substr(0, end);
        event.remove_prefix(std::min(end + 1, event.size()));
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        if (line.substr(0, line.find(':')) != name)
            continue;
        line.remove_prefix(std::min(name.size() + 1, line.size()));
        if (line.starts_with(' '))
            line.remove_prefix(1);
        value = line;
    }
    return value;
}

} // namespace

std::string EventSplitter::next() {
    const std::size_t end = end_of_event(pending_, searched_);
    if (end == std::string::npos) {
        // The last three bytes may be the beginning of the line breaks that close the event.
        searched_ = pending_.size() < 3 ? 0 : pending_.size() - 3;
        return {};
    }
    std::string event = pending_.substr(0, end);
    pending_.erase(0, end);
    searched_ = 0;
    return event;
}

bool EventSplitter::inside_event() const {
    std::string_view rest = pending_;
    while (!rest.empty()) {
        const auto end = rest.find('\n');
        const bool ended = end != std::string_view::npos;
        std::string_view line = rest.substr(0, end);
        rest.remove_prefix(ended ? end + 1 : rest.size());
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        const bool comment = ended && line.starts_with(':');
        if (!line.empty() && !comment)
            return true;
    }
    return false;
}

std::string_view id_of_event(std::string_view event) {
    return value_of_field(event, "id").value_or(std::string_view{});
}

bool has_data(std::string_view event) {
    return value_of_field(event, "data").has_value();
}

} // namespace liftweir
