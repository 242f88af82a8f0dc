#pragma once

/// @file
/// Token bucket that limits the retries of one service.

namespace pistachiohub::retry
{

/// Tokens that each request's first attempt adds. In the long run this limits attempts to 1.1 for
/// each request.
inline constexpr double tokens_per_request = 0.1;
/// Capacity of the bucket, so that a long period without failures does not permit a large burst of
/// retries.
inline constexpr double max_tokens = 10;

/// Tokens available for retries; each retry takes one.
struct retry_budget
{
    double tokens = 0;
};

/// Adds the tokens for the first attempt of a request, up to the capacity.
void deposit(retry_budget& budget);

/// Takes one token.
/// @returns false, with nothing taken, if less than one token is available.
[[nodiscard]] bool try_spend(retry_budget& budget);

} // namespace pistachiohub::retry
