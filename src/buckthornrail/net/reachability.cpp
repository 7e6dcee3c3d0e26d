/// @file
/// @brief Trials of addresses.
#include "buckthornrail/net/reachability.hpp"

#include <array>
#include <optional>
#include <utility>

namespace buckthornrail::net {

struct reachability_checks::trial {
    explicit trial(link::event_loop& loop)
        : timer(loop)
    {
    }
    trial(const trial&) = delete;
    trial& operator=(const trial&) = delete;
    ~trial() { closeAll(); }

    void closeAll()
    {
        for (auto& channel : channels) {
            if (channel)
                std::exchange(channel, nullptr)->abort(false);
        }
    }

    loop_timer timer;
    std::array<channel_pointer, 2> channels;
    std::size_t dialled = 0;
    std::optional<reachability> found; ///< empty: under way
    bool tellsOpen = false;
    steady_time keepUntil {}; ///< settled: what was found holds until then
};

reachability_checks::reachability_checks(link::event_loop& loop, verdict tell, const reachability_options& options)
    : m_loop(loop)
    , m_tell(std::move(tell))
    , m_options(options)
{
}

reachability_checks::~reachability_checks()
{
    for (auto& [address, one] : m_watched) {
        if (one.channel)
            one.channel->abort(false);
    }
}

void reachability_checks::watch(const std::string& address)
{
    const steady_time now = boot_clock::now();
    auto& one = m_watched[address];
    one.keepUntil = now + m_options.keepWatching;
    if (!one.channel && now >= one.dialAgainAt)
        openWatch(address, one, now);
    if (now >= m_dropAt)
        dropUnwatched(now);
}

void reachability_checks::openWatch(const std::string& address, watched& one, steady_time now)
{
    one.dialAgainAt = now + m_options.watchAgainAfter;
    channel_handlers handlers;
    handlers.ended = [this, address](channel_end) {
        const auto known = m_watched.find(address);
        if (known == m_watched.end())
            return;
        known->second.channel = nullptr;
        check(address);
    };
    one.channel = dial(m_loop, address, std::move(handlers));
}

void reachability_checks::dropUnwatched(steady_time now)
{
    m_dropAt = now + m_options.watchAgainAfter;
    std::erase_if(m_watched, [now](auto& item) {
        if (now < item.second.keepUntil)
            return false;
        if (item.second.channel)
            item.second.channel->abort(false);
        return true;
    });
}

void reachability_checks::check(const std::string& address)
{
    const steady_time now = boot_clock::now();
    std::erase_if(
        m_trialsByAddress, [now](const auto& item) { return item.second->found && now >= item.second->keepUntil; });
    const auto known = m_trialsByAddress.find(address);
    if (known == m_trialsByAddress.end()) {
        begin(address);
        return;
    }
    const auto found = known->second->found;
    if (!found || *found == reachability::Open)
        return;
    known->second->timer.set(now, [this, address, found] { m_tell(address, *found); });
}

void reachability_checks::checkAnew(const std::string& address)
{
    const auto known = m_trialsByAddress.find(address);
    if (known != m_trialsByAddress.end() && known->second->found == reachability::Open)
        m_trialsByAddress.erase(known);
    check(address);
    if (const auto begun = m_trialsByAddress.find(address); begun != m_trialsByAddress.end())
        begun->second->tellsOpen = true;
}

void reachability_checks::begin(const std::string& address)
{
    ++m_trials;
    auto one = std::make_shared<trial>(m_loop);
    m_trialsByAddress[address] = one;
    dialOnce(address, one);
    const steady_time now = boot_clock::now();
    one->timer.set(now + m_options.secondTryAfter, [this, address, weak = std::weak_ptr(one), now] {
        const auto open = weak.lock();
        if (!open || open->found)
            return;
        dialOnce(address, open);
        awaitVerdict(address, now + m_options.patience);
    });
}

void reachability_checks::dialOnce(const std::string& address, const std::shared_ptr<trial>& one)
{
    const auto settleAs = [this, address, weak = std::weak_ptr(one)](reachability found) {
        const auto open = weak.lock();
        if (open && !open->found)
            settle(address, found);
    };
    channel_handlers handlers;
    handlers.opened = [settleAs] { settleAs(reachability::Open); };
    handlers.ended = [settleAs](channel_end) { settleAs(reachability::Refused); };
    one->channels[one->dialled++] = dial(m_loop, address, std::move(handlers));
}

void reachability_checks::awaitVerdict(const std::string& address, steady_time due)
{
    const auto known = m_trialsByAddress.find(address);
    if (known == m_trialsByAddress.end())
        return;
    known->second->timer.set(due, [this, address, due] {
        const steady_time now = boot_clock::now();
        if (now - due > m_options.mostOwnDelay)
            awaitVerdict(address, now + m_options.secondTryAfter);
        else
            settle(address, reachability::Silent);
    });
}

void reachability_checks::settle(const std::string& address, reachability found)
{
    const auto known = m_trialsByAddress.find(address);
    if (known == m_trialsByAddress.end())
        return;
    const auto keep = known->second;
    const steady_time now = boot_clock::now();
    keep->found = found;
    keep->keepUntil = now + (found == reachability::Open ? m_options.keepOpen : m_options.keepUnreachable);
    keep->timer.cancel();
    keep->closeAll();
    if (found != reachability::Open || keep->tellsOpen)
        m_tell(address, found);
}

} // namespace buckthornrail::net
