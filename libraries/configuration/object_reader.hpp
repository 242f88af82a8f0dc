#pragma once

/// @file
/// Reads one JSON object of a configuration and reports errors with the path of the key.

#include <boost/json/value.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiohub::configuration::detail
{

/// @throws configuration_error for the key at `path`; a long value is cut.
[[noreturn]] void
refuse(std::string const& path, boost::json::value const& value, std::string_view permitted);

/// @returns true if `name` is 1 to 63 characters of `a-z`, `0-9` and `-`.
[[nodiscard]] bool is_name(std::string_view name);

/// Reads one JSON object; each accessor throws configuration_error for a value that is not
/// permitted.
class object_reader
{
public:
    object_reader(boost::json::value const& value, std::string path);

    /// @returns the path of `key` from the root of the document.
    [[nodiscard]] std::string key_path(std::string_view key) const;

    /// @returns the value of `key`, or null. The key counts as known from then on.
    [[nodiscard]] boost::json::value const* find(std::string_view key);

    /// @returns the value of a key that must be present.
    [[nodiscard]] boost::json::value const& require(std::string_view key,
                                                    std::string_view permitted);

    /// @returns an integer in `[lowest, highest]`; the key is required.
    [[nodiscard]] std::uint64_t
    integer(std::string_view key, std::uint64_t lowest, std::uint64_t highest);

    /// @returns an integer in `[lowest, highest]`, or `fallback` when the key is missing.
    [[nodiscard]] std::uint64_t integer_or(std::string_view key,
                                           std::uint64_t lowest,
                                           std::uint64_t highest,
                                           std::uint64_t fallback);

    /// @returns a number in `[0, 1]`, or `fallback` when the key is missing.
    [[nodiscard]] double fraction_or(std::string_view key, double fallback);

    /// @returns the position of a string in `names`.
    [[nodiscard]] std::size_t choice(std::string_view key,
                                     std::vector<std::string_view> const& names);

    /// @returns the position of a string in `names`, or `fallback` when the key is missing.
    [[nodiscard]] std::size_t choice_or(std::string_view key,
                                        std::vector<std::string_view> const& names,
                                        std::size_t fallback);

    /// @throws configuration_error for the first key that no accessor asked for.
    void refuse_unknown_keys() const;

private:
    boost::json::object const* m_object = nullptr;
    std::string m_path;
    std::vector<std::string> m_known;
};

/// Calls `read(name, value, path)` for each member of an object whose keys are names.
template<class Read>
void for_each_named(boost::json::value const& value, std::string const& path, Read&& read)
{
    if (!value.is_object())
        refuse(path, value, "a JSON object");
    for (auto const& member : value.get_object())
    {
        auto const name = std::string_view(member.key());
        auto const member_path = path + '.' + std::string(name);
        if (!is_name(name))
            refuse(member_path, member.value(), "a key of 1 to 63 characters of a-z, 0-9 and -");
        read(name, member.value(), member_path);
    }
}

} // namespace pistachiohub::configuration::detail
