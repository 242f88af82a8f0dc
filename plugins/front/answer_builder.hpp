#pragma once

/// @file
/// Answers of the caller API, built from the world view without a JSON document in between.

#include "libraries/events/front_reply.hpp"
#include "libraries/outcome/outcome.hpp"
#include "libraries/view/world_view.hpp"
#include "plugins/front/request_parser.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pistachiohub::front
{

/// An answer to one HTTP request.
struct caller_answer
{
    unsigned status = 0;
    /// False for lookup answers, which have no outcome.
    bool has_outcome = false;
    outcome result = outcome::not_run;
    reason cause = reason::ok;
    /// Text form; empty when the request has no valid id.
    std::string request_id;
    std::string body;
    bool is_json = true;
};

/// @param spread see lookup::find_entry_hosts.
/// @returns the JSON lookup answer for a service of the configuration.
[[nodiscard]] std::string make_lookup_json(view::world_view const& world,
                                           view::index service,
                                           std::optional<std::uint32_t> client,
                                           std::uint64_t spread);

/// Answers a lookup; an unknown service is refused.
/// @param world the published view, or null before the first publication.
/// @param spread see lookup::find_entry_hosts.
[[nodiscard]] caller_answer
answer_lookup(view::world_view const* world, lookup_query const& query, std::uint64_t spread);

/// Builds the answer to a request that is refused by its syntax or for want of a view.
/// @param is_lookup true for `GET /v1/lookup`, whose unknown service has a status of its own.
[[nodiscard]] caller_answer make_refusal(refusal const& refused, bool is_lookup = false);

/// Checks a submission against the configuration.
/// @param world the published view, or null before the first publication.
/// @returns why it is refused, or nothing.
[[nodiscard]] std::optional<refusal> check_submission(view::world_view const* world,
                                                      submission const& submitted);

/// Builds the answer that the forward duty decided on.
/// @param world the published view for the fresh lookup, or null.
/// @param spread see lookup::find_entry_hosts.
[[nodiscard]] caller_answer
make_reply(view::world_view const* world, events::front_reply&& reply, std::uint64_t spread);

} // namespace pistachiohub::front
