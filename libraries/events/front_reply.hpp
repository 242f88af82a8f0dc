#pragma once

/// @file
/// Messages to the front duty, which holds the callers' connections.

#include "libraries/identity/request_id.hpp"
#include "libraries/outcome/outcome.hpp"

#include <cstdint>
#include <string>

namespace pistachiohub::events
{

/// The answer to a caller's request.
struct front_reply
{
    std::uint64_t exchange = 0;
    identity::request_id id;
    outcome result = outcome::unresolved;
    reason cause = reason::ok;
    /// Whole answer of the backend server when `result` is `ran`.
    std::string answer;
    /// Name of the service, for the fresh lookup that goes with a refusal.
    std::string service;
    /// True when the caller should get a fresh lookup.
    bool has_lookup = false;
};

} // namespace pistachiohub::events
