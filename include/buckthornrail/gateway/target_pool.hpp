/// @file
/// @brief The targets that a gateway may send to: what the controllers say of them, and what it has seen itself.
#pragma once

#include "buckthornrail/gateway/layer_path.hpp"
#include "buckthornrail/gateway/route_index.hpp"
#include "buckthornrail/gateway/send_limit.hpp"
#include "buckthornrail/registry/limit_table.hpp"
#include "buckthornrail/registry/load_table.hpp"

#include <array>
#include <map>
#include <random>
#include <set>
#include <utility>

namespace buckthornrail::gateway {

/// A target that was picked, with the layers that it is to run.
struct selected_part {
    registry::target_incarnation target;
    std::string address;
    registry::layer_range layers; ///< empty for a service without layers
    std::size_t domain = 0; ///< number of its failure domain in the pool, also once the pool doesn't know it any more
    bool operator==(const selected_part&) const = default;
};

/// Where one attempt goes: the first part takes the request.
struct selection {
    std::vector<selected_part> parts;
    double expectedPassMs = 0; ///< from one event to the next over all parts at the present load; 0: not a path
    bool hasRoom = true; ///< each part has memory for what is open there, or will have within a first event's time
    std::string summary; ///< for logs: how many were to be had, and what the choice is expected to cost
};

/// What a choice may not do.
struct choice_bounds {
    std::set<registry::target_incarnation> excluded; ///< not to use
    std::set<registry::target_incarnation> firstOnly; ///< that may take the request; empty: any
    milliseconds eventGapTarget { 0 }; ///< pauses between a stream's events are on time up to it; 0: none
};

/// What a target says in a response on how it wants to be treated.
struct target_pushback {
    std::optional<double> requestsPerSecond; ///< that it takes from all gateways together; nothing: it names no limit
    std::string unreadable; ///< name and value of a field that can't be read, for logs; empty: none
    std::optional<milliseconds> rest {}; ///< it wants nothing from this gateway for so long; nothing: it doesn't say
    bool isLeaving = false; ///< it takes no new work, and ends soon
    bool operator==(const target_pushback&) const = default;
};

/// A rate limit of a target that holds in place of another one.
struct limit_change {
    registry::target_incarnation target;
    std::optional<double> before; ///< requests a second; nothing: no limit
    std::optional<double> after;
    milliseconds beforeAge { 0 }; ///< since the one before was heard last
    /// @brief Whether anything is another than before.
    [[nodiscard]] bool isOne() const { return before != after; }
};

/// What a target has said of how it wants to be treated, for operators.
struct held_target {
    registry::target_incarnation target;
    std::optional<double> perSecond; ///< that it takes from all gateways; nothing: no limit
    milliseconds heardAgo { 0 }; ///< of the limit
    milliseconds restLeft { 0 };
    bool isLeaving = false;
};

/// @brief For logs: a limit in requests a second, or that there is none.
std::string text(const std::optional<double>& perSecond);

/// What of a stream is timed.
enum class pace_kind : std::uint8_t {
    FirstEvent, ///< reading the prompt, with all that waits before it
    NextEvent,
};
inline constexpr std::size_t paceKinds = 2;

/// Tokens that a request brings, as far as it says.
struct request_size {
    double promptTokens = 0;
    double answerTokens = 0;
};

struct pool_options {
    std::string ownDomain; ///< of the gateway
    /// A target that was named as dark is left alone until controllers have surely noticed.
    milliseconds darkPause { 5000 };
    /// A target that is full, or doesn't hold what it was thought to, is left alone for so long: a few steps of an
    /// engine. The pause doubles with each refusal in a row, up to the time within which controllers tell of a change.
    milliseconds firstRefusalPause { 100 };
    milliseconds longestRefusalPause { 2000 };
    /// After so many refusals in a row a target is told of as dark; controllers then look for themselves.
    std::size_t suspiciousRefusals = 3;
};

/// @brief Picks targets by what a request would take there. Callers pass the time in.
class target_pool {
public:
    target_pool(pool_options options, std::uint64_t seed);

    /// @brief Takes the controllers' table over. A later life of a target begins with nothing of what was seen of the
    /// one before: neither work nor doubt.
    /// @return addresses of lives that weren't known before
    std::vector<std::string> update(const std::map<std::string, registry::target_record>& records);
    /// @brief How the engines of a service work.
    void setEngine(const std::string& service, const std::optional<layered_engine>& engine);
    /// @brief How many gateways there are, and how many attempts the others have under way. As long as their loads
    /// aren't told by target, they are taken to be spread like this one's.
    void setOthers(std::size_t gateways, std::size_t openAttempts);
    /// @brief Work of the others' attempts at the targets told of last; a row of another length says nothing.
    void setOthersLoads(const registry::target_loads& row, steady_time now);
    /// @brief Work of this gateway's attempts, for the others.
    [[nodiscard]] registry::target_loads loads() const;
    [[nodiscard]] std::size_t openAttempts() const { return m_openAttempts; }

    /// @brief Picks a target, or a path over several.
    /// @return nothing when no ready target, or no path over all layers, is left
    std::optional<selection> select(const std::string& service, const choice_bounds& bounds, steady_time now);

    /// @brief Counts an attempt at its targets, and out again.
    void began(const selection& chosen, const request_size& size);
    /// @brief The first event has come: no target of the path reads the prompt any more.
    void promptRead(const selection& chosen, const request_size& size);
    /// @param wasRead promptRead() was told of
    void ended(const selection& chosen, const request_size& size, bool wasRead);

    /// @brief A stream over a path took so long for something. Members of paths that are slower than expected, against
    /// all others, cost more for a while.
    void paced(const selection& chosen, pace_kind kind, double ms, steady_time now);
    /// @brief The target answered. @param answerMs how long that took, for targets without layers
    void succeeded(const registry::target_incarnation& id, double answerMs);
    /// @brief The target failed an attempt.
    void failed(const registry::target_incarnation& id);
    /// @brief The target named a limit, or none any more, asked for rest, or leaves. @param sentAt when the request
    /// that it answers was sent
    /// @param namesNone whether a response without a limit says that there is none
    /// @return how its limit changes by it, if it does
    std::optional<limit_change> heard(const registry::target_incarnation& id, const target_pushback& said,
        bool namesNone, steady_time sentAt, steady_time now);
    /// @brief Other gateways heard of limits. @return what changes by it
    std::vector<limit_change> toldLimits(std::span<const registry::limit_report> news, steady_time now);
    /// @brief Limits heard here since the last call, for the other gateways. @param all also those told before
    std::vector<registry::limit_report> takeLimitNews(bool all, steady_time now);
    /// @brief Limits are shared among all gateways.
    void setShare(const gateway_share& share, steady_time now);
    /// @brief Whether a target may be sent something now, by what it has said: a request as the first of a path, or a
    /// question. All that is sent to a target asks here, or was selected here.
    [[nodiscard]] bool maySend(const registry::target_incarnation& id, steady_time now) const;
    /// @brief Something is being sent to a target.
    void noteSent(const registry::target_incarnation& id, steady_time now);
    /// @brief When a service that may be sent nothing now may be sent something, later for some callers than for
    /// others so that they don't come back together. @return nothing while limits aren't what is in the way
    std::optional<steady_time> roomExpectedAt(const std::string& service, steady_time now);
    /// @brief Targets that said in a response that they leave, and that the controllers' table doesn't show so.
    [[nodiscard]] std::vector<registry::target_incarnation> leavingUnknown() const;
    /// @brief Targets that are limited, resting or leaving.
    [[nodiscard]] std::vector<held_target> heldTargets(steady_time now) const;
    /// @brief Targets under a limit.
    [[nodiscard]] std::size_t limitedCount(steady_time now) const;
    /// @brief The target takes nothing just now, or another one says so of it.
    void refused(const registry::target_incarnation& id, steady_time now);
    /// @brief The target is dead or cut off.
    void wentDark(const registry::target_incarnation& id, steady_time now);
    /// @brief Targets that went dark since the last call.
    std::vector<registry::target_incarnation> takeDark() { return std::exchange(m_newlyDark, {}); }
    /// @brief The target at an address; empty when there is none.
    [[nodiscard]] registry::target_incarnation idAt(const std::string& address) const;
    /// @brief Nothing listens at an address any more: whoever was there has ended.
    void endedAt(const std::string& address);
    /// @brief An address gives no answer: its machine is gone, cut off, or the question was lost twice.
    void silentAt(const std::string& address);
    /// @brief Whether a target has surely ended: its address refuses connections, or is silent here and its heartbeats
    /// have stopped too. One that leaves has not, nor one that has said its last word: it may serve on for seconds.
    [[nodiscard]] bool hasEnded(const registry::target_incarnation& id) const;
    /// @brief Whether a target has said its last word, or isn't known any more.
    [[nodiscard]] bool isGone(const registry::target_incarnation& id) const;
    /// @brief Whether a target has said that it leaves, or its last word.
    [[nodiscard]] bool isLeaving(const registry::target_incarnation& id) const;
    /// @brief Whether a later life of the same target is known: what ran there has ended.
    [[nodiscard]] bool wasReplaced(const registry::target_incarnation& id) const;
    /// @brief Whether a target has given layers up that it held: it holds others now, and has not ended.
    [[nodiscard]] bool gaveUp(const registry::target_incarnation& id, const registry::layer_range& layers) const;
    /// @brief Targets of a service that take new work.
    [[nodiscard]] std::size_t readyCount(const std::string& service) const;

private:
    /// What a target has named last.
    struct named_limit {
        std::optional<send_limit> pacing; ///< nothing: it takes any number
        steady_time heardAt {}; ///< last, by any gateway
        bool isNews = false; ///< heard here, and not told to the other gateways
        steady_time tellAt {}; ///< they are told no sooner that it holds on
        std::uint32_t answersWithout = 0; ///< in a row, to requests that were sent since it was heard
    };

    struct pool_target {
        registry::target_record record;
        std::optional<named_limit> limit;
        steady_time restUntil {}; ///< it wants nothing from this gateway before
        bool saysLeaving = false; ///< in its responses; the controllers may not know it yet
        std::size_t domain = 0;
        double sequences = 0; ///< attempts of this gateway in flight
        double tokenLayers = 0; ///< key-value memory that they need, in tokens times layers
        double unreadTokenLayers = 0; ///< prompts that no event has followed yet, in the same unit
        double othersTokenLayers = 0; ///< of other gateways' attempts, as told last
        double tokenLayersWhenTold = 0; ///< own ones at that moment
        double answerMs = 0; ///< moving average; 0: not known
        double failureShare = 0; ///< moving average of attempts that failed
        std::size_t refusalsInRow = 0;
        std::array<double, paceKinds> slowness { 1, 1 }; ///< of paths over it, times what was expected
        std::array<steady_time, paceKinds> slownessFrom {}; ///< it fades from then on
        steady_time avoidUntil {};
        double stepFactor = 1;
        double memoryTokenLayers = 0; ///< room for requests, at the layers held now
        double readMsPerTokenLayer = 0;
        bool hasEnded = false; ///< its address refused a connection
        bool isSilent = false; ///< its address gave no answer, and its heartbeats have not come back since
    };

    /// A pass of an engine as a stream sees it.
    struct pass_time {
        double sharedMs = 0; ///< however many layers it runs: the other sequences' part, and half a pass of waiting
        double perLayerMs = 0;
    };

    /// What counts for a path, beside doubt and crossings.
    struct path_weights {
        double pace = 1; ///< times what the passes of engines take, of which each makes several tokens
        double comfortableMemory = 0; ///< share of its memory from which on a target costs more
    };

    std::optional<selection> selectPath(
        const std::string& service, const layered_engine& engine, const choice_bounds& bounds, steady_time now);
    std::optional<selection> selectOne(const std::string& service, const choice_bounds& bounds, steady_time now);
    std::optional<selection> findSelection(std::span<pool_target* const> targets, const layered_engine& engine,
        const choice_bounds& bounds, const path_weights& weights, steady_time now);
    /// @brief Whether a target takes new work, as the controllers know.
    [[nodiscard]] static bool isOpen(const registry::target_record& record);
    [[nodiscard]] std::vector<pool_target*> usable(
        const std::string& service, const std::set<registry::target_incarnation>& excluded);
    /// @brief Load of all gateways over that of this one.
    [[nodiscard]] double loadScale() const;
    /// @brief Work of all gateways at a target, as far as it is known.
    [[nodiscard]] double allTokenLayers(const pool_target& target) const;
    /// @brief Gateways of one domain: what makes one of them send much elsewhere meets the others as well.
    [[nodiscard]] double peers() const;
    /// @brief Memory that all open attempts need at a target, over what it has.
    [[nodiscard]] double fullnessOf(const pool_target& target) const;
    /// @brief Whether a target has room, as far as the others told of their work lately.
    [[nodiscard]] bool hasRoom(const pool_target& target, steady_time now) const;
    [[nodiscard]] double crowdingMs(const pool_target& target, double comfortableMemory) const;
    limit_change setLimit(const registry::target_incarnation& id, pool_target& target, std::optional<double> perSecond,
        steady_time heardAt, steady_time now);
    [[nodiscard]] static std::optional<double> perSecondOf(const named_limit& limit);
    [[nodiscard]] static bool isLimited(const pool_target& target, steady_time now);
    [[nodiscard]] static bool takesNow(const pool_target& target, steady_time now);
    [[nodiscard]] static double limitCostMs(const pool_target& target, steady_time now);
    /// @brief For logs: what a first target has named, and how long ago; empty for one that names no limit.
    [[nodiscard]] static std::string describeLimit(const pool_target& first, steady_time now);
    void countChoice(steady_time now);
    /// @brief What a path costs more for each crossing between domains.
    [[nodiscard]] double crossingMs(const layered_engine& engine) const;
    [[nodiscard]] std::vector<double> pipeWaits(const layered_engine& engine) const;
    void countUnread(const selection& chosen, double promptTokens);
    [[nodiscard]] static double doubtMs(const pool_target& target, steady_time now);
    /// @brief What a stream's tokens take at a target for each pass of its engine.
    [[nodiscard]] pass_time passTime(const pool_target& target, const layered_engine& engine) const;
    [[nodiscard]] static double slownessOf(const pool_target& target, steady_time now);
    [[nodiscard]] static double slownessOf(const pool_target& target, std::size_t kind, steady_time now);
    [[nodiscard]] std::size_t domainNumber(const std::string& name);
    void describeAccelerator(pool_target& target) const;
    [[nodiscard]] double expectedTokens(const pool_target& target, const request_size& size) const;

    pool_options m_options;
    std::mt19937_64 m_random;
    std::size_t m_openAttempts = 0;
    double m_othersOpenAttempts = 0;
    double m_gateways = 1;
    double m_choicesPerSecond = 0; ///< of paths, by this gateway; moving average
    steady_time m_lastChoice {};
    bool m_loadsAreTold = false;
    steady_time m_loadsToldAt {};
    std::map<std::pair<std::size_t, std::size_t>, double>
        m_unreadOverPipe; ///< tokens of prompts, by domains from and to
    std::map<registry::target_incarnation, pool_target> m_targets;
    std::map<std::string, layered_engine> m_engines;
    gateway_share m_share;
    /// Times over the expected time of a token, on sound paths; 0: not known.
    std::array<double, paceKinds> m_usualPace {};
    std::vector<registry::target_incarnation> m_newlyDark;
    std::vector<std::string> m_domains; ///< the own one first
};

} // namespace buckthornrail::gateway
