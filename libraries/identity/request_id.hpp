#pragma once

/// @file
/// The identity of a request, which names the only daemon that may dispatch it.

#include "kernel/error.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pistachiohub::identity
{

/// Longest host name in an id, in characters.
inline constexpr std::size_t longest_host_name = 63;
/// Longest unique part of an id, in characters.
inline constexpr std::size_t longest_unique_part = 64;

/// Identity of one request. Only the owner's incarnation named here ever dispatches it.
struct request_id
{
    /// Name of the entry host that owns the request.
    std::string owner;
    /// Start number of the owner's process.
    std::uint64_t incarnation = 0;
    /// Minutes between the owner's start and the lookup that offered this owner.
    std::uint32_t epoch = 0;
    /// Part chosen by the caller.
    std::string unique;

    friend bool operator==(request_id const&, request_id const&) = default;
};

/// Hash for unordered containers.
struct request_id_hash
{
    [[nodiscard]] std::size_t operator()(request_id const& id) const;
};

/// @returns true if `name` is a valid host name: 1 to 63 characters of `a-z`, `0-9` and `-`.
[[nodiscard]] bool is_host_name(std::string_view name);

/// Parses `<owner>/<incarnation>/<epoch>/<unique>`.
/// @returns the id, or nothing when the text is not of that form.
[[nodiscard]] std::optional<request_id> parse_request_id(std::string_view text);

/// @returns the text form of `id`.
[[nodiscard]] std::string to_string(request_id const& id);

/// @returns an id that a caller chose as it is kept and shown: each byte other than `A-Z`, `a-z`,
/// `0-9` and `-._~` becomes `%` and two hexadecimal digits. Different ids stay different.
[[nodiscard]] std::string encode_callers_id(std::string_view id);

/// @returns the unique part of the text form of an id, or nothing when there is none.
[[nodiscard]] std::optional<std::string_view> unique_part_of(std::string_view text);

} // namespace pistachiohub::identity
