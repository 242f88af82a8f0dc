#pragma once

/// @file
/// JSON form of the configuration: parse, check, merge patch.

#include "kernel/error.hpp"
#include "libraries/configuration/configuration.hpp"

#include <string>
#include <string_view>

namespace pistachiohub::configuration
{

/// A configuration document or a patch is not valid.
class configuration_error : public kernel::error
{
public:
    /// @param key the offending key, with its path.
    /// @param value its value as JSON text.
    /// @param permitted what is permitted.
    configuration_error(std::string_view key, std::string_view value, std::string_view permitted);

    /// @returns the path of the offending key.
    [[nodiscard]] std::string const& key() const;

private:
    std::string m_key;
};

/// Parses and checks a whole configuration. Unknown keys are refused.
/// @throws configuration_error naming the key, its value and what is permitted.
[[nodiscard]] configuration parse_configuration(std::string_view text);

/// Applies a JSON merge patch (RFC 7396) and sets `version` and `patch_id`.
/// @param text the current configuration.
/// @param patch the merge patch; it may not name `version` or `patch_id`.
/// @returns the text of the new configuration, checked.
/// @throws configuration_error when the patch or the result is not valid.
[[nodiscard]] std::string apply_patch(std::string_view text,
                                      std::string_view patch,
                                      std::uint64_t new_version,
                                      std::string_view patch_id);

} // namespace pistachiohub::configuration
