#pragma once

/// @file
/// Syntax of caller requests: from the head of an HTTP request to a query or a submission.

#include "libraries/identity/request_id.hpp"
#include "libraries/outcome/outcome.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace pistachiohub::front
{

/// A header that may be absent or, wrongly, repeated.
struct header_value
{
    std::string_view text;
    std::size_t occurrences = 0;
};

/// The parts of an HTTP request's head that the caller API reads.
struct request_head
{
    std::string_view method;
    std::string_view target;
    header_value request_id;
    header_value deadline_ms;
    header_value transmission;
};

/// `GET /v1/lookup`; the view points into the head's target.
struct lookup_query
{
    std::string_view service;
    /// IPv4 address in host byte order.
    std::optional<std::uint32_t> client;
};

/// `POST /v1/requests/{service}` without its body.
struct submission
{
    std::string_view service;
    std::optional<identity::request_id> id;
    /// 0 when the caller states none.
    std::uint32_t transmission = 0;
    std::chrono::milliseconds remaining{0};
};

/// A request that is refused before anything was done for it.
struct refusal
{
    reason cause = reason::malformed_http;
    std::string_view message;
    /// The request's id if it could be read.
    std::optional<identity::request_id> id;
    /// True when an earlier transmission of the id may have run, so that `not_run` is not proven.
    bool may_have_run = false;
};

/// @returns true unless the caller states that this is the first transmission of its id (rule R6).
[[nodiscard]] bool may_be_resent(submission const& submitted);

/// What a request asks for.
using parsed_request = std::variant<lookup_query, submission, refusal>;

/// Parses the head of a request; never throws on any input.
[[nodiscard]] parsed_request parse_request(request_head const& head);

/// @returns the number that `text` is, or nothing if it is not a decimal number from `lowest` to
/// `highest`.
[[nodiscard]] std::optional<std::uint32_t>
parse_bounded(std::string_view text, std::uint32_t lowest, std::uint32_t highest);

} // namespace pistachiohub::front
