/// @file
/// Registers the duties that read the store for the gateway.

#include "kernel/log.hpp"
#include "libraries/fleet/entry_host_document.hpp"
#include "plugins/discovery/object_feed.hpp"
#include "plugins/discovery/rhythm.hpp"

#include <algorithm>
#include <exception>

namespace pistachiohub::discovery
{

namespace
{

constexpr int first_start_order = 110;
// Unreadable parts of one configuration that are logged one by one; the rest is counted.
constexpr std::size_t max_logged_parts = 20;

interface::deployment_interface const& interface_of(kernel::daemon_context& context)
{
    return interface::find_interface(context.own_settings().gateway->interface_name);
}

kernel::gateway_bounds const& bounds_of(kernel::daemon_context& context)
{
    return context.own_settings().gateway->bounds;
}

void log_unreadable(kernel::daemon_context& context,
                    std::string_view kind,
                    object_store::object const& read,
                    std::exception const& failure)
{
    context.own_metrics()
        .find_counter("pistachiohub_discovery_unreadable_objects_total", {"kind", kind})
        .increment();
    kernel::log_event(kernel::log_level::warning,
                      "discovery",
                      "object_unreadable",
                      {{"kind", kind},
                       {"name", std::string_view(read.name)},
                       {"version", read.version},
                       {"error", std::string_view(failure.what())}});
}

/// Logs the parts of a configuration that could not be read.
void log_unreadable_parts(kernel::daemon_context& context,
                          object_store::object const& read,
                          routing::routing_document const& document)
{
    auto const& parts = document.unreadable;
    if (parts.empty())
        return;
    context.own_metrics()
        .find_counter("pistachiohub_discovery_unreadable_configuration_parts_total")
        .increment(static_cast<double>(parts.size()));
    for (std::size_t number = 0; number < std::min(parts.size(), max_logged_parts); ++number)
        kernel::log_event(kernel::log_level::warning,
                          "discovery",
                          "configuration_part_unreadable",
                          {{"path", std::string_view(parts[number].path)},
                           {"error", std::string_view(parts[number].fault)},
                           {"version", document.version},
                           {"object_version", read.version},
                           {"unreadable_parts", parts.size()}});
}

/// Makes a feed that decodes each object by `decode`, which may throw. An object that cannot be
/// read counts as absent; the others hold.
template<class Record, class Decode>
std::unique_ptr<kernel::duty> make_feed(kernel::daemon_context& context,
                                        std::string_view kind,
                                        feed_rhythm const& rhythm,
                                        Decode decode,
                                        object_feed::confirmed_function confirmed = {})
{
    auto convert =
        [&context, kind, decode](events::read_kind read_as, object_store::list_result const& read)
    {
        events::store_update<Record> update{
            read_as != events::read_kind::changes, read.revision, {}};
        update.is_restored = read_as == events::read_kind::restored_list;
        for (auto const& object : read.objects)
        {
            events::change<Record> changed{object.name, object.version, std::nullopt};
            try
            {
                if (object.name.empty())
                    throw interface::document_error("the object has no name that can be read");
                if (!object.is_removed)
                    changed.record = decode(object);
            }
            // Whatever another writer has left must not end the duty, and with it the process.
            catch (std::exception const& failure)
            {
                log_unreadable(context, kind, object, failure);
            }
            if (!object.name.empty())
                update.changes.push_back(std::move(changed));
        }
        return events::gateway_event(std::move(update));
    };
    return std::make_unique<object_feed>(
        context, interface_of(context), kind, rhythm, convert, std::move(confirmed));
}

std::unique_ptr<kernel::duty> create_configuration_feed(kernel::daemon_context& context)
{
    auto const& spoken = interface_of(context);
    object_feed::confirmed_function confirmed;
    if (bounds_of(context).has_strict_revocation)
        confirmed = [](kernel::boot_time begun_at)
        {
            return events::gateway_event(events::configuration_confirmed{begun_at});
        };
    return make_feed<routing::routing_document>(
        context,
        spoken.kinds.configuration,
        configuration_rhythm(bounds_of(context)),
        [&context, &spoken](object_store::object const& read)
        {
            if (read.name != spoken.kinds.current_configuration)
                throw interface::document_error("object " + read.name +
                                                " is not the current configuration");
            auto document = spoken.decode_configuration(read);
            log_unreadable_parts(context, read, document);
            return document;
        },
        std::move(confirmed));
}

std::unique_ptr<kernel::duty> create_server_feed(kernel::daemon_context& context)
{
    auto const& spoken = interface_of(context);
    return make_feed<fleet::backend_server>(context,
                                            spoken.kinds.backend_servers,
                                            server_rhythm(bounds_of(context)),
                                            spoken.decode_backend_server);
}

std::unique_ptr<kernel::duty> create_evacuation_feed(kernel::daemon_context& context)
{
    return make_feed<events::evacuation>(context,
                                         interface_of(context).kinds.evacuations,
                                         evacuation_rhythm(bounds_of(context)),
                                         [](object_store::object const& read)
                                         {
                                             return events::evacuation{read.name};
                                         });
}

std::unique_ptr<kernel::duty> create_entry_host_feed(kernel::daemon_context& context)
{
    return make_feed<fleet::entry_host>(context,
                                        interface_of(context).kinds.entry_hosts,
                                        entry_host_rhythm(bounds_of(context)),
                                        [](object_store::object const& read)
                                        {
                                            return fleet::parse_entry_host(read.name, read.value);
                                        });
}

using kernel::daemon_part;

kernel::registration const configuration_feed_registration(
    {"routes feed", first_start_order, create_configuration_feed, daemon_part::gateway});
kernel::registration const server_feed_registration(
    {"servers feed", first_start_order + 1, create_server_feed, daemon_part::gateway});
kernel::registration const evacuation_feed_registration(
    {"evacuation feed", first_start_order + 2, create_evacuation_feed, daemon_part::gateway});
kernel::registration const entry_host_feed_registration(
    {"hosts feed", first_start_order + 3, create_entry_host_feed, daemon_part::gateway});

} // namespace

} // namespace pistachiohub::discovery
