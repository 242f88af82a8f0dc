#pragma once

/// @file
/// Checked access to the fields of a decoded MessagePack array.

#include "libraries/identity/request_id.hpp"
#include "libraries/outcome/outcome.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <limits>
#include <string>

namespace pistachiohub::messages::detail
{

/// Takes the fields of an array in their order and checks the type and the range of each.
///
/// Every member throws codec_error: `malformed` for a missing field or a wrong type, and
/// `field_out_of_range` for a value that is not permitted.
class field_reader
{
public:
    /// @param size number of fields that the array must have.
    field_reader(nlohmann::json const& fields, std::size_t size);

    /// @returns an integer from 0 to `highest`.
    [[nodiscard]] std::uint64_t number(std::uint64_t highest);

    /// @returns an integer of 32 bits.
    [[nodiscard]] std::uint32_t number_32();

    /// @returns a truth value.
    [[nodiscard]] bool flag();

    /// @returns a binary value of at most `largest` bytes.
    [[nodiscard]] std::string bytes(std::size_t largest);

    /// @returns a host name as identity::is_host_name defines it.
    /// @param may_be_empty true if the absence of a name is permitted.
    [[nodiscard]] std::string host_name(bool may_be_empty = false);

    /// @returns the name of a service: 1 to 255 bytes.
    [[nodiscard]] std::string service_name();

    /// @returns a request id.
    [[nodiscard]] identity::request_id id();

    /// @returns an outcome.
    [[nodiscard]] outcome result();

    /// @returns a reason.
    [[nodiscard]] reason cause();

    /// @returns an array of at most `most` items.
    [[nodiscard]] nlohmann::json const& items(std::size_t most);

    /// @returns the next field unchecked.
    [[nodiscard]] nlohmann::json const& next();

private:
    [[nodiscard]] std::string text(std::size_t largest);

    nlohmann::json const& m_fields;
    std::size_t m_position = 0;
};

/// One above the largest incarnation.
inline constexpr std::uint64_t incarnation_limit = std::uint64_t{1} << 53U;
/// The largest 64-bit number.
inline constexpr std::uint64_t any_number = std::numeric_limits<std::uint64_t>::max();

} // namespace pistachiohub::messages::detail
