#include "libraries/http/bounded_parser.hpp"

#include <string_view>

namespace pistachiohub::http
{

namespace
{

namespace beast_http = boost::beast::http;

// What a field occupies beside its text, with the spare capacity of a list that grows. Fields of
// one byte are most expensive.
constexpr std::size_t memory_of_field = 2 * sizeof(header);
// The last chunk without an extension, and the length of the shortest chunked body.
constexpr std::string_view last_chunk = "0\r\n";
constexpr std::size_t min_chunked_body = 5;

// Beast asserts that a body which begins with its last chunk has at least five bytes if a call
// before has seen that chunk.
bool is_last_chunk_alone(boost::asio::const_buffer input)
{
    std::string_view const text(static_cast<char const*>(input.data()), input.size());
    return text.size() < min_chunked_body && text.starts_with(last_chunk);
}

std::string_view trim(std::string_view text)
{
    constexpr std::string_view whitespace = " \t";
    auto const first = text.find_first_not_of(whitespace);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(whitespace) - first + 1);
}

} // namespace

template<bool is_request>
bounded_parser<is_request>::bounded_parser(parser_limits const& limits)
    : m_limit(limits.header_bytes)
{
    this->header_limit(limits.header_bytes);
    if (limits.body_bytes)
        this->body_limit(*limits.body_bytes);
    else
        this->body_limit(boost::none);
}

template<bool is_request>
std::size_t bounded_parser<is_request>::put_bounded(boost::asio::const_buffer input,
                                                    boost::system::error_code& failure)
{
    bool const was_in_head = !is_header_done();
    if (!was_in_head && this->chunked() && !m_is_body_begun && is_last_chunk_alone(input))
    {
        failure = beast_http::error::need_more;
        return 0;
    }
    m_is_chunk_header_read = false;
    // One section at a time, so that its bytes can be counted.
    this->eager(false);
    auto const used = this->put(input, failure);
    m_is_body_begun = m_is_body_begun || (!was_in_head && used > 0);
    bool const needs_more = failure == beast_http::error::need_more;
    if (failure && !needs_more)
        return used;
    // Beast bounds only the part of a head that it keeps unread, and no trailer or chunk extension.
    auto const kept = needs_more ? input.size() - used : 0;
    if (was_in_head)
        m_head_bytes += used;
    auto const read = was_in_head ? m_head_bytes : m_is_chunk_header_read ? used : 0;
    if (read + kept > m_limit)
        failure = beast_http::error::header_limit;
    return used;
}

template<bool is_request>
void bounded_parser<is_request>::put_end(boost::system::error_code& failure)
{
    if (!got_some())
    {
        failure = beast_http::error::end_of_stream;
        return;
    }
    this->put_eof(failure);
    if (!failure && !is_done())
        failure = beast_http::error::partial_message;
}

template<bool is_request>
void bounded_parser<is_request>::skip_body()
{
    this->skip(true);
}

template<bool is_request>
std::size_t bounded_parser<is_request>::memory() const
{
    return m_field_memory + m_body.size();
}

template<bool is_request>
void bounded_parser<is_request>::on_request_impl(
    beast_http::verb /*method*/, text method_text, text target, int version, error_code& failure)
{
    failure = {};
    m_head.method = std::string(method_text);
    m_head.target = std::string(target);
    m_head.version = static_cast<unsigned>(version);
}

template<bool is_request>
void bounded_parser<is_request>::on_response_impl(int status,
                                                  text reason,
                                                  int version,
                                                  error_code& failure)
{
    failure = {};
    m_head.status = static_cast<unsigned>(status);
    m_head.reason = std::string(reason);
    m_head.version = static_cast<unsigned>(version);
}

template<bool is_request>
void bounded_parser<is_request>::on_field_impl(beast_http::field /*name*/,
                                               text name_text,
                                               text value,
                                               error_code& failure)
{
    failure = {};
    if (is_header_done())
        return;
    m_field_memory += memory_of_field + name_text.size() + value.size();
    m_head.headers.push_back({std::string(name_text), std::string(trim(value))});
}

template<bool is_request>
void bounded_parser<is_request>::on_header_impl(error_code& failure)
{
    failure = {};
}

template<bool is_request>
void bounded_parser<is_request>::on_body_init_impl(body_length const& length, error_code& failure)
{
    failure = {};
    // The owner has admitted the length that a request announces; a server may announce any.
    if (is_request && length)
        m_body.reserve(static_cast<std::size_t>(*length));
}

template<bool is_request>
std::size_t bounded_parser<is_request>::on_body_impl(text part, error_code& failure)
{
    failure = {};
    m_body.append(part);
    return part.size();
}

template<bool is_request>
void bounded_parser<is_request>::on_chunk_header_impl(std::uint64_t /*size*/,
                                                      text /*extensions*/,
                                                      error_code& failure)
{
    failure = {};
    m_is_chunk_header_read = true;
}

template<bool is_request>
std::size_t bounded_parser<is_request>::on_chunk_body_impl(std::uint64_t /*rest*/,
                                                           text part,
                                                           error_code& failure)
{
    return on_body_impl(part, failure);
}

template<bool is_request>
void bounded_parser<is_request>::on_finish_impl(error_code& failure)
{
    failure = {};
}

template class bounded_parser<true>;
template class bounded_parser<false>;

} // namespace pistachiohub::http
