#include "plugins/customer/identification.hpp"

#include <array>

namespace pistachiohub::customer
{

namespace
{

refusal_cause cause_of_unknown(routing::routing_table const& table, trust const& trusted)
{
    if (!trusted.in_unknown_keys)
        return refusal_cause::old_contact;
    return table.document.are_customers_unreadable ? refusal_cause::unreadable_customers
                                                   : refusal_cause::unknown_key;
}

identity judge_key(routing::routing_table const& table, std::string_view key, trust const& trusted)
{
    auto const found = routing::find_customer(table, key);
    if (found.is_claimed_by_several)
        return {nullptr, refusal_cause::shared_key};
    if (found.holder == nullptr)
        return {nullptr, cause_of_unknown(table, trusted)};
    if (!found.holder->is_readable)
        return {found.holder, refusal_cause::unreadable_customer};
    if (!trusted.in_known_keys)
        return {found.holder, refusal_cause::old_contact};
    return {found.holder, refusal_cause::none};
}

} // namespace

std::string_view to_string(refusal_cause value)
{
    // In the order of the enumeration.
    constexpr std::array<std::string_view, 7> names{"none",
                                                    "no_key",
                                                    "unknown_key",
                                                    "shared_key",
                                                    "unreadable_customer",
                                                    "unreadable_customers",
                                                    "old_contact"};
    return names.at(static_cast<std::size_t>(value));
}

identity identify(routing::routing_table const& table,
                  bool is_exempt,
                  std::optional<std::string_view> key,
                  trust const& trusted)
{
    if (!table.document.customers)
        return {};
    auto const judged =
        key ? judge_key(table, *key, trusted) : identity{nullptr, refusal_cause::no_key};
    return is_exempt && judged.cause != refusal_cause::none ? identity{} : judged;
}

} // namespace pistachiohub::customer
