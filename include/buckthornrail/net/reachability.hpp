/// @file
/// @brief Whether an address takes connections: the soonest sign that a process or its machine is gone.
#pragma once

#include "buckthornrail/net/tcp.hpp"

#include <map>

namespace buckthornrail::net {

/// What came of opening a connection.
enum class reachability : std::uint8_t {
    Open,
    Refused, ///< the machine is up, and nothing listens
    Silent, ///< no answer: the machine is gone or cut off
};

struct reachability_options {
    /// A second opening packet follows the first one, as links lose some: of three in a hundred lost each way, one
    /// alone would call six in a hundred sound addresses silent, two less than one in two hundred.
    milliseconds secondTryAfter { 15 };
    /// No answer by then is taken for silence. Domains are 0.6 ms apart, and a target takes 1 ms for a connection.
    milliseconds patience { 40 };
    /// A process that is itself late by so much doesn't judge yet: what has come may wait to be read.
    milliseconds mostOwnDelay { 20 };
    milliseconds keepOpen { 100 }; ///< an address that took a connection isn't tried again for so long
    milliseconds keepUnreachable { 500 }; ///< a verdict is told again, without a trial, for so long
    milliseconds keepWatching { 5000 }; ///< an address that nobody asked to watch for so long is watched no more
    /// A watched connection is opened again no sooner than so long after the last time: its address may be one that
    /// closes idle ones.
    milliseconds watchAgainAfter { 1000 };
};

/// @brief Tries addresses, each once at a time however many ask. Lives on the loop thread.
/// @ingroup net
class reachability_checks {
public:
    /// Told of addresses that aren't Open, and by checkAnew() of all; not from within a check.
    using verdict = std::function<void(const std::string& address, reachability found)>;

    reachability_checks(link::event_loop& loop, verdict tell, const reachability_options& options = {});
    reachability_checks(const reachability_checks&) = delete;
    reachability_checks& operator=(const reachability_checks&) = delete;
    ~reachability_checks();

    void check(const std::string& address);
    /// @brief Tries an address though it was found open not long ago, and tells whatever comes of it, Open too.
    void checkAnew(const std::string& address);
    /// @brief Another process has the address from now on: what was found, and what is being tried, is of the one
    /// before.
    void forget(const std::string& address) { m_trialsByAddress.erase(address); }
    /// @brief Keeps an idle connection to an address for a while. When it ends, the address is checked: so a process
    /// that crashes is known within a few milliseconds, without a question.
    void watch(const std::string& address);
    /// @brief Trials begun so far, for metrics.
    [[nodiscard]] std::uint64_t trials() const { return m_trials; }

private:
    struct trial;
    struct watched {
        channel_pointer channel;
        steady_time keepUntil {};
        steady_time dialAgainAt {};
    };

    void begin(const std::string& address);
    void dialOnce(const std::string& address, const std::shared_ptr<trial>& one);
    void awaitVerdict(const std::string& address, steady_time due);
    void settle(const std::string& address, reachability found);
    void openWatch(const std::string& address, watched& one, steady_time now);
    void dropUnwatched(steady_time now);

    link::event_loop& m_loop;
    verdict m_tell;
    reachability_options m_options;
    std::map<std::string, std::shared_ptr<trial>> m_trialsByAddress; ///< under way, or settled not long ago
    std::map<std::string, watched> m_watched;
    steady_time m_dropAt {};
    std::uint64_t m_trials = 0;
};

} // namespace buckthornrail::net
