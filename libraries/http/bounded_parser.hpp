#pragma once

/// @file
/// A parser of one HTTP message whose sections and memory are bounded. This header includes Beast,
/// so only implementation files include it.

#include "libraries/http/message.hpp"

#include <boost/beast/http/basic_parser.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace pistachiohub::http
{

/// Bounds of one message.
struct parser_limits
{
    /// Largest head, and largest part of a chunked body beside its bytes: the header of a chunk, or
    /// the last chunk with all trailers.
    std::uint32_t header_bytes = 8192;
    /// Largest body; nothing if another part of the program bounds it.
    std::optional<std::uint64_t> body_bytes = 0;
};

/// Reads one message. In contrast to Beast's parser, the whole head is bounded, however it is cut
/// into reads, trailers or a chunk extension that do not end are refused, and no cut of the input
/// fails an assertion. Trailers are checked and dropped, because a header that arrives behind the
/// body must not act like one before it.
///
/// A head is kept in `message_head`, whose only bound is `parser_limits`: the fields of Beast's
/// messages have names and values of less than 64 KiB, and throw an exception beyond that.
///
/// All messages of other processes are read by this class. Beast's functions for whole messages
/// would hand their input to its parser as it arrives.
template<bool is_request>
class bounded_parser : private boost::beast::http::basic_parser<is_request>
{
    using base = boost::beast::http::basic_parser<is_request>;

public:
    explicit bounded_parser(parser_limits const& limits);

    /// Parses the beginning of `input`, which holds all bytes that earlier calls left.
    /// @param failure `need_more` when all that can be used was used; `header_limit` or
    /// `body_limit` when a bound is exceeded.
    /// @returns the number of bytes that were used.
    [[nodiscard]] std::size_t put_bounded(boost::asio::const_buffer input,
                                          boost::system::error_code& failure);

    /// Handles the end of the input.
    /// @param failure `end_of_stream` if there was no input, `partial_message` if the message is
    /// incomplete.
    void put_end(boost::system::error_code& failure);

    /// Sets that the message has no body, whatever its head says, as the answer to a HEAD. To be
    /// called before the first input.
    void skip_body();

    /// @returns whether the message is complete.
    using base::is_done;
    /// @returns whether the head is complete.
    using base::is_header_done;
    /// @returns whether any input has been used.
    using base::got_some;
    /// @returns whether the connection can carry another message; valid with a complete head.
    using base::keep_alive;
    /// @returns whether the body ends with the connection; valid with a complete head.
    using base::need_eof;
    /// @returns the announced length of the body; valid with a complete head.
    using base::content_length;

    /// @returns the head, once it is complete; it may be moved from.
    [[nodiscard]] message_head& head()
    {
        return m_head;
    }

    /// @returns the bytes of the body that were received and not taken out.
    [[nodiscard]] std::string& body()
    {
        return m_body;
    }

    [[nodiscard]] std::string const& body() const
    {
        return m_body;
    }

    /// @returns the memory that the message occupies in the parser, in bytes.
    [[nodiscard]] std::size_t memory() const;

private:
    using text = boost::beast::string_view;
    using error_code = boost::system::error_code;
    using body_length = boost::optional<std::uint64_t>;

    void on_request_impl(boost::beast::http::verb method,
                         text method_text,
                         text target,
                         int version,
                         error_code& failure) override;
    void on_response_impl(int status, text reason, int version, error_code& failure) override;
    void on_field_impl(boost::beast::http::field name,
                       text name_text,
                       text value,
                       error_code& failure) override;
    void on_header_impl(error_code& failure) override;
    void on_body_init_impl(body_length const& length, error_code& failure) override;
    std::size_t on_body_impl(text part, error_code& failure) override;
    void on_chunk_header_impl(std::uint64_t size, text extensions, error_code& failure) override;
    std::size_t on_chunk_body_impl(std::uint64_t rest, text part, error_code& failure) override;
    void on_finish_impl(error_code& failure) override;

    message_head m_head;
    std::string m_body;
    std::uint32_t m_limit;
    std::size_t m_head_bytes = 0;
    std::size_t m_field_memory = 0;
    /// The last call has read a chunk header, with all trailers if it is the last one.
    bool m_is_chunk_header_read = false;
    /// Some of the body has been used.
    bool m_is_body_begun = false;
};

extern template class bounded_parser<true>;
extern template class bounded_parser<false>;

using request_parser = bounded_parser<true>;
using answer_parser = bounded_parser<false>;

} // namespace pistachiohub::http
