#pragma once

/// @file
/// Reads the JSON objects of a settings file and reports errors with the path of the key.

#include "kernel/settings.hpp"

#include <boost/json/value.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiohub::kernel::detail
{

inline constexpr std::string_view name_rule = "1 to 63 characters of a-z, 0-9 and -";
inline constexpr std::string_view address_rule = "an IPv4 or IPv6 address";
inline constexpr std::string_view endpoint_rule =
    "a text ADDRESS:PORT, or an object with address and port";
inline constexpr std::string_view key_rule = "a string of 16 to 256 characters";

[[nodiscard]] bool is_name(std::string_view text);
[[nodiscard]] bool is_address(std::string_view text);
[[nodiscard]] bool is_key(std::string_view text);

/// Reads one JSON object and refuses keys that nobody asked for. Accessors throw settings_error for
/// a value that is not permitted.
class settings_reader
{
public:
    /// @param path the path of the object from the root of the document.
    settings_reader(boost::json::value const& value, std::string path);

    /// @returns the path of `key` from the root of the document.
    [[nodiscard]] std::string key_path(std::string_view key) const;

    /// @returns the value of `key`, or null. The key counts as known from then on.
    [[nodiscard]] boost::json::value const* find(std::string_view key);

    /// @returns the value of a key that must be present.
    [[nodiscard]] boost::json::value const& require(std::string_view key,
                                                    std::string_view permitted);

    /// @returns a string for which `is_valid` holds; the key is required.
    [[nodiscard]] std::string
    text(std::string_view key, std::string_view permitted, bool (*is_valid)(std::string_view));

    /// @returns a port; the key is required.
    [[nodiscard]] std::uint16_t port(std::string_view key);

    /// @returns a number in `[lowest, highest]`, or `fallback` when the key is missing.
    [[nodiscard]] double
    number_or(std::string_view key, double lowest, double highest, double fallback);

    /// @returns the flag, or `fallback` when the key is missing.
    [[nodiscard]] bool flag_or(std::string_view key, bool fallback);

    /// @returns an address with its port; the key is required.
    [[nodiscard]] endpoint required_endpoint(std::string_view key);

    /// @throws settings_error for the first key that no accessor asked for.
    void refuse_unknown_keys() const;

private:
    [[nodiscard]] std::string permitted_keys() const;

    std::string m_path;
    boost::json::object const* m_object = nullptr;
    std::vector<std::string> m_known;
};

/// Reads the settings of the gateway.
/// @param path path of the object from the root of the settings file.
/// @throws settings_error naming the key, its value and what is permitted.
[[nodiscard]] gateway_settings read_gateway_settings(boost::json::value const& value,
                                                     std::string const& path);

} // namespace pistachiohub::kernel::detail
