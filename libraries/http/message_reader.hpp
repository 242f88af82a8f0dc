#pragma once

/// @file
/// Reading of whole messages from a connection. This header includes Asio, so only implementation
/// files include it.

#include "libraries/http/bounded_parser.hpp"

#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <utility>

namespace pistachiohub::http
{

/// Parses buffered input until the message is complete or needs more.
/// @param failure nothing in both cases; otherwise why the input is no message.
template<bool is_request>
void parse_buffered(boost::beast::flat_buffer& buffer,
                    bounded_parser<is_request>& parser,
                    boost::system::error_code& failure)
{
    failure = {};
    while (buffer.size() > 0 && !parser.is_done() && !failure)
        buffer.consume(parser.put_bounded(buffer.data(), failure));
    if (failure == boost::beast::http::error::need_more)
        failure = {};
}

namespace detail
{

/// @returns the number of bytes to read next; 0 if the buffer has no room.
inline std::size_t next_read_size(boost::beast::flat_buffer const& buffer)
{
    constexpr std::size_t read_chunk_bytes = 16384;
    return std::min(read_chunk_bytes, buffer.max_size() - buffer.size());
}

template<bool is_request>
void handle_read(boost::beast::flat_buffer& buffer,
                 bounded_parser<is_request>& parser,
                 boost::system::error_code& failure,
                 std::size_t bytes)
{
    buffer.commit(bytes);
    if (failure == boost::asio::error::eof)
        parser.put_end(failure);
    else if (!failure)
        parse_buffered(buffer, parser, failure);
}

template<class Stream, class Handler>
void post_result(Stream& stream, boost::system::error_code failure, Handler&& handler)
{
    boost::asio::post(stream.get_executor(),
                      [failure, handler = std::forward<Handler>(handler)]() mutable
                      {
                          handler(failure);
                      });
}

template<class Stream, bool is_request, class Handler>
void read_more(Stream& stream,
               boost::beast::flat_buffer& buffer,
               bounded_parser<is_request>& parser,
               Handler&& handler)
{
    auto const size = next_read_size(buffer);
    if (size == 0)
        return post_result(
            stream, boost::beast::http::error::buffer_overflow, std::forward<Handler>(handler));
    stream.async_read_some(buffer.prepare(size),
                           [&stream, &buffer, &parser, handler = std::forward<Handler>(handler)](
                               boost::system::error_code failure, std::size_t bytes) mutable
                           {
                               handle_read(buffer, parser, failure, bytes);
                               if (failure || parser.is_done())
                                   return handler(failure);
                               read_more(stream, buffer, parser, std::move(handler));
                           });
}

} // namespace detail

/// Reads a message. Input behind it stays in the buffer. The arguments must outlive the operation.
/// @param handler called once with an error code, not from within this function.
template<class Stream, bool is_request, class Handler>
void async_read_message(Stream& stream,
                        boost::beast::flat_buffer& buffer,
                        bounded_parser<is_request>& parser,
                        Handler handler)
{
    boost::system::error_code failure;
    parse_buffered(buffer, parser, failure);
    if (failure || parser.is_done())
        return detail::post_result(stream, failure, std::move(handler));
    detail::read_more(stream, buffer, parser, std::move(handler));
}

/// Reads a message on the calling thread. Input behind it stays in the buffer.
template<class Stream, bool is_request>
void read_message(Stream& stream,
                  boost::beast::flat_buffer& buffer,
                  bounded_parser<is_request>& parser,
                  boost::system::error_code& failure)
{
    parse_buffered(buffer, parser, failure);
    while (!failure && !parser.is_done())
    {
        auto const size = detail::next_read_size(buffer);
        if (size == 0)
            failure = boost::beast::http::error::buffer_overflow;
        else
        {
            auto const bytes = stream.read_some(buffer.prepare(size), failure);
            detail::handle_read(buffer, parser, failure, bytes);
        }
    }
}

} // namespace pistachiohub::http
