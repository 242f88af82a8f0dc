#include "kernel/log.hpp"
#include "kernel/mailbox.hpp"
#include "kernel/plugin.hpp"
#include "kernel/snapshot.hpp"
#include "libraries/configuration/document.hpp"
#include "libraries/events/control_event.hpp"
#include "libraries/events/forward_event.hpp"
#include "libraries/http/server.hpp"
#include "plugins/admin/bearer_token.hpp"
#include "plugins/admin/config_patch.hpp"
#include "plugins/admin/status_report.hpp"
#include "plugins/admin/store_worker.hpp"

#include <boost/json.hpp>

#include <array>
#include <charconv>

namespace pistachiohub::admin
{

namespace
{

namespace json = boost::json;
using object_store::status;

constexpr unsigned http_ok = 200;
constexpr unsigned http_accepted = 202;
constexpr unsigned http_bad_request = 400;
constexpr unsigned http_unauthorized = 401;
constexpr unsigned http_not_found = 404;
constexpr unsigned http_bad_method = 405;
constexpr unsigned http_stale = 409;
constexpr unsigned http_invalid = 422;
constexpr unsigned http_unavailable = 503;
constexpr unsigned http_unknown = 504;

http::server_reply make_refusal(unsigned code, std::string_view reason, std::string_view message)
{
    return {code, json::serialize(json::object{{"reason", reason}, {"message", message}})};
}

http::server_reply to_reply(patch_result const& result)
{
    switch (result.end)
    {
    case patch_end::accepted:
        return {http_ok, json::serialize(json::object{{"version", result.version}})};
    case patch_end::stale:
        return {http_stale,
                json::serialize(
                    json::object{{"reason", "stale_version"}, {"version", result.version}})};
    case patch_end::invalid:
        return make_refusal(http_invalid, "invalid_configuration", result.message);
    case patch_end::unavailable:
        return make_refusal(http_unavailable, "store_unavailable", "nothing was changed");
    case patch_end::unknown:
        break;
    }
    return make_refusal(http_unknown,
                        "unknown_result",
                        "an answer of the store was lost; compare the current configuration");
}

// Values are JSON texts already, so they are joined without a second parse.
std::string join_values(std::vector<object_store::object> const& objects)
{
    std::string text = "[";
    for (auto const& object : objects)
    {
        text.append(text.size() > 1 ? "," : "");
        // Left out, a value that cannot be read would hide that its counts are missing.
        text.append(object.value.empty() ? "null" : object.value);
    }
    return text + ']';
}

http::server_reply read_ledgers(object_store::client& store, bool has_journals)
{
    auto const settlements = store.list("settlement");
    auto const journals =
        has_journals ? store.list("journal") : object_store::list_result{status::ok, 0, {}};
    if (settlements.end != status::ok || journals.end != status::ok)
        return make_refusal(http_unavailable, "store_unavailable", "the store cannot be read");
    return {http_ok,
            "{\"settlement\":" + join_values(settlements.objects) +
                ",\"journal\":" + join_values(journals.objects) + '}'};
}

http::server_reply read_configuration(object_store::client& store)
{
    auto const current = store.read("configuration", "current");
    if (current.end == status::ok)
        return {http_ok, current.found.value};
    if (current.end == status::missing)
        return make_refusal(http_not_found, "no_configuration", "the store holds no configuration");
    return make_refusal(http_unavailable, "store_unavailable", "the store cannot be read");
}

std::optional<std::uint64_t> parse_fingerprint(std::string const& body)
{
    boost::system::error_code failure;
    auto const document = json::parse(body, failure);
    auto const* const members = document.if_object();
    auto const* const value = members == nullptr ? nullptr : members->if_contains("fingerprint");
    if (value == nullptr || !value->is_string())
        return std::nullopt;
    auto const text = std::string_view(value->get_string());
    std::uint64_t fingerprint = 0;
    constexpr int hexadecimal = 16;
    auto const [position, number_failure] =
        std::from_chars(text.data(), text.data() + text.size(), fingerprint, hexadecimal);
    if (number_failure != std::errc{} || position != text.data() + text.size())
        return std::nullopt;
    return fingerprint;
}

/// The thread "admin": HTTP for operators.
class admin_duty : public kernel::duty
{
public:
    explicit admin_duty(kernel::daemon_context& context)
        : m_context(context)
        , m_world(context.shared<kernel::snapshot<view::world_view>>())
        , m_server(m_loop,
                   context.own_metrics(),
                   "pistachiohub_admin_refusals_total",
                   {context.own_settings().address, context.own_settings().admin_port},
                   [this](http::server_request const& wanted, http::reply_function const& reply)
                   {
                       handle(wanted, reply);
                   })
        , m_worker(context.own_settings().store)
    {
    }

    void run() override
    {
        m_loop.run();
    }

    void request_stop() override
    {
        m_loop.stop();
    }

private:
    struct route
    {
        std::string_view method;
        std::string_view path;
        bool is_open;
        void (admin_duty::*handle)(http::server_request const& wanted,
                                   http::reply_function const& reply);
    };

    void handle(http::server_request const& wanted, http::reply_function const& reply)
    {
        static constexpr std::array<route, 9> routes{{
            {"GET", "/healthz", true, &admin_duty::answer_health},
            {"GET", "/readyz", true, &admin_duty::answer_readiness},
            {"GET", "/metrics", true, &admin_duty::answer_metrics},
            {"GET", "/v1/status", false, &admin_duty::answer_status},
            {"GET", "/v1/config", false, &admin_duty::answer_configuration},
            {"POST", "/v1/config/patch", false, &admin_duty::answer_patch},
            {"POST", "/v1/drain", false, &admin_duty::answer_drain},
            {"GET", "/v1/settlement", false, &admin_duty::answer_settlement},
            {"POST", "/v1/quarantine/release", false, &admin_duty::answer_release},
        }};
        for (auto const& known : routes)
        {
            if (known.path != wanted.path)
                continue;
            bool const is_permitted =
                known.is_open ||
                is_authorized(wanted.authorization, m_context.own_settings().admin_key);
            if (!is_permitted)
                refuse(reply, http_unauthorized, "unauthorized", "a bearer token is required");
            else if (known.method != wanted.method)
                refuse(reply, http_bad_method, "bad_method", known.method);
            else
                (this->*known.handle)(wanted, reply);
            return;
        }
        refuse(reply, http_not_found, "unknown_path", wanted.path);
    }

    void refuse(http::reply_function const& reply,
                unsigned code,
                std::string_view reason,
                std::string_view message)
    {
        m_context.own_metrics()
            .find_counter("pistachiohub_admin_refusals_total", {"reason", reason})
            .increment();
        reply(make_refusal(code, reason, message));
    }

    /// Runs `work` on the worker's thread and sends its answer from the loop's thread.
    template<class Work>
    void answer_from_store(http::reply_function const& reply, Work work)
    {
        // The reply is moved on to the loop, because a connection must be destroyed on its thread.
        auto job =
            [this, own_reply = reply, work = std::move(work)](object_store::client& store) mutable
        {
            auto answer = work(store);
            m_loop.post(
                [own_reply = std::move(own_reply), answer = std::move(answer)]()
                {
                    own_reply(answer);
                });
        };
        if (!m_worker.try_run(std::move(job)))
            refuse(reply, http_unavailable, "admin_overloaded", "too many store calls wait");
    }

    void answer_health(http::server_request const&, http::reply_function const& reply)
    {
        reply({http_ok, "ok\n", "text/plain"});
    }

    void answer_readiness(http::server_request const&, http::reply_function const& reply)
    {
        auto const* const world = m_world.get();
        if (world == nullptr || world->configuration == nullptr)
            reply({http_unavailable, "no configuration\n", "text/plain"});
        else if (m_context.is_draining())
            reply({http_unavailable, "draining\n", "text/plain"});
        else
            reply({http_ok, "ready\n", "text/plain"});
    }

    void answer_metrics(http::server_request const&, http::reply_function const& reply)
    {
        reply({http_ok, m_context.own_metrics().text(), "text/plain; version=0.0.4"});
    }

    void answer_status(http::server_request const&, http::reply_function const& reply)
    {
        reply({http_ok, make_status(m_context, m_world.get())});
    }

    void answer_configuration(http::server_request const&, http::reply_function const& reply)
    {
        answer_from_store(reply, read_configuration);
    }

    void answer_settlement(http::server_request const& wanted, http::reply_function const& reply)
    {
        answer_from_store(reply,
                          [has_journals = wanted.query == "journals=1"](auto& store)
                          {
                              return read_ledgers(store, has_journals);
                          });
    }

    void answer_patch(http::server_request const& wanted, http::reply_function const& reply)
    {
        patch_request patch;
        try
        {
            patch = parse_patch_request(wanted.body);
        }
        catch (bad_patch_request const& refused)
        {
            refuse(reply, http_invalid, "bad_patch_request", refused.what());
            return;
        }
        answer_from_store(reply,
                          [this, patch = std::move(patch)](object_store::client& store)
                          {
                              return apply(store, patch);
                          });
    }

    // Runs on the worker's thread.
    http::server_reply apply(object_store::client& store, patch_request const& patch)
    {
        auto const result = apply_to_store(store, patch);
        auto reply = to_reply(result);
        kernel::log_event(kernel::log_level::info,
                          "admin",
                          "patch_ended",
                          {{"patch_id", patch.patch_id},
                           {"against_version", patch.against_version},
                           {"version", result.version},
                           {"status", reply.status}});
        if (result.end == patch_end::accepted)
            publish(result.text);
        return reply;
    }

    void publish(std::string const& text)
    {
        auto document = std::make_shared<configuration::configuration const>(
            configuration::parse_configuration(text));
        events::control_event event = events::configuration_received{
            std::move(document), std::make_shared<std::string const>(text)};
        // A full mailbox delays the version only: the watch or a peer brings it too.
        auto& control = m_context.shared<kernel::mailbox<events::control_event>>();
        static_cast<void>(control.try_push(std::move(event)));
    }

    void answer_drain(http::server_request const&, http::reply_function const& reply)
    {
        kernel::log_event(
            kernel::log_level::info, "admin", "drain_started", {{"cause", "operator"}});
        m_context.begin_drain();
        reply({http_accepted, "{\"is_draining\":true}"});
    }

    void answer_release(http::server_request const& wanted, http::reply_function const& reply)
    {
        auto const fingerprint = parse_fingerprint(wanted.body);
        if (!fingerprint)
        {
            refuse(reply,
                   http_bad_request,
                   "bad_fingerprint",
                   "fingerprint must be a string of up to 16 hexadecimal digits");
            return;
        }
        auto& forward = m_context.shared<kernel::mailbox<events::forward_event>>();
        if (forward.try_push(events::quarantine_release{*fingerprint}))
            reply({http_accepted, "{}"});
        else
            refuse(reply, http_unavailable, "daemon_overloaded", "try again");
    }

    kernel::daemon_context& m_context;
    kernel::snapshot_reader<view::world_view> m_world;
    kernel::event_loop m_loop;
    http::server m_server;
    // Destroyed first, because its jobs post to the loop.
    store_worker m_worker;
};

std::unique_ptr<kernel::duty> create_admin(kernel::daemon_context& context)
{
    return std::make_unique<admin_duty>(context);
}

kernel::registration const admin_registration({"admin", 70, create_admin});

} // namespace

} // namespace pistachiohub::admin
