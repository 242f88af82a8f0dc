#include "plugins/admin/config_patch.hpp"

#include "libraries/configuration/document.hpp"

#include <boost/json.hpp>

#include <thread>

namespace pistachiohub::admin
{

namespace
{

namespace json = boost::json;
using object_store::status;

constexpr std::string_view kind = "configuration";
constexpr std::string_view name = "current";
// Attempts after lost answers or refusals for the store's rate.
constexpr int most_attempts = 6;
constexpr auto retry_delay = std::chrono::milliseconds(100);

std::string patch_id_of(std::string const& text)
{
    boost::system::error_code failure;
    auto const document = json::parse(text, failure);
    auto const* const members = document.if_object();
    auto const* const id = members == nullptr ? nullptr : members->if_contains("patch_id");
    return id != nullptr && id->is_string() ? std::string(id->get_string()) : "";
}

/// One patch between its attempts.
class patch_attempts
{
public:
    patch_attempts(object_store::client& store, patch_request const& wanted)
        : m_store(store)
        , m_wanted(wanted)
    {
    }

    patch_result run()
    {
        for (int attempt = 0; attempt < most_attempts; ++attempt)
        {
            if (attempt > 0)
                std::this_thread::sleep_for(retry_delay);
            if (try_once())
                return m_result;
        }
        return give_up();
    }

private:
    // A write in doubt may have taken effect, or may still do so.
    patch_result give_up()
    {
        m_result.end = m_is_in_doubt ? patch_end::unknown : patch_end::unavailable;
        return m_result;
    }

    bool finish(patch_end end, std::uint64_t version)
    {
        m_result.end = end;
        m_result.version = version;
        return true;
    }

    /// @returns true when the result is final.
    bool try_once()
    {
        auto current = m_store.read(kind, name);
        if (current.end == status::missing)
            current.found.value = "{}";
        else if (current.end != status::ok)
            return !m_is_in_doubt && current.end != status::over_rate &&
                   finish(patch_end::unavailable, 0);
        auto const version = current.found.version;
        if (version != m_wanted.against_version)
            return finish_other_version(version, current.found.value);
        try
        {
            m_result.text = configuration::apply_patch(
                current.found.value, m_wanted.patch, version + 1, m_wanted.patch_id);
        }
        catch (configuration::configuration_error const& refused)
        {
            m_result.message = refused.what();
            return finish(patch_end::invalid, version);
        }
        return write(version);
    }

    bool finish_other_version(std::uint64_t version, std::string const& text)
    {
        bool const is_next = version == m_wanted.against_version + 1;
        if (is_next && patch_id_of(text) == m_wanted.patch_id && has_patch(text, version))
        {
            m_result.text = text;
            return finish(patch_end::accepted, version);
        }
        // Another patch on top of the next version hides whose patch that version was.
        bool const is_hidden = m_is_in_doubt && version > m_wanted.against_version + 1;
        return finish(is_hidden ? patch_end::unknown : patch_end::stale, version);
    }

    // A merge patch changes nothing in a document that has it already. This tells a patch that was
    // sent again from another operator's patch with the same id.
    [[nodiscard]] bool has_patch(std::string const& text, std::uint64_t version) const
    {
        try
        {
            auto const again =
                configuration::apply_patch(text, m_wanted.patch, version, m_wanted.patch_id);
            return json::parse(again) == json::parse(text);
        }
        catch (configuration::configuration_error const&)
        {
            return false;
        }
    }

    bool write(std::uint64_t version)
    {
        auto const result = m_store.write(kind, name, version, m_result.text);
        switch (result.end)
        {
        case status::ok:
            return finish(patch_end::accepted, result.version);
        case status::lost_answer:
        case status::cancelled:
            m_is_in_doubt = true;
            return false;
        case status::outage:
            return !m_is_in_doubt && finish(patch_end::unavailable, version);
        default:
            // After a conflict the object is read again, which tells the current version.
            return false;
        }
    }

    object_store::client& m_store;
    patch_request const& m_wanted;
    patch_result m_result;
    bool m_is_in_doubt = false;
};

json::value const& require(json::object const& members, std::string_view key)
{
    auto const* const value = members.if_contains(key);
    if (value == nullptr)
        throw bad_patch_request("member " + std::string(key) + " is missing");
    return *value;
}

} // namespace

patch_request parse_patch_request(std::string_view body)
{
    boost::system::error_code failure;
    auto const document = json::parse(body, failure);
    auto const* const members = document.if_object();
    if (failure || members == nullptr)
        throw bad_patch_request("the body is not a JSON object");
    for (auto const& member : *members)
    {
        auto const key = std::string_view(member.key());
        if (key != "against_version" && key != "patch_id" && key != "patch")
            throw bad_patch_request("member " + std::string(key) +
                                    " is unknown; permitted: against_version patch_id patch");
    }
    auto const& version = require(*members, "against_version");
    if (!version.is_int64() || version.get_int64() < 0)
        throw bad_patch_request("against_version is " + json::serialize(version) +
                                "; permitted: an integer from 0");
    auto const& id = require(*members, "patch_id");
    if (!id.is_string())
        throw bad_patch_request("patch_id is " + json::serialize(id) + "; permitted: a string");
    return {static_cast<std::uint64_t>(version.get_int64()),
            std::string(id.get_string()),
            json::serialize(require(*members, "patch"))};
}

patch_result apply_to_store(object_store::client& store, patch_request const& wanted)
{
    return patch_attempts(store, wanted).run();
}

} // namespace pistachiohub::admin
