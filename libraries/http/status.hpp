#pragma once

/// @file
/// Classes of status codes.

namespace pistachiohub::http
{

/// @returns whether another answer to the same request follows one of this status. 101 is none of
/// these: it ends HTTP on a connection, and no request asks for that.
[[nodiscard]] constexpr bool is_interim_status(unsigned status)
{
    constexpr unsigned first_interim = 100;
    constexpr unsigned switching_protocols = 101;
    constexpr unsigned first_final = 200;
    return status >= first_interim && status < first_final && status != switching_protocols;
}

/// @returns whether a status ends a request. One that is neither final nor interim is no status of
/// HTTP, and what bears it is no answer.
[[nodiscard]] constexpr bool is_final_status(unsigned status)
{
    constexpr unsigned first_final = 200;
    constexpr unsigned last_final = 599;
    return status >= first_final && status <= last_final;
}

} // namespace pistachiohub::http
