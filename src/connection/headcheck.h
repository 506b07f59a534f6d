// Strict check of HTTP/1.1 message heads, for all programs that read requests or responses.

#ifndef HEADCHECK_H_INCLUDED
#define HEADCHECK_H_INCLUDED

#include <array>
#include <cstddef>
#include <string_view>

namespace liftweir {

enum class HeadKind : unsigned char { Request, Response };

// Reads one message head byte by byte and rejects forms that two readers could take for different
// messages (RFC 9112, sections 2.2, 4, 5.1 and 6.3).
class HeadCheck {
  public:
    explicit HeadCheck(HeadKind kind) : kind_(kind) {}

    // Reads up to the end of the head and ignores what follows it. False if the head is invalid.
    bool read(std::string_view bytes);
    bool complete() const { return state_ == State::Complete; }
    // Of a response, once its status line was read; from 100 to 599.
    int status() const { return status_; }

  private:
    enum class State : unsigned char {
        Start, // before the first line; empty lines are skipped
        StartLine,
        LineStart, // of a header
        Name,
        Value,
        LineEnd, // after a carriage return
        HeadEnd, // after the carriage return of the empty line
        Complete,
        Invalid
    };
    // Headers that decide where the body ends.
    enum class Framing : unsigned char { None, Length, Encoding };

    static constexpr std::size_t LongestName = 17; // "transfer-encoding"

    State next(char c);
    State in_start_line(char c);
    State in_name(char c);
    State in_value(char c);
    State end_of_line(char c);
    State end_of_head();
    bool is_expected_of_status_line(char c);
    bool is_expected_of_framing(char c);

    HeadKind kind_;
    State state_ = State::Start;
    std::size_t at_ = 0; // position in the first line or in the name
    int status_ = 0;
    bool is_http_10_ = false;
    std::array<char, LongestName> name_{}; // in lower case, as far as it fits
    Framing framing_ = Framing::None;      // of the present header
    std::size_t value_at_ = 0;             // characters of its value, without blanks around them
    bool value_ended_ = false;             // a blank followed them
    std::size_t lengths_ = 0;              // headers of either kind
    std::size_t encodings_ = 0;
};

// Checks all heads of one response, informational ones included.
class ResponseHeadsCheck {
  public:
    // Reads one line of a head, or of the trailers that follow a chunked body, which are ignored.
    bool read_line(std::string_view line);

  private:
    HeadCheck head_{HeadKind::Response};
};

// Header callback for libcurl (CURLOPT_HEADERFUNCTION) whose user data is a ResponseHeadsCheck.
// Fails the transfer at an invalid line.
std::size_t check_header_line(char* data, std::size_t size, std::size_t count, void* check);

} // namespace liftweir

#endif // HEADCHECK_H_INCLUDED
