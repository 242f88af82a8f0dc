#pragma once

/// @file
/// A parser of one HTTP message whose sections and memory are bounded. This header includes Beast,
/// so only implementation files include it.

#include "libraries/http/message.hpp"

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/parser.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace pistachiohub::http
{

/// Bounds of one message.
struct parser_limits
{
    /// Largest head, and largest part of a chunked body that a parser keeps unread: the extensions
    /// of a chunk, or all trailers.
    std::uint32_t header_bytes = 8192;
    /// Largest body; nothing if another part of the program bounds it.
    std::optional<std::uint64_t> body_bytes = 0;
};

namespace detail
{

/// A body whose received bytes can be taken out at any time. In contrast to Beast's `string_body`
/// it reserves memory only for a request, whose announced length has been admitted: a server may
/// announce any length.
template<bool is_request>
struct text_body
{
    using value_type = std::string;

    class reader
    {
    public:
        template<bool is_request_header, class Fields>
        reader(boost::beast::http::header<is_request_header, Fields>& /*header*/, value_type& body)
            : m_body(body)
        {
        }

        void init(boost::optional<std::uint64_t> const& length, boost::system::error_code& failure)
        {
            failure = {};
            if (is_request && length)
                m_body.reserve(static_cast<std::size_t>(*length));
        }

        template<class Buffers>
        std::size_t put(Buffers const& buffers, boost::system::error_code& failure)
        {
            failure = {};
            std::size_t count = 0;
            for (auto const part : boost::beast::buffers_range_ref(buffers))
            {
                m_body.append(static_cast<char const*>(part.data()), part.size());
                count += part.size();
            }
            return count;
        }

        void finish(boost::system::error_code& failure)
        {
            failure = {};
        }

    private:
        value_type& m_body;
    };
};

} // namespace detail

/// Reads one message. In contrast to Beast's parser, the whole head is bounded, however it is cut
/// into reads, trailers or a chunk extension that do not end are refused, and no cut of the input
/// fails an assertion. Trailers are checked and dropped, because a header that arrives behind the
/// body must not act like one before it.
///
/// All messages of other processes are read by this class. Beast's functions for whole messages
/// would hand their input to its parser as it arrives.
template<bool is_request>
class bounded_parser : private boost::beast::http::parser<is_request, detail::text_body<is_request>>
{
    using base = boost::beast::http::parser<is_request, detail::text_body<is_request>>;

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

    /// @returns the head, once it is complete.
    [[nodiscard]] message_head head() const;

    /// @returns the bytes of the body that were received and not taken out.
    [[nodiscard]] std::string& body();
    [[nodiscard]] std::string const& body() const;

    /// @returns the memory that the message occupies in the parser, in bytes.
    [[nodiscard]] std::size_t memory() const;

private:
    void on_field_impl(boost::beast::http::field name,
                       boost::beast::string_view name_string,
                       boost::beast::string_view value,
                       boost::system::error_code& failure) override;

    std::uint32_t m_limit;
    std::size_t m_head_bytes = 0;
    std::size_t m_field_memory = 0;
    /// Some of the body has been used.
    bool m_is_body_begun = false;
};

extern template class bounded_parser<true>;
extern template class bounded_parser<false>;

using request_parser = bounded_parser<true>;
using answer_parser = bounded_parser<false>;

} // namespace pistachiohub::http
