#pragma once

/// @file
/// The loop of a duty that reads one kind of the store's objects for the gateway.

#include "kernel/mailbox.hpp"
#include "kernel/plugin.hpp"
#include "kernel/snapshot.hpp"
#include "libraries/events/gateway_event.hpp"
#include "libraries/fleet/relay_choice.hpp"
#include "libraries/interface/interface.hpp"
#include "libraries/object_store/object_store.hpp"
#include "plugins/discovery/contact_record.hpp"
#include "plugins/discovery/feed_history.hpp"
#include "plugins/discovery/feed_plan.hpp"
#include "plugins/discovery/rhythm.hpp"
#include "plugins/store/newest_generation.hpp"
#include "plugins/store/store_probe.hpp"
#include "plugins/store/wake_signal.hpp"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>

namespace pistachiohub::discovery
{

/// Reads all objects of a kind once, then follows changes by watches: of another daemon that reads
/// the store for this one, or else of the store.
class object_feed : public kernel::duty
{
public:
    /// Turns what was read into a message to the gateway.
    using convert_function = std::function<events::gateway_event(
        events::read_kind kind, object_store::list_result const& read)>;

    /// Makes the message that tells the gateway when its view was confirmed, from the begin of the
    /// call that did it.
    using confirmed_function = std::function<events::gateway_event(kernel::boot_time begun_at)>;

    /// @param confirmed may be empty; the gateway is told nothing then.
    object_feed(kernel::daemon_context& context,
                interface::deployment_interface const& spoken,
                std::string_view kind,
                feed_rhythm const& rhythm,
                convert_function convert,
                confirmed_function confirmed);
    ~object_feed() override;

    object_feed(object_feed const&) = delete;
    object_feed& operator=(object_feed const&) = delete;

    void run() override;
    void request_stop() override;

private:
    void poll();
    /// @returns the next read, which has begun if the store is called; nothing if neither the store
    /// nor another daemon may be asked now.
    [[nodiscard]] std::optional<planned_read> begin_read(fleet::relay_choice const* relay);
    void wait_for_permission(fleet::relay_choice const* relay);
    void poll_store(planned_read const& planned);
    /// Waits until the next read is due.
    /// @param asked_at begin of the call of the store that has ended.
    void wait_for_next_read(kernel::boot_time asked_at);
    void poll_relay(fleet::relay_choice const& relay, std::chrono::milliseconds wait);
    void close_relay_client();
    [[nodiscard]] relay_connection connection_to(fleet::relay_choice const* relay) const;
    [[nodiscard]] object_store::client& client_of(fleet::relay_choice const& relay);
    /// Hands what was read to the gateway, and then that its view is confirmed.
    /// @param confirmed_at all changes until this time are known.
    void accept(events::read_kind kind,
                object_store::list_result const& read,
                kernel::boot_time confirmed_at);
    /// Notes the generation of the store that answered.
    /// @returns whether the store was restored from an older copy since the last answer.
    [[nodiscard]] bool note_generation(std::uint64_t generation);
    void count_read(std::string_view source, object_store::status end);
    /// Handles a call of the store that failed.
    void handle_failure(object_store::status end, kernel::boot_time begun_at);
    /// Notes that the store answered this daemon or the one that it asked.
    /// @param begun_at begin of the call that the store answered.
    void note_contact(kernel::boot_time begun_at);
    /// Tells the gateway whether the store is away, if this has changed.
    void report_contact(object_store::status end);
    void deliver(events::gateway_event const& event);

    kernel::daemon_context& m_context;
    std::string m_kind;
    feed_rhythm m_rhythm;
    convert_function m_convert;
    confirmed_function m_confirmed;
    kernel::mailbox<events::gateway_event>& m_gateway;
    feed_histories& m_histories;
    store::newest_generation& m_newest_generation;
    store::store_probe& m_probe;
    kernel::snapshot_reader<fleet::relay_choice> m_relay;
    object_store::client m_client;
    /// Guards the pointer, which request_stop() reads from another thread.
    std::mutex m_relay_mutex;
    std::unique_ptr<object_store::client> m_relay_client;
    kernel::endpoint m_relay_address;
    feed_progress m_progress;
    store::wake_signal m_signal;
    std::mt19937_64 m_random{std::random_device{}()};
    /// Missing until all objects were read.
    std::optional<object_store::position> m_position;
    /// Generation of the store in the last answer that named one.
    std::uint64_t m_generation = 0;
    contact_record m_contact;
    /// What the gateway was told last.
    bool m_is_told_away = false;
    /// Calls of the store that failed since the last contact.
    unsigned m_failures = 0;
};

} // namespace pistachiohub::discovery
