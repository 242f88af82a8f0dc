#pragma once

/// @file
/// The token bucket that bounds retries of one service.

namespace pistachiohub::retry
{

/// Tokens that each first attempt adds; bounds attempts to 1.1 for each request in the long run.
inline constexpr double tokens_for_each_request = 0.1;
/// Largest number of saved tokens, so that a long calm does not pay for a burst of retries.
inline constexpr double most_tokens = 10;

/// Saved permission to retry.
struct retry_budget
{
    double tokens = 0;
};

/// Adds the tokens of one new request.
void earn(retry_budget& budget);

/// Takes one token.
/// @returns false when there is less than one.
[[nodiscard]] bool try_spend(retry_budget& budget);

} // namespace pistachiohub::retry
