#include "libraries/messages/field_reader.hpp"

#include "libraries/messages/codec.hpp"

namespace pistachiohub::messages::detail
{

namespace
{

constexpr std::size_t longest_id_text = 255;
constexpr std::size_t longest_service_name = 255;

void require(bool is_met, codec_failure failure)
{
    if (!is_met)
        throw codec_error(failure);
}

} // namespace

field_reader::field_reader(nlohmann::json const& fields, std::size_t size)
    : m_fields(fields)
{
    require(fields.is_array() && fields.size() == size, codec_failure::malformed);
}

nlohmann::json const& field_reader::next()
{
    require(m_position < m_fields.size(), codec_failure::malformed);
    return m_fields[m_position++];
}

std::uint64_t field_reader::number(std::uint64_t highest)
{
    auto const& field = next();
    // Signed integers come from MessagePack's negative forms only.
    require(field.is_number_integer(), codec_failure::malformed);
    require(field.is_number_unsigned(), codec_failure::field_out_of_range);
    auto const value = field.get<std::uint64_t>();
    require(value <= highest, codec_failure::field_out_of_range);
    return value;
}

std::uint32_t field_reader::number_32()
{
    return static_cast<std::uint32_t>(number(std::numeric_limits<std::uint32_t>::max()));
}

bool field_reader::flag()
{
    auto const& field = next();
    require(field.is_boolean(), codec_failure::malformed);
    return field.get<bool>();
}

std::string field_reader::bytes(std::size_t largest)
{
    auto const& field = next();
    require(field.is_binary(), codec_failure::malformed);
    auto const& binary = field.get_binary();
    require(binary.size() <= largest, codec_failure::field_out_of_range);
    return {binary.begin(), binary.end()};
}

std::string field_reader::host_name(bool may_be_empty)
{
    auto name = text(identity::longest_host_name);
    bool const is_valid = identity::is_host_name(name) || (may_be_empty && name.empty());
    require(is_valid, codec_failure::field_out_of_range);
    return name;
}

std::string field_reader::service_name()
{
    auto name = text(longest_service_name);
    require(!name.empty(), codec_failure::field_out_of_range);
    return name;
}

identity::request_id field_reader::id()
{
    auto parsed = identity::parse_request_id(text(longest_id_text));
    require(parsed.has_value(), codec_failure::field_out_of_range);
    return std::move(*parsed);
}

outcome field_reader::result()
{
    return static_cast<outcome>(number(static_cast<std::uint64_t>(outcome::unresolved)));
}

reason field_reader::cause()
{
    return static_cast<reason>(number(static_cast<std::uint64_t>(reason::cancelled)));
}

nlohmann::json const& field_reader::items(std::size_t most)
{
    auto const& field = next();
    require(field.is_array(), codec_failure::malformed);
    require(field.size() <= most, codec_failure::field_out_of_range);
    return field;
}

std::string field_reader::text(std::size_t largest)
{
    auto const& field = next();
    require(field.is_string(), codec_failure::malformed);
    auto const& value = field.get_ref<std::string const&>();
    require(value.size() <= largest, codec_failure::field_out_of_range);
    return value;
}

} // namespace pistachiohub::messages::detail
