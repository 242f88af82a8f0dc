#include "libraries/http/bounded_parser.hpp"

#include <string_view>

namespace pistachiohub::http
{

namespace
{

namespace beast_http = boost::beast::http;

// What Beast and the allocator add to the text of a field: two list hooks, three pointers of a tree
// node, two lengths, a number and the allocation's own header. Fields of one byte are most
// expensive.
constexpr std::size_t memory_of_field = 96;
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
    // The head is parsed alone, so that its bytes can be counted and the body's beginning is known.
    this->eager(!was_in_head);
    auto const used = this->put(input, failure);
    m_is_body_begun = m_is_body_begun || (!was_in_head && used > 0);
    bool const needs_more = failure == beast_http::error::need_more;
    if (failure && !needs_more)
        return used;
    // Beast bounds only the part of a head that it keeps unread, and no trailer or chunk extension.
    auto const kept = needs_more ? input.size() - used : 0;
    if (was_in_head)
        m_head_bytes += used;
    auto const counted = was_in_head ? m_head_bytes + kept : kept;
    if (counted > m_limit)
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
message_head bounded_parser<is_request>::head() const
{
    auto const& message = this->get();
    message_head result;
    if constexpr (is_request)
    {
        result.method = std::string(message.method_string());
        result.target = std::string(message.target());
    }
    else
    {
        result.status = message.result_int();
        result.reason = std::string(message.reason());
    }
    result.version = message.version();
    result.headers.reserve(static_cast<std::size_t>(std::distance(message.begin(), message.end())));
    for (auto const& field : message)
        result.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    return result;
}

template<bool is_request>
std::string& bounded_parser<is_request>::body()
{
    return this->get().body();
}

template<bool is_request>
std::string const& bounded_parser<is_request>::body() const
{
    return this->get().body();
}

template<bool is_request>
std::size_t bounded_parser<is_request>::memory() const
{
    return m_field_memory + body().size();
}

template<bool is_request>
void bounded_parser<is_request>::on_field_impl(beast_http::field name,
                                               boost::beast::string_view name_string,
                                               boost::beast::string_view value,
                                               boost::system::error_code& failure)
{
    failure = {};
    if (is_header_done())
        return;
    m_field_memory += memory_of_field + name_string.size() + value.size();
    this->get().insert(name, name_string, value);
}

template class bounded_parser<true>;
template class bounded_parser<false>;

} // namespace pistachiohub::http
