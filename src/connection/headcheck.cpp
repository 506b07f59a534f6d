// State machine over the bytes of a message head.

#include "connection/headcheck.h"

#include "connection/httpmessage.h"

namespace liftweir {

namespace {

constexpr std::string_view TokenPunctuation = "!#$%&'*+-.^_`|~";
constexpr std::string_view Chunked = "chunked";
// Positions in "HTTP/1.1 200".
constexpr std::string_view StatusLineBegin = "HTTP/1.";
constexpr std::size_t MinorVersion = 7;
constexpr std::size_t FirstDigit = 9;
constexpr std::size_t LastDigit = 11;
constexpr int SwitchingProtocols = 101;

bool is_digit(char c) {
    return c >= '0' && c <= '9';
}

bool is_blank(char c) {
    return c == ' ' || c == '\t';
}

char lower(char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

bool is_token(char c) {
    const char letter = lower(c);
    return (letter >= 'a' && letter <= 'z') || is_digit(c) ||
           TokenPunctuation.find(c) != std::string_view::npos;
}

// Control bytes are allowed nowhere in a line, except for the horizontal tab.
bool is_text(char c) {
    const auto byte = static_cast<unsigned char>(c);
    return byte == '\t' || (byte >= ' ' && byte != 0x7f);
}

} // namespace

bool HeadCheck::read(std::string_view bytes) {
    for (const char c : bytes) {
        if (state_ == State::Complete || state_ == State::Invalid)
            break;
        state_ = next(c);
    }
    return state_ != State::Invalid;
}

HeadCheck::State HeadCheck::next(char c) {
    switch (state_) {
    case State::Start:
        if (c == '\r' || c == '\n')
            return State::Start;
        return in_start_line(c);
    case State::StartLine:
        return in_start_line(c);
    case State::LineStart:
        if (c == '\r')
            return State::HeadEnd;
        if (c == '\n')
            return end_of_head();
        at_ = 0;
        return is_token(c) ? in_name(c) : State::Invalid;
    case State::Name:
        return in_name(c);
    case State::Value:
        return in_value(c);
    case State::LineEnd:
        return c == '\n' ? State::LineStart : State::Invalid;
    case State::HeadEnd:
        return c == '\n' ? end_of_head() : State::Invalid;
    default:
        return state_;
    }
}

HeadCheck::State HeadCheck::end_of_line(char c) {
    return c == '\r' ? State::LineEnd : State::LineStart;
}

HeadCheck::State HeadCheck::in_start_line(char c) {
    const bool ends = c == '\r' || c == '\n';
    if (kind_ == HeadKind::Response && at_ <= LastDigit + 1) {
        if (!(ends && at_ == LastDigit + 1) && !is_expected_of_status_line(c))
            return State::Invalid;
    }
    ++at_;
    if (ends)
        return end_of_line(c);
    return is_text(c) ? State::StartLine : State::Invalid;
}

// The first digit of a status is its class, from 1 to 5 (RFC 9110, section 15).
bool HeadCheck::is_expected_of_status_line(char c) {
    if (at_ < StatusLineBegin.size())
        return c == StatusLineBegin[at_];
    if (at_ == MinorVersion) {
        is_http_10_ = c == '0';
        return is_digit(c);
    }
    if (at_ < FirstDigit || at_ > LastDigit)
        return c == ' ';
    status_ = status_ * 10 + (c - '0');
    return at_ == FirstDigit ? c >= '1' && c <= '5' : is_digit(c);
}

// No blank may stand before the colon: one reader takes the header by its name without the blank,
// and another one takes it for an unknown header.
HeadCheck::State HeadCheck::in_name(char c) {
    if (c != ':') {
        if (at_ < name_.size())
            name_[at_] = lower(c);
        ++at_;
        return is_token(c) ? State::Name : State::Invalid;
    }
    const std::string_view name =
        at_ <= name_.size() ? std::string_view(name_.data(), at_) : std::string_view{};
    framing_ = name == "content-length"      ? Framing::Length
               : name == "transfer-encoding" ? Framing::Encoding
                                             : Framing::None;
    lengths_ += framing_ == Framing::Length ? 1 : 0;
    encodings_ += framing_ == Framing::Encoding ? 1 : 0;
    value_at_ = 0;
    value_ended_ = false;
    return State::Value;
}

HeadCheck::State HeadCheck::in_value(char c) {
    if (c == '\r' || c == '\n') {
        const bool whole = framing_ == Framing::None ||
                           (framing_ == Framing::Length && value_at_ > 0) ||
                           value_at_ == Chunked.size();
        return whole ? end_of_line(c) : State::Invalid;
    }
    return is_text(c) && is_expected_of_framing(c) ? State::Value : State::Invalid;
}

// A length is a decimal number, and "chunked" is the only transfer coding that is understood.
bool HeadCheck::is_expected_of_framing(char c) {
    if (framing_ == Framing::None)
        return true;
    if (is_blank(c)) {
        value_ended_ = value_at_ > 0;
        return true;
    }
    const std::size_t at = value_at_++;
    if (value_ended_)
        return false;
    return framing_ == Framing::Length ? is_digit(c)
                                       : at < Chunked.size() && lower(c) == Chunked[at];
}

// An informational head has no body that its headers could frame. No request of ours asks for
// another protocol.
HeadCheck::State HeadCheck::end_of_head() {
    const bool informational = kind_ == HeadKind::Response && status_class(status_) == 1;
    const bool ambiguous = lengths_ + encodings_ > 1 || (encodings_ > 0 && is_http_10_);
    if (status_ == SwitchingProtocols || (ambiguous && !informational))
        return State::Invalid;
    return State::Complete;
}

bool ResponseHeadsCheck::read_line(std::string_view line) {
    if (head_.complete()) {
        if (status_class(head_.status()) != 1)
            return true;
        head_ = HeadCheck(HeadKind::Response);
    }
    return head_.read(line);
}

std::size_t check_header_line(char* data, std::size_t size, std::size_t count, void* check) {
    const bool valid =
        static_cast<ResponseHeadsCheck*>(check)->read_line(std::string_view(data, size * count));
    return valid ? size * count : 0;
}

} // namespace liftweir
