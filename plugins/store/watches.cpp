#include "kernel/log.hpp"
#include "kernel/plugin.hpp"
#include "libraries/configuration/document.hpp"
#include "plugins/store/host_list.hpp"
#include "plugins/store/watch_loop.hpp"

namespace pistachiohub::store
{

namespace
{

using object_store::object;
using optional_event = std::optional<events::control_event>;

void report_invalid(kernel::daemon_context& context, object const& refused, std::string_view error)
{
    context.own_metrics().find_counter("pistachiohub_store_invalid_objects_total").increment();
    kernel::log_event(kernel::log_level::error,
                      "store",
                      "object_refused",
                      {{"name", refused.name}, {"version", refused.version}, {"error", error}});
}

optional_event
to_configuration(kernel::daemon_context& context, object const& changed, std::uint64_t /*revision*/)
{
    if (changed.name != "current")
        return std::nullopt;
    try
    {
        auto document = std::make_shared<configuration::configuration>(
            configuration::parse_configuration(changed.value));
        if (document->version == changed.version)
            return events::configuration_received{
                std::move(document), std::make_shared<std::string const>(changed.value)};
        report_invalid(context, changed, "the document's version differs from the object's");
    }
    catch (configuration::configuration_error const& refused)
    {
        report_invalid(context, changed, refused.what());
    }
    return std::nullopt;
}

optional_event
to_host_list(kernel::daemon_context& context, object const& changed, std::uint64_t revision)
{
    bool const is_own = changed.name == context.own_settings().failure_domain;
    try
    {
        auto parsed = parse_host_list(changed.name, changed.value, is_own);
        if (parsed.skipped > 0)
            report_invalid(context, changed, std::to_string(parsed.skipped) + " entries left out");
        parsed.list.revision = revision;
        return std::move(parsed.list);
    }
    catch (host_list_error const& refused)
    {
        report_invalid(context, changed, refused.what());
    }
    return std::nullopt;
}

template<optional_event (*convert)(kernel::daemon_context&, object const&, std::uint64_t)>
std::unique_ptr<kernel::duty>
create_watch(kernel::daemon_context& context, std::string kind, bool reports_polls)
{
    return std::make_unique<watch_loop>(
        context,
        std::move(kind),
        [&context](object const& changed, std::uint64_t revision)
        {
            return convert(context, changed, revision);
        },
        reports_polls);
}

std::unique_ptr<kernel::duty> create_configuration_watch(kernel::daemon_context& context)
{
    return create_watch<to_configuration>(context, "configuration", false);
}

std::unique_ptr<kernel::duty> create_host_watch(kernel::daemon_context& context)
{
    return create_watch<to_host_list>(context, "hosts", true);
}

kernel::registration const
    configuration_watch_registration({"configuration watch", 60, create_configuration_watch});
kernel::registration const host_watch_registration({"host watch", 61, create_host_watch});

} // namespace

} // namespace pistachiohub::store
