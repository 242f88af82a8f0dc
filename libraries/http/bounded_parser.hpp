#pragma once

/// @file
/// A parser of one HTTP request whose sections and memory are bounded. This header includes Beast,
/// so only implementation files include it.

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstddef>
#include <cstdint>

namespace pistachiohub::http
{

/// Bounds of one request.
struct parser_limits
{
    /// Largest head, and largest part of a chunked body that a parser keeps unread: the extensions
    /// of a chunk, or all trailers.
    std::uint32_t header_bytes = 8192;
    std::uint64_t body_bytes = 0;
};

/// Reads one request. In contrast to Beast's parser the whole head is bounded, however it is cut
/// into reads, and trailers or a chunk extension that do not end are refused. Trailers are
/// checked and dropped, because a header that arrives behind the body must not act like one before
/// it.
class bounded_parser : public boost::beast::http::request_parser<boost::beast::http::string_body>
{
public:
    explicit bounded_parser(parser_limits const& limits);

    /// Parses the beginning of `input`, which holds all bytes that earlier calls left.
    /// @param failure `need_more` when all that can be used was used; `header_limit` or
    /// `body_limit` when a bound is exceeded.
    /// @returns the number of bytes that were used.
    [[nodiscard]] std::size_t put_bounded(boost::asio::const_buffer input,
                                          boost::system::error_code& failure);

    /// @returns the memory that the request occupies in the parser, in bytes.
    [[nodiscard]] std::size_t memory() const;

private:
    using base = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void on_field_impl(boost::beast::http::field name,
                       boost::beast::string_view name_string,
                       boost::beast::string_view value,
                       boost::system::error_code& failure) override;

    std::uint32_t m_limit;
    std::size_t m_head_bytes = 0;
    std::size_t m_field_memory = 0;
};

} // namespace pistachiohub::http
