#include "libraries/http/bounded_parser.hpp"

namespace pistachiohub::http
{

namespace
{

namespace beast_http = boost::beast::http;

// What Beast and the allocator add to the text of a field: two list hooks, three pointers of a tree
// node, two lengths, a number and the allocation's own header. Fields of one byte are most
// expensive.
constexpr std::size_t memory_of_field = 96;

} // namespace

bounded_parser::bounded_parser(parser_limits const& limits)
    : m_limit(limits.header_bytes)
{
    header_limit(limits.header_bytes);
    body_limit(limits.body_bytes);
}

std::size_t bounded_parser::put_bounded(boost::asio::const_buffer input,
                                        boost::system::error_code& failure)
{
    bool const was_in_head = !is_header_done();
    // The head is parsed alone, so that its bytes can be counted.
    eager(!was_in_head);
    auto const used = put(input, failure);
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

std::size_t bounded_parser::memory() const
{
    return m_field_memory + get().body().size();
}

void bounded_parser::on_field_impl(beast_http::field name,
                                   boost::beast::string_view name_string,
                                   boost::beast::string_view value,
                                   boost::system::error_code& failure)
{
    failure = {};
    if (is_header_done())
        return;
    m_field_memory += memory_of_field + name_string.size() + value.size();
    get().insert(name, name_string, value);
}

} // namespace pistachiohub::http
