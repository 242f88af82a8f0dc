#include "libraries/http/target.hpp"

#include <boost/url/encode.hpp>
#include <boost/url/pct_string_view.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

namespace pistachiohub::http
{

bool is_plain_target_part(std::string_view text)
{
    return boost::urls::encoded_size(text, boost::urls::unreserved_chars) == text.size();
}

std::string encode_target_part(std::string_view text)
{
    return boost::urls::encode(text, boost::urls::unreserved_chars);
}

std::string decode_target_part(std::string_view part)
{
    auto const encoded = boost::urls::make_pct_string_view(part);
    return encoded ? encoded->decode() : std::string(part);
}

} // namespace pistachiohub::http
