#include "plugins/peer/peer_duty.hpp"

#include "libraries/configuration/document.hpp"
#include "libraries/messages/codec.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>

#include <array>
#include <utility>

namespace pistachiohub::peer
{

namespace
{

constexpr int peer_start_order = 10;
constexpr auto check_interval = std::chrono::milliseconds(50);
// Closing a socket drops its send buffer, which may hold the last replies of a graceful shutdown.
constexpr auto last_send_time = std::chrono::milliseconds(100);
// Received messages that are handled before commands get their turn again.
constexpr int most_in_turn = 256;

// In the order of the alternatives of `messages::payload`.
constexpr std::array<std::string_view, 11> kind_names{"heartbeat",
                                                      "submit",
                                                      "submit_reply",
                                                      "relay",
                                                      "relay_reply",
                                                      "relay_cancel",
                                                      "configuration_request",
                                                      "configuration_document",
                                                      "quarantine_notice",
                                                      "host_list_request",
                                                      "host_list"};
static_assert(kind_names.size() == std::variant_size_v<messages::payload>);

std::unique_ptr<kernel::duty> create(kernel::daemon_context& context)
{
    return std::make_unique<peer_duty>(context);
}

kernel::registration const peer_registration({"peer", peer_start_order, create});

// Keeps only the fields that identify what was not sent.
std::optional<events::peer_unsent> make_report(messages::payload const& content)
{
    if (auto const* const submitted = std::get_if<messages::submit>(&content))
        return events::peer_unsent{messages::submit{
            submitted->exchange, submitted->id, submitted->service, submitted->remaining_ms, {}}};
    if (auto const* const relayed = std::get_if<messages::relay>(&content))
        return events::peer_unsent{messages::relay{relayed->id,
                                                   relayed->attempt,
                                                   relayed->service,
                                                   relayed->remaining_ms,
                                                   relayed->is_suspect,
                                                   {}}};
    return std::nullopt;
}

} // namespace

struct peer_duty::readiness
{
    readiness(kernel::event_loop& loop, int readable)
        : descriptor(loop.context(), readable)
    {
    }

    ~readiness()
    {
        // nng owns and closes the descriptor.
        descriptor.release();
    }

    readiness(readiness const&) = delete;
    readiness& operator=(readiness const&) = delete;

    boost::asio::posix::stream_descriptor descriptor;
};

peer_duty::peer_duty(kernel::daemon_context& context)
    : m_context(context)
    , m_commands(context.shared<kernel::mailbox<events::peer_command>>())
    , m_control(context.shared<kernel::mailbox<events::control_event>>())
    , m_forward(context.shared<kernel::mailbox<events::forward_event>>())
    , m_unsent(m_forward)
    , m_world(context.shared<kernel::snapshot<view::world_view>>())
    , m_pull(context.own_settings().address, context.own_settings().peer_port)
    , m_links(
          m_loop,
          [this](outgoing_message&& message)
          {
              count("pistachiohub_peer_messages_sent_total", "kind", message.kind);
              m_context.own_metrics()
                  .find_counter("pistachiohub_peer_bytes_sent_total")
                  .increment(static_cast<double>(message.bytes.size()));
          },
          [this](outgoing_message&& message)
          {
              report_unsent(std::move(message));
          })
    , m_readiness(std::make_unique<readiness>(m_loop, m_pull.readable_descriptor()))
{
}

peer_duty::~peer_duty()
{
    m_commands.set_wake_up({});
}

void peer_duty::run()
{
    m_loop.consume(m_commands,
                   [this](events::peer_command&& command)
                   {
                       send(std::move(command));
                   });
    m_loop.every(check_interval,
                 [this]()
                 {
                     m_links.check_times();
                     m_unsent.flush();
                 });
    wait_for_messages();
    m_loop.run();
}

void peer_duty::request_stop()
{
    m_loop.post(
        [this]()
        {
            m_loop.after(last_send_time,
                         [this]()
                         {
                             m_loop.stop();
                         });
        });
}

std::uint16_t peer_duty::port() const
{
    return m_pull.port();
}

void peer_duty::send(events::peer_command&& command)
{
    auto const* const world = m_world.get();
    outgoing_message outgoing;
    outgoing.kind = kind_names.at(command.content.index());
    outgoing.report = make_report(command.content);
    auto const remote = find_address(command.recipient);
    if (!remote)
        return report_unsent(std::move(outgoing));
    messages::envelope message;
    message.sender = m_context.own_settings().name;
    message.sender_incarnation = m_context.incarnation();
    message.configuration_version = world == nullptr ? 0 : world->configuration->version;
    message.recipient_incarnation = command.recipient_incarnation;
    message.content = std::move(command.content);
    outgoing.bytes = messages::encode(message, m_context.own_settings().peer_key);
    m_links.send(command.recipient, *remote, std::move(outgoing));
}

std::optional<kernel::endpoint> peer_duty::find_address(std::string_view peer)
{
    if (auto const* const world = m_world.get())
    {
        auto const position = view::find_entry_host(*world, peer);
        if (position != view::no_index && world->entry_hosts[position].peer_port != 0)
        {
            auto const& host = world->entry_hosts[position];
            return kernel::endpoint{host.address, host.peer_port};
        }
    }
    for (auto const& seed : m_context.own_settings().seed_peers)
    {
        if (seed.name == peer)
            return kernel::endpoint{seed.address, seed.peer_port};
    }
    return std::nullopt;
}

void peer_duty::report_unsent(outgoing_message&& message)
{
    count("pistachiohub_peer_messages_unsent_total", "kind", message.kind);
    if (message.report)
        m_unsent.push(std::move(*message.report));
}

void peer_duty::wait_for_messages()
{
    m_readiness->descriptor.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                                       [this](boost::system::error_code failure)
                                       {
                                           if (failure)
                                               return;
                                           receive_all();
                                           wait_for_messages();
                                       });
}

void peer_duty::receive_all()
{
    for (int received = 0; received < most_in_turn; ++received)
    {
        auto const bytes = m_pull.receive();
        if (!bytes)
            return;
        receive(*bytes);
    }
}

void peer_duty::receive(std::span<std::byte const> bytes)
{
    m_context.own_metrics()
        .find_counter("pistachiohub_peer_bytes_received_total")
        .increment(static_cast<double>(bytes.size()));
    if (bytes.size() > largest_message)
        return refuse("too_large");
    try
    {
        handle(messages::decode(bytes, m_context.own_settings().peer_key));
    }
    catch (messages::codec_error const& broken)
    {
        refuse(messages::to_string(broken.failure()));
    }
}

void peer_duty::handle(messages::envelope&& message)
{
    bool const is_for_this = message.recipient_incarnation == 0 ||
                             message.recipient_incarnation == m_context.incarnation();
    if (!is_for_this)
        return refuse("other_incarnation");
    count("pistachiohub_peer_messages_received_total",
          "kind",
          kind_names.at(message.content.index()));
    events::peer_heard heard{
        message.sender, message.sender_incarnation, message.configuration_version, std::nullopt};
    if (auto* const beat = std::get_if<messages::heartbeat>(&message.content))
        heard.beat = std::move(*beat);
    tell_control(std::move(heard));
    std::visit(
        [this, &message](auto&& content)
        {
            using content_type = std::decay_t<decltype(content)>;
            if constexpr (std::is_same_v<content_type, messages::configuration_request>)
                tell_control(events::configuration_wanted{message.sender});
            else if constexpr (std::is_same_v<content_type, messages::configuration_document>)
                handle_document(content);
            else if constexpr (std::is_same_v<content_type, messages::host_list_request>)
                tell_control(events::host_list_wanted{message.sender, content.revision});
            else if constexpr (std::is_same_v<content_type, messages::host_list>)
                tell_control(events::host_list_told{message.sender,
                                                    std::forward<decltype(content)>(content)});
            else if constexpr (!std::is_same_v<content_type, messages::heartbeat>)
                tell_forward(
                    events::peer_request_message{message.sender,
                                                 message.sender_incarnation,
                                                 std::forward<decltype(content)>(content)});
        },
        std::move(message.content));
}

void peer_duty::handle_document(messages::configuration_document const& document)
{
    try
    {
        auto parsed = std::make_shared<configuration::configuration const>(
            configuration::parse_configuration(document.text));
        if (parsed->version != document.version)
            return refuse("configuration_version");
        tell_control(events::configuration_received{
            std::move(parsed), std::make_shared<std::string const>(document.text)});
    }
    catch (configuration::configuration_error const& invalid)
    {
        refuse("invalid_configuration");
        kernel::log_event(kernel::log_level::warning,
                          "peer",
                          "configuration_refused",
                          {{"error", std::string_view(invalid.what())}});
    }
}

void peer_duty::tell_control(events::control_event&& event)
{
    // Peers repeat heartbeats and requests, and an answer with a lost message is asked for again.
    if (!m_control.try_push(std::move(event)))
        count("pistachiohub_peer_messages_dropped_total", "duty", "control");
}

void peer_duty::tell_forward(events::forward_event&& event)
{
    // A dropped message is a message lost on the network, which the protocol allows for.
    if (!m_forward.try_push(std::move(event)))
        count("pistachiohub_peer_messages_dropped_total", "duty", "forward");
}

void peer_duty::refuse(std::string_view cause)
{
    count("pistachiohub_peer_messages_refused_total", "reason", cause);
}

void peer_duty::count(std::string_view name, std::string_view label, std::string_view value)
{
    m_context.own_metrics().find_counter(name, {label, value}).increment();
}

} // namespace pistachiohub::peer
