#include "libraries/messages/payload_codec.hpp"

#include "libraries/messages/codec.hpp"
#include "libraries/messages/field_reader.hpp"

#include <array>
#include <cstdint>
#include <limits>
#include <utility>

namespace pistachiohub::messages::detail
{

namespace
{

using nlohmann::json;

json binary(std::string const& bytes)
{
    return json::binary({bytes.begin(), bytes.end()});
}

template<class Value>
std::uint64_t number_of(Value value)
{
    return static_cast<std::uint64_t>(value);
}

json encode_content(heartbeat const& content)
{
    auto credits = json::array();
    for (auto const& credit : content.credits)
        credits.push_back(json::array({credit.service, credit.slots}));
    auto members = json::array();
    for (auto const& member : content.members)
        members.push_back(json::array({member.name,
                                       member.failure_domain,
                                       member.incarnation,
                                       member.epoch,
                                       member.is_leaving,
                                       member.age_ms}));
    return json::array({content.is_leaving,
                        content.epoch,
                        content.requests_in_flight,
                        std::move(credits),
                        std::move(members),
                        content.host_list_revision});
}

json encode_content(submit const& content)
{
    return json::array({content.exchange,
                        identity::to_string(content.id),
                        content.service,
                        content.remaining_ms,
                        binary(content.body)});
}

json encode_content(submit_reply const& content)
{
    return json::array({content.exchange,
                        number_of(content.result),
                        number_of(content.cause),
                        binary(content.answer)});
}

json encode_content(relay const& content)
{
    return json::array({identity::to_string(content.id),
                        content.attempt,
                        content.service,
                        content.remaining_ms,
                        content.is_suspect,
                        binary(content.body)});
}

json encode_content(relay_reply const& content)
{
    return json::array({identity::to_string(content.id),
                        content.attempt,
                        number_of(content.result),
                        number_of(content.cause),
                        content.backend_server,
                        binary(content.answer)});
}

json encode_content(relay_cancel const& content)
{
    return json::array({identity::to_string(content.id), content.attempt});
}

json encode_content(configuration_request const& /*content*/)
{
    return json::array();
}

json encode_content(configuration_document const& content)
{
    // Binary, because the codec does not check that text is valid UTF-8.
    return json::array({content.version, binary(content.text)});
}

json encode_content(quarantine_notice const& content)
{
    return json::array({content.fingerprint,
                        content.remaining_ms,
                        content.is_quarantined,
                        content.backend_server});
}

json encode_content(host_list_request const& content)
{
    return json::array({content.revision});
}

json encode_content(host_list const& content)
{
    // The platform's names are binary: they need be neither host names nor valid UTF-8.
    auto entry_hosts = json::array();
    for (auto const& host : content.entry_hosts)
        entry_hosts.push_back(json::array({binary(host.name),
                                           binary(host.address),
                                           host.caller_port,
                                           host.peer_port,
                                           host.admin_port,
                                           host.is_leaving}));
    auto backend_servers = json::array();
    for (auto const& server : content.backend_servers)
        backend_servers.push_back(json::array({binary(server.name),
                                               binary(server.address),
                                               server.port,
                                               binary(server.service),
                                               server.is_leaving}));
    return json::array({content.revision,
                        binary(content.failure_domain),
                        std::move(entry_hosts),
                        std::move(backend_servers),
                        content.reached_revision,
                        content.position,
                        content.count});
}

service_credit decode_credit(json const& fields)
{
    field_reader reader(fields, 2);
    service_credit credit;
    credit.service = reader.service_name();
    credit.slots = reader.number_32();
    return credit;
}

member_summary decode_member(json const& fields)
{
    field_reader reader(fields, 6);
    member_summary member;
    member.name = reader.host_name();
    member.failure_domain = reader.host_name();
    member.incarnation = reader.number(incarnation_limit - 1);
    member.epoch = reader.number_32();
    member.is_leaving = reader.flag();
    member.age_ms = reader.number_32();
    return member;
}

std::uint16_t read_port(field_reader& reader)
{
    return static_cast<std::uint16_t>(reader.number(std::numeric_limits<std::uint16_t>::max()));
}

listed_entry_host decode_entry_host(json const& fields)
{
    field_reader reader(fields, 6);
    listed_entry_host host;
    host.name = reader.bytes(longest_listed_name);
    host.address = reader.bytes(longest_listed_name);
    host.caller_port = read_port(reader);
    host.peer_port = read_port(reader);
    host.admin_port = read_port(reader);
    host.is_leaving = reader.flag();
    return host;
}

listed_backend_server decode_backend_server(json const& fields)
{
    field_reader reader(fields, 5);
    listed_backend_server server;
    server.name = reader.bytes(longest_listed_name);
    server.address = reader.bytes(longest_listed_name);
    server.port = read_port(reader);
    server.service = reader.bytes(longest_listed_name);
    server.is_leaving = reader.flag();
    return server;
}

payload decode_heartbeat(json const& fields)
{
    field_reader reader(fields, 6);
    heartbeat content;
    content.is_leaving = reader.flag();
    content.epoch = reader.number_32();
    content.requests_in_flight = reader.number_32();
    for (auto const& credit : reader.items(most_items))
        content.credits.push_back(decode_credit(credit));
    for (auto const& member : reader.items(most_items))
        content.members.push_back(decode_member(member));
    content.host_list_revision = reader.number(any_number);
    return content;
}

payload decode_submit(json const& fields)
{
    field_reader reader(fields, 5);
    submit content;
    content.exchange = reader.number(any_number);
    content.id = reader.id();
    content.service = reader.service_name();
    content.remaining_ms = reader.number_32();
    content.body = reader.bytes(largest_body);
    return content;
}

payload decode_submit_reply(json const& fields)
{
    field_reader reader(fields, 4);
    submit_reply content;
    content.exchange = reader.number(any_number);
    content.result = reader.result();
    content.cause = reader.cause();
    content.answer = reader.bytes(largest_body);
    return content;
}

payload decode_relay(json const& fields)
{
    field_reader reader(fields, 6);
    relay content;
    content.id = reader.id();
    content.attempt = reader.number_32();
    content.service = reader.service_name();
    content.remaining_ms = reader.number_32();
    content.is_suspect = reader.flag();
    content.body = reader.bytes(largest_body);
    return content;
}

payload decode_relay_reply(json const& fields)
{
    field_reader reader(fields, 6);
    relay_reply content;
    content.id = reader.id();
    content.attempt = reader.number_32();
    content.result = reader.result();
    content.cause = reader.cause();
    content.backend_server = reader.host_name(true);
    content.answer = reader.bytes(largest_body);
    return content;
}

payload decode_relay_cancel(json const& fields)
{
    field_reader reader(fields, 2);
    relay_cancel content;
    content.id = reader.id();
    content.attempt = reader.number_32();
    return content;
}

payload decode_configuration_request(json const& fields)
{
    field_reader const reader(fields, 0);
    return configuration_request{};
}

payload decode_configuration_document(json const& fields)
{
    field_reader reader(fields, 2);
    configuration_document content;
    content.version = reader.number(any_number);
    content.text = reader.bytes(largest_document);
    return content;
}

payload decode_quarantine_notice(json const& fields)
{
    field_reader reader(fields, 4);
    quarantine_notice content;
    content.fingerprint = reader.number(any_number);
    content.remaining_ms = reader.number_32();
    content.is_quarantined = reader.flag();
    content.backend_server = reader.host_name(true);
    return content;
}

payload decode_host_list_request(json const& fields)
{
    field_reader reader(fields, 1);
    return host_list_request{reader.number(any_number)};
}

payload decode_host_list(json const& fields)
{
    field_reader reader(fields, 7);
    host_list content;
    content.revision = reader.number(any_number);
    content.failure_domain = reader.bytes(longest_listed_name);
    for (auto const& host : reader.items(most_listed_items))
        content.entry_hosts.push_back(decode_entry_host(host));
    for (auto const& server : reader.items(most_listed_items))
        content.backend_servers.push_back(decode_backend_server(server));
    content.reached_revision = reader.number(any_number);
    content.position = reader.number_32();
    content.count = reader.number_32();
    return content;
}

// In the order of the alternatives of `payload`.
constexpr std::array<payload (*)(json const&), 11> decoders{decode_heartbeat,
                                                            decode_submit,
                                                            decode_submit_reply,
                                                            decode_relay,
                                                            decode_relay_reply,
                                                            decode_relay_cancel,
                                                            decode_configuration_request,
                                                            decode_configuration_document,
                                                            decode_quarantine_notice,
                                                            decode_host_list_request,
                                                            decode_host_list};
static_assert(decoders.size() == std::variant_size_v<payload>);

} // namespace

json encode_payload(payload const& content)
{
    return std::visit(
        [](auto const& alternative)
        {
            return encode_content(alternative);
        },
        content);
}

payload decode_payload(std::uint64_t kind, json const& fields)
{
    if (kind >= decoders.size())
        throw codec_error(codec_failure::unknown_kind);
    return decoders[kind](fields);
}

} // namespace pistachiohub::messages::detail
