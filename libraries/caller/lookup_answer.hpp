#pragma once

/// @file
/// The answer to a lookup, as callers read it.

#include "kernel/error.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiohub::caller
{

/// An entry host that a lookup offers.
struct entry_host
{
    std::string name;
    std::string address;
    std::uint16_t port = 0;
    std::uint64_t incarnation = 0;
    std::uint32_t epoch = 0;
    std::string failure_domain;
};

/// The answer to a lookup.
struct lookup_answer
{
    std::string service;
    /// `idempotent` or `at_most_once`.
    std::string kind;
    std::uint64_t configuration_version = 0;
    std::uint32_t ttl_ms = 0;
    /// Best first.
    std::vector<entry_host> entry_hosts;
};

/// A lookup answer is not of the documented form.
class lookup_answer_error : public kernel::error
{
public:
    using error::error;
};

/// Parses the JSON text of a lookup answer.
/// @throws lookup_answer_error when a key is missing or has another type.
[[nodiscard]] lookup_answer parse_lookup_answer(std::string_view text);

/// Finds the fresh lookup answer in the body of a refusal.
/// @returns its JSON text, or an empty text when there is none.
[[nodiscard]] std::string find_fresh_lookup(std::string_view refusal);

} // namespace pistachiohub::caller
