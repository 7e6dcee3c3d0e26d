/// @file
/// @brief Simulation of entries, sidecars, targets, claims and callers in one process, over a network with faults.
#pragma once

#include "buckthornrail/dispatch/request_run.hpp"
#include "buckthornrail/dispatch/sidecar_core.hpp"
#include "support/invariants.hpp"

#include <functional>
#include <map>
#include <random>
#include <set>

namespace test_support {

using namespace buckthornrail;
using namespace buckthornrail::dispatch;

/// How a target handles its work.
enum class target_mode {
    Works,
    Stalls, ///< sends one token, then nothing more
    Fails, ///< sends one token, then fails
    Refuses, ///< accepts no connection
};

/// A protection to disable, to test that a checker detects the violations that follow.
enum class disabled_protection {
    None,
    Tombstones, ///< a revocation gets the reply "not started" without being sent to the sidecar
    Claims, ///< every claim is granted
    Incarnations, ///< sidecars accept messages for an earlier incarnation
    Ownership, ///< an entry also adds each frame to its first open request, even if it belongs to another
    Digests, ///< each end message is replaced by that of a complete, empty response
};

struct simulated_request {
    std::size_t entry = 0; ///< index of the entry that receives it
    std::string prompt;
    std::string key; ///< idempotency key; empty: the request is idempotent
    std::uint32_t tokens = 4;
    bool streams = false;
    milliseconds timeout { 8000 };
};

/// @brief Runs requests in virtual time. All random choices depend on the seed only.
class request_simulation {
public:
    request_simulation(std::size_t entries, std::size_t sidecars, std::uint64_t seed);

    /// @return index of the request's caller in callers()
    std::size_t submit(const simulated_request& request);
    void run(milliseconds period); ///< advances the virtual time

    void killSidecar(std::size_t sidecar); ///< restarts at once as a new incarnation
    void pauseSidecar(std::size_t sidecar, bool paused); ///< events are deferred until it resumes
    void killEntry(std::size_t entry); ///< its callers get no response; it restarts without state
    void closeLink(std::size_t entry, std::size_t sidecar);
    /// @brief Drops messages silently while the link is cut; when it is restored, the link closes.
    void cutLink(std::size_t entry, std::size_t sidecar, bool cut);
    void setMode(std::size_t sidecar, target_mode mode);
    void drainSidecar(std::size_t sidecar);
    /// @brief While set, claims get no reply, and about half of them aren't applied.
    void loseClaims(bool lose) { m_losesClaims = lose; }
    void publishConfiguration(); ///< entries receive it up to 300 ms later
    /// @brief Schedules an action to run before the next message arrives.
    void post(std::function<void()> action) { schedule(milliseconds(0), std::move(action)); }

    /// @brief How the network handles a message.
    enum class message_action { Deliver, Drop, Duplicate, Delay };
    /// @brief Called with the number of each message before it is sent; may also inject other faults.
    std::function<message_action(std::size_t number)> onMessage;

    disabled_protection disabled = disabled_protection::None;
    bool usesStaleIncarnations = true; ///< one in eight targets is chosen with an outdated incarnation

    [[nodiscard]] std::vector<caller_record> callers() const;
    [[nodiscard]] const std::vector<execution_record>& executions() const { return m_executions; }
    [[nodiscard]] std::size_t messages() const { return m_messages; }
    [[nodiscard]] std::vector<std::string> violations() const;
    [[nodiscard]] std::size_t sidecars() const { return m_sidecars.size(); }
    [[nodiscard]] std::size_t entries() const { return m_entries.size(); }

private:
    using to_sidecar = std::variant<attempt_offer, attempt_revoke, response_attach>;
    using event = std::function<void()>;

    struct job {
        work_order work;
        std::uint32_t generated = 0;
        std::string text;
        bool cancelled = false;
    };
    struct sidecar_node {
        std::unique_ptr<sidecar_core> core;
        incarnation_number incarnation = 0;
        target_mode mode = target_mode::Works;
        bool paused = false;
        bool draining = false;
        std::vector<event> deferredEvents; ///< run when the sidecar resumes
        std::map<attempt_id, job> jobs;
    };
    struct caller {
        caller_record record;
        std::string prompt;
        std::uint32_t tokens = 0;
    };
    struct open_run {
        request_run run;
        std::size_t caller = 0;
        std::string buffered;
    };
    struct entry_node {
        std::map<std::string, open_run> runs;
        std::multimap<std::string, std::string> attachedRequests;
        std::uint64_t incarnation = 0;
    };
    struct link_state {
        std::uint64_t epoch = 1;
        bool cut = false;
    };

    void schedule(milliseconds delay, event action);
    void applyEffects(std::size_t entry, const std::string& request);
    void applyEffect(std::size_t entry, open_run& open, const run_effect& effect);
    void forEachRun(std::size_t entry, const attempt_id& attempt, const std::function<void(request_run&)>& action);
    void sendClaim(std::size_t entry, const std::string& request, const send_claim& claim);
    void sendToSidecar(std::size_t entry, std::size_t sidecar, const to_sidecar& message);
    void receive(std::size_t entry, std::size_t sidecar, const to_sidecar& message);
    void sendToEntry(std::size_t sidecar, link_number linkNumber, const sidecar_message& message);
    void receive(std::size_t entry, const sidecar_message& message);
    void transmit(std::size_t entry, std::size_t sidecar, const event& deliver);
    void applySidecarEffects(std::size_t sidecar);
    void startJob(std::size_t sidecar, const start_work& work);
    void advanceJob(std::size_t sidecar, incarnation_number incarnation, const attempt_id& attempt);
    void runAtSidecar(std::size_t sidecar, const event& action);
    void restartSidecar(std::size_t sidecar);
    link_state& linkOf(std::size_t entry, std::size_t sidecar) { return m_links[{ entry, sidecar }]; }
    [[nodiscard]] link_number linkNumberOf(std::size_t entry, std::size_t sidecar);
    [[nodiscard]] bool isForeign(const open_run& open, const attempt_id& attempt) const;

    std::mt19937_64 m_random;
    steady_time m_now {};
    std::multimap<steady_time, event> m_events;
    std::vector<entry_node> m_entries;
    std::vector<sidecar_node> m_sidecars;
    std::map<std::pair<std::size_t, std::size_t>, link_state> m_links;
    std::vector<caller> m_callers;
    std::map<std::string, std::string> m_keys; ///< by request
    std::vector<execution_record> m_executions;
    claim_table m_claims;
    bool m_losesClaims = false;
    configuration_version m_configuration = 1;
    std::vector<configuration_version> m_knownConfigurations; ///< newest configuration that each entry has received
    std::size_t m_messages = 0;
    std::uint64_t m_lastRequest = 0;
    std::uint64_t m_lastIncarnation = 0;
};

} // namespace test_support
