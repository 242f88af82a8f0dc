#include "libraries/configuration/document.hpp"

#include "libraries/configuration/merge_patch.hpp"
#include "libraries/configuration/object_reader.hpp"

#include <boost/asio/ip/address_v4.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <set>
#include <unordered_map>

namespace pistachiohub::configuration
{

namespace
{

namespace json = boost::json;
using detail::for_each_named;
using detail::object_reader;
using detail::refuse;

// The platform's object API holds values of up to one megabyte.
constexpr std::size_t largest_document_bytes = 1'000'000;
// JSON numbers above 2^53 are not exact in every reader.
constexpr std::uint64_t largest_version = (std::uint64_t{1} << 53) - 1;
constexpr std::size_t longest_patch_id = 64;
constexpr std::uint64_t largest_entry_hosts = 10'000;
constexpr std::uint64_t largest_slots = 10'000;
constexpr std::uint64_t largest_connections = 1'000'000;
constexpr std::uint64_t shortest_ttl_ms = 100;
constexpr std::uint64_t longest_ttl_ms = 60'000;
constexpr double largest_megabits_per_second = 10'000'000;
constexpr std::uint8_t longest_prefix = 32;
constexpr std::string_view patch_id_rule = "1 to 64 characters of A-Z, a-z, 0-9, '.', '_' and '-'";
constexpr std::string_view block_rule =
    "a key of the form a.b.c.d/0 to a.b.c.d/32 with the bits behind the prefix zero";

/// Names that other parts of the document may refer to.
struct known_names
{
    std::set<std::string, std::less<>> regions;
    std::set<std::string, std::less<>> failure_domains;
};

std::string list_names(std::string_view kind, std::set<std::string, std::less<>> const& names)
{
    constexpr std::size_t most_listed = 20;
    std::string text = "the name of a " + std::string(kind) + ':';
    std::size_t listed = 0;
    for (auto const& name : names)
    {
        if (++listed > most_listed)
            return text + " ...";
        text += ' ' + name;
    }
    return text;
}

bool is_patch_id(std::string_view text)
{
    auto const is_permitted = [](char character)
    {
        return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
               (character >= '0' && character <= '9') || character == '.' || character == '_' ||
               character == '-';
    };
    return !text.empty() && text.size() <= longest_patch_id &&
           std::all_of(text.begin(), text.end(), is_permitted);
}

void read_failure_domain(configuration& result,
                         known_names& known,
                         std::string_view region,
                         std::string_view name,
                         json::value const& value,
                         std::string const& path)
{
    object_reader reader(value, path);
    failure_domain domain;
    domain.name = name;
    domain.region = region;
    domain.entry_hosts =
        static_cast<std::uint32_t>(reader.integer_or("entry_hosts", 1, largest_entry_hosts, 1));
    reader.refuse_unknown_keys();
    if (!known.failure_domains.emplace(name).second)
        refuse(path, value, "a name that no failure domain of another region has");
    result.failure_domains.push_back(std::move(domain));
}

void read_region(configuration& result,
                 known_names& known,
                 std::string_view name,
                 json::value const& value,
                 std::string const& path)
{
    constexpr std::string_view permitted = "an object with at least one failure domain";
    object_reader reader(value, path);
    auto const& domains = reader.require("failure_domains", permitted);
    reader.refuse_unknown_keys();
    auto const domains_path = reader.key_path("failure_domains");
    if (!domains.is_object() || domains.get_object().empty())
        refuse(domains_path, domains, permitted);
    for_each_named(domains,
                   domains_path,
                   [&](auto domain, auto const& domain_value, auto const& domain_path)
                   {
                       read_failure_domain(result, known, name, domain, domain_value, domain_path);
                   });
    known.regions.emplace(name);
}

double read_capacity(json::value const& value, std::string const& path)
{
    constexpr std::string_view permitted = "a number above 0, at most 10000000";
    object_reader reader(value, path);
    auto const& capacity = reader.require("megabits_per_second", permitted);
    reader.refuse_unknown_keys();
    if (capacity.is_number())
    {
        auto const number = capacity.to_number<double>();
        if (number > 0 && number <= largest_megabits_per_second)
            return number;
    }
    refuse(reader.key_path("megabits_per_second"), capacity, permitted);
}

void require_region(known_names const& known,
                    std::string_view name,
                    json::value const& value,
                    std::string const& path)
{
    if (!known.regions.contains(name))
        refuse(path, value, list_names("region", known.regions));
}

void read_links_from(configuration& result,
                     known_names const& known,
                     std::string_view from,
                     json::value const& value,
                     std::string const& path)
{
    require_region(known, from, value, path);
    for_each_named(value,
                   path,
                   [&](auto destination, auto const& link_value, auto const& link_path)
                   {
                       require_region(known, destination, link_value, link_path);
                       if (destination == from)
                           refuse(link_path, link_value, "a link to another region");
                       result.links.push_back({std::string(from),
                                               std::string(destination),
                                               read_capacity(link_value, link_path)});
                   });
}

// A link given for one direction applies to both unless the other is given too.
void add_reverse_links(configuration& result)
{
    std::set<std::pair<std::string, std::string>> given;
    for (auto const& known : result.links)
        given.emplace(known.from_region, known.to_region);
    auto const count = result.links.size();
    for (std::size_t position = 0; position < count; ++position)
    {
        auto const known = result.links[position];
        if (!given.contains({known.to_region, known.from_region}))
            result.links.push_back({known.to_region, known.from_region, known.megabits_per_second});
    }
}

std::vector<std::string> read_policy_regions(object_reader& reader, known_names const& known)
{
    auto const* const value = reader.find("regions");
    if (value == nullptr)
        return {};
    auto const path = reader.key_path("regions");
    if (!value->is_array())
        refuse(path, *value, "an array of region names");
    std::vector<std::string> regions;
    for (auto const& item : value->get_array())
    {
        auto const item_path = path + '[' + std::to_string(regions.size()) + ']';
        if (!item.is_string())
            refuse(item_path, item, list_names("region", known.regions));
        std::string name(item.get_string());
        require_region(known, name, item, item_path);
        if (std::find(regions.begin(), regions.end(), name) != regions.end())
            refuse(item_path, item, "each region at most once");
        regions.push_back(std::move(name));
    }
    return regions;
}

policy read_policy(json::value const& value, std::string const& path, known_names const& known)
{
    object_reader reader(value, path);
    policy result;
    result.regions = read_policy_regions(reader, known);
    result.shift_cap = reader.fraction_or("shift_cap", result.shift_cap);
    result.shift_rate = reader.fraction_or("shift_rate", result.shift_rate);
    result.headroom = reader.fraction_or("headroom", result.headroom);
    result.steering = static_cast<steering_mode>(
        reader.choice_or("steering", {"capped", "round_robin", "least_connections"}, 0));
    reader.refuse_unknown_keys();
    return result;
}

service read_service(std::string_view name,
                     json::value const& value,
                     std::string const& path,
                     known_names const& known)
{
    object_reader reader(value, path);
    service result;
    result.name = name;
    result.kind = static_cast<service_kind>(reader.choice("kind", {"idempotent", "at_most_once"}));
    result.journal =
        static_cast<journal_mode>(reader.choice_or("journal", {"none", "write_ahead"}, 0));
    result.slots = static_cast<std::uint32_t>(reader.integer("slots", 1, largest_slots));
    result.connections =
        static_cast<std::uint32_t>(reader.integer("connections", 1, largest_connections));
    result.ttl_ms = static_cast<std::uint32_t>(
        reader.integer_or("ttl_ms", shortest_ttl_ms, longest_ttl_ms, result.ttl_ms));
    if (auto const* const policy_value = reader.find("policy"))
        result.steering_policy = read_policy(*policy_value, reader.key_path("policy"), known);
    reader.refuse_unknown_keys();
    if (result.kind == service_kind::idempotent && result.journal == journal_mode::write_ahead)
        refuse(reader.key_path("journal"), "write_ahead", "none for an idempotent service");
    return result;
}

bool parse_block(std::string_view text, client_block& block)
{
    auto const slash = text.find('/');
    if (slash == std::string_view::npos)
        return false;
    boost::system::error_code failure;
    auto const network = std::string(text.substr(0, slash));
    auto const address = boost::asio::ip::make_address_v4(network, failure);
    auto const length_text = text.substr(slash + 1);
    auto const* const end = length_text.data() + length_text.size();
    unsigned length = 0;
    auto const [position, number_failure] = std::from_chars(length_text.data(), end, length);
    if (failure || number_failure != std::errc{} || position != end || length > longest_prefix)
        return false;
    block.network = address.to_uint();
    block.prefix_length = static_cast<std::uint8_t>(length);
    std::uint64_t const host_bits = (std::uint64_t{1} << (longest_prefix - length)) - 1;
    // One block must have one text form, so that a merge patch replaces it.
    bool const is_canonical = address.to_string() + '/' + std::to_string(length) == text;
    return is_canonical && (block.network & host_bits) == 0;
}

std::vector<client_block> read_client_blocks(json::value const& value, known_names const& known)
{
    constexpr auto path = "client_blocks";
    if (!value.is_object())
        refuse(path, value, "a JSON object");
    std::vector<client_block> blocks;
    blocks.reserve(value.get_object().size());
    for (auto const& member : value.get_object())
    {
        auto const block_path = std::string(path) + '.' + std::string(member.key());
        client_block block;
        if (!parse_block(member.key(), block))
            refuse(block_path, member.value(), block_rule);
        bool const is_known =
            member.value().is_string() &&
            known.failure_domains.contains(std::string_view(member.value().get_string()));
        if (!is_known)
            refuse(block_path, member.value(), list_names("failure domain", known.failure_domains));
        block.failure_domain = member.value().get_string();
        blocks.push_back(std::move(block));
    }
    return blocks;
}

void read_regions(configuration& result, known_names& known, object_reader& reader)
{
    constexpr std::string_view permitted = "an object with at least one region";
    auto const& regions = reader.require("regions", permitted);
    if (!regions.is_object() || regions.get_object().empty())
        refuse("regions", regions, permitted);
    for_each_named(regions,
                   "regions",
                   [&](auto name, auto const& value, auto const& path)
                   {
                       read_region(result, known, name, value, path);
                   });
}

void read_links(configuration& result, known_names const& known, object_reader& reader)
{
    auto const* const links = reader.find("links");
    if (links == nullptr)
        return;
    for_each_named(*links,
                   "links",
                   [&](auto from, auto const& value, auto const& path)
                   {
                       read_links_from(result, known, from, value, path);
                   });
    add_reverse_links(result);
}

std::string read_patch_id(object_reader& reader)
{
    auto const& value = reader.require("patch_id", patch_id_rule);
    if (!value.is_string() || !is_patch_id(value.get_string()))
        refuse("patch_id", value, patch_id_rule);
    return std::string(value.get_string());
}

configuration read_configuration(json::value const& document)
{
    object_reader reader(document, "");
    configuration result;
    known_names known;
    result.version = reader.integer("version", 1, largest_version);
    result.patch_id = read_patch_id(reader);
    read_regions(result, known, reader);
    read_links(result, known, reader);
    for_each_named(reader.require("services", "a JSON object"),
                   "services",
                   [&](auto name, auto const& value, auto const& path)
                   {
                       result.services.push_back(read_service(name, value, path, known));
                   });
    if (auto const* const blocks = reader.find("client_blocks"))
        result.client_blocks = read_client_blocks(*blocks, known);
    reader.refuse_unknown_keys();
    return result;
}

json::value parse_json(std::string_view text, std::string_view name)
{
    if (text.size() > largest_document_bytes)
        throw configuration_error(
            name, std::to_string(text.size()) + " bytes", "at most 1000000 bytes");
    boost::system::error_code failure;
    auto document = json::parse(text, failure);
    if (failure)
        throw configuration_error(name, failure.message(), "a JSON object");
    return document;
}

std::string_view name_of(journal_mode mode)
{
    return mode == journal_mode::none ? "none" : "write_ahead";
}

// The journal holds nothing about requests that were dispatched without it, and daemons change over
// at different moments, so that a fence during a change could report a request as not run that ran.
void check_journals_kept(configuration const& current, configuration const& next)
{
    for (auto const& changed : next.services)
    {
        for (auto const& known : current.services)
        {
            if (known.name != changed.name || known.journal == changed.journal)
                continue;
            refuse("services." + changed.name + ".journal",
                   json::value(json::string_view(name_of(changed.journal))),
                   std::string(name_of(known.journal)) + ", or a service under another name");
        }
    }
}

} // namespace

configuration_error::configuration_error(std::string_view key,
                                         std::string_view value,
                                         std::string_view permitted)
    : error("configuration key " + std::string(key) + " is " + std::string(value) +
            "; permitted: " + std::string(permitted))
    , m_key(key)
{
}

std::string const& configuration_error::key() const
{
    return m_key;
}

configuration parse_configuration(std::string_view text)
{
    return read_configuration(parse_json(text, "(document)"));
}

std::string apply_patch(std::string_view text,
                        std::string_view patch,
                        std::uint64_t new_version,
                        std::string_view patch_id)
{
    auto document = parse_json(text, "(document)");
    auto const changes = parse_json(patch, "(patch)");
    if (!changes.is_object())
        refuse("(patch)", changes, "a JSON object");
    for (auto const* const key : {"version", "patch_id"})
    {
        if (auto const* const value = changes.get_object().if_contains(key))
            refuse(key, *value, "no mention in a patch; the store's update sets it");
    }
    // The first document is a patch of the empty one, which is not a configuration.
    bool const is_first = document.is_object() && document.get_object().empty();
    detail::merge(document, changes);
    if (!document.is_object())
        refuse("(document)", document, "a JSON object");
    document.get_object()["version"] = new_version;
    document.get_object()["patch_id"] = patch_id;
    auto result = json::serialize(document);
    auto const next = parse_configuration(result);
    if (!is_first)
        check_journals_kept(parse_configuration(text), next);
    return result;
}

} // namespace pistachiohub::configuration
