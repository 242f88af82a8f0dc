#include "libraries/outcome/outcome.hpp"

#include <array>
#include <cassert>
#include <cstddef>
#include <span>

namespace pistachiohub
{

namespace
{

// In the order of the enumerations.
constexpr std::array<std::string_view, 3> outcome_names{"ran", "not_run", "unresolved"};
constexpr std::array<std::string_view, 36> reason_names{"ok",
                                                        "malformed_http",
                                                        "body_too_large",
                                                        "header_too_large",
                                                        "bad_request_id",
                                                        "missing_request_id",
                                                        "bad_deadline",
                                                        "bad_query",
                                                        "unknown_service",
                                                        "unknown_path",
                                                        "not_ready",
                                                        "not_owner",
                                                        "owner_unreachable",
                                                        "owner_restarted",
                                                        "expired",
                                                        "future_epoch",
                                                        "id_reused",
                                                        "draining",
                                                        "daemon_overloaded",
                                                        "no_backend_server",
                                                        "queue_deadline",
                                                        "deadline",
                                                        "shift_cap",
                                                        "link_budget",
                                                        "no_credit",
                                                        "destination_refused",
                                                        "relay_unsent",
                                                        "relay_silent",
                                                        "backend_server_refused",
                                                        "backend_server_unreachable",
                                                        "connection_broken",
                                                        "retry_budget",
                                                        "quarantined",
                                                        "journal_unavailable",
                                                        "fenced",
                                                        "cancelled"};

template<class Value>
std::optional<Value> find_name(std::span<std::string_view const> names, std::string_view name)
{
    for (std::size_t index = 0; index < names.size(); ++index)
    {
        if (names[index] == name)
            return static_cast<Value>(index);
    }
    return std::nullopt;
}

} // namespace

std::string_view to_string(outcome value)
{
    return outcome_names.at(static_cast<std::size_t>(value));
}

std::string_view to_string(reason value)
{
    static_assert(reason_names.size() == static_cast<std::size_t>(reason::cancelled) + 1);
    return reason_names.at(static_cast<std::size_t>(value));
}

std::optional<outcome> parse_outcome(std::string_view name)
{
    return find_name<outcome>(outcome_names, name);
}

std::optional<reason> parse_reason(std::string_view name)
{
    return find_name<reason>(reason_names, name);
}

} // namespace pistachiohub
