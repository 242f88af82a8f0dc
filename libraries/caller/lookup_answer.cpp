#include "libraries/caller/lookup_answer.hpp"

#include <boost/json.hpp>

namespace pistachiohub::caller
{

namespace
{

namespace json = boost::json;

std::string read_text(json::object const& object, std::string_view key)
{
    return std::string(object.at(key).as_string());
}

entry_host read_entry_host(json::object const& object)
{
    return {read_text(object, "name"),
            read_text(object, "address"),
            object.at("port").to_number<std::uint16_t>(),
            object.at("incarnation").to_number<std::uint64_t>(),
            object.at("epoch").to_number<std::uint32_t>(),
            read_text(object, "failure_domain")};
}

} // namespace

lookup_answer parse_lookup_answer(std::string_view text)
{
    try
    {
        auto const document = json::parse(text);
        auto const& object = document.as_object();
        lookup_answer answer;
        answer.service = read_text(object, "service");
        answer.kind = read_text(object, "kind");
        answer.configuration_version =
            object.at("configuration_version").to_number<std::uint64_t>();
        answer.ttl_ms = object.at("ttl_ms").to_number<std::uint32_t>();
        for (auto const& item : object.at("entry_hosts").as_array())
            answer.entry_hosts.push_back(read_entry_host(item.as_object()));
        return answer;
    }
    catch (std::exception const& failure)
    {
        throw lookup_answer_error(std::string("bad lookup answer: ") + failure.what());
    }
}

std::string find_fresh_lookup(std::string_view refusal)
{
    boost::system::error_code failure;
    auto const document = json::parse(refusal, failure);
    if (failure || !document.is_object())
        return "";
    auto const* const lookup = document.get_object().if_contains("lookup");
    return lookup == nullptr ? "" : json::serialize(*lookup);
}

} // namespace pistachiohub::caller
