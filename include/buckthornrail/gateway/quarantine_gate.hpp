/// @file
/// @brief A gateway's part of the quarantine: decides whether a request that may crash targets may run. Does no I/O.
#pragma once

#include "buckthornrail/gateway/crash_watch.hpp"

#include <random>

namespace buckthornrail::gateway {

/// Whether an attempt may begin.
enum class dispatch_verdict : std::uint8_t {
    Go,
    Wait, ///< for a decision of the controllers
    Elsewhere, ///< another suspect is on trial on that target
    Refuse, ///< the request is proven to crash targets
};

inline constexpr std::array dispatchVerdictNames {
    enum_name<dispatch_verdict> { dispatch_verdict::Go, "goes" },
    enum_name<dispatch_verdict> { dispatch_verdict::Wait, "waits" },
    enum_name<dispatch_verdict> { dispatch_verdict::Elsewhere, "elsewhere" },
    enum_name<dispatch_verdict> { dispatch_verdict::Refuse, "refused" },
};

struct quarantine_gate_options {
    /// A suspect may run without a granted trial when no controller responds for this long: for each request that
    /// crashes targets there are dozens of suspects that don't.
    milliseconds grantTimeout { 150 };
    /// Delay before a granted trial starts. By then concurrent copies of the request are cancelled, or are known to
    /// have crashed their targets as well.
    milliseconds trialStartDelay { 40 };
    /// A complete response clears a request that this gateway reported within this time; afterwards its quarantine
    /// expires.
    milliseconds reportedTtl { 60000 };
    milliseconds resendAfter { 1000 }; ///< of batches without a receipt
    std::size_t maxUnconfirmedBatches = 256; ///< batches kept without a receipt; the oldest are dropped
    std::size_t maxReported = 4096; ///< fingerprints that a complete response clears
};

/// @brief Decides whether calls may run under the quarantine, claims their trials and batches reports for the
/// controllers. Confined to the loop thread.
/// @ingroup gateway
class quarantine_gate {
public:
    explicit quarantine_gate(std::uint64_t seed, const quarantine_gate_options& options = {})
        : m_options(options)
        , m_random(seed)
    {
    }

    /// @brief Applies changes sent by the controllers.
    void applyDelta(const registry::quarantine_delta& delta, steady_time now = {}) { m_view.apply(delta, now); }
    /// @brief A batch has been committed to the log. Its claims that the receipt doesn't refuse are granted.
    void onReceipt(const registry::quarantine_receipt& receipt, steady_time now);
    [[nodiscard]] std::uint64_t revision() const { return m_view.revision(); }

    /// @return whether no request is quarantined or reported, so that none needs a check
    [[nodiscard]] bool isEmpty() const { return m_view.isEmpty() && m_reported.empty(); }
    [[nodiscard]] registry::quarantine_stage stageOf(const request_fingerprint& fingerprint) const;
    /// @return stage of a request, which is the highest one of its fingerprints that restricts it
    [[nodiscard]] registry::quarantine_stage stageOf(const request_fingerprints& request) const;
    /// @return the fingerprints that restrict a request
    [[nodiscard]] std::vector<request_fingerprint> blamedIn(const request_fingerprints& request) const;
    [[nodiscard]] std::size_t size() const { return m_view.size(); }

    /// @brief Decides on the next attempt of a call, and claims a trial if it needs one. For Wait, call it again after
    /// a receipt or a delta.
    /// @param path targets of the attempt, the first one first
    dispatch_verdict requestDispatch(call_number call, const request_fingerprints& request,
        const std::vector<registry::target_incarnation>& path, steady_time now);
    /// @copydoc requestDispatch
    dispatch_verdict requestDispatch(call_number call, const request_fingerprints& request,
        const registry::target_incarnation& target, steady_time now)
    {
        return requestDispatch(call, request, std::vector { target }, now);
    }
    /// @return whether an attempt without a response must be cancelled, as the request may only run elsewhere or
    /// nowhere
    [[nodiscard]] bool mustCancel(call_number call, const request_fingerprints& request) const;
    /// @brief A call's attempt is over, or can no longer be the cause of a crash.
    void endTrial(call_number call);
    /// @return calls whose attempts on trial have started
    [[nodiscard]] std::vector<call_number> callsOnTrial() const;

    /// @brief Queues a crash report for the controllers. Its requests count as suspects here at once.
    void reportCrash(const registry::crash_report& report, steady_time now);
    /// @brief The request received a complete response, so it doesn't crash targets.
    /// @return whether it was quarantined or reported
    bool reportCompleted(const request_fingerprint& fingerprint);
    /// @brief An attempt has run for so long that it can no longer crash its target by its start, or is complete: its
    /// parts don't crash targets. @param begunAt when its response began
    /// @return the parts that were quarantined
    std::vector<request_fingerprint> reportSurvived(const std::vector<request_fingerprint>& parts, steady_time begunAt);

    /// @return whether there are changes that have not been sent
    [[nodiscard]] bool hasUnsentChanges() const { return !m_unsentChanges.isEmpty(); }
    /// @return batches to send now. @param all includes those sent over an earlier session
    std::vector<registry::quarantine_batch> takeBatches(bool all, steady_time now);

private:
    enum class claim_state : std::uint8_t { Pending, Granted, Refused };
    struct local_trial {
        std::vector<request_fingerprint> fingerprints; ///< claimed under one number
        registry::trial_number number = 0;
        registry::target_incarnation target;
        registry::quarantine_stage stage = registry::quarantine_stage::None; ///< when it was claimed
        claim_state state = claim_state::Pending;
        registry::trial_refusal why = registry::trial_refusal::None;
        steady_time startsAt {}; ///< earliest start
        bool hasStarted = false; ///< until then it has no attempt that could be over
        steady_time decideBy {}; ///< Pending: a suspect starts then without a grant. Refused: claimed again then
    };
    struct sent_batch {
        registry::quarantine_batch batch;
        steady_time resendAt {};
    };

    /// @brief Claims a trial for a call. @return Wait
    dispatch_verdict claim(call_number call, const request_fingerprints& request,
        const std::vector<registry::target_incarnation>& path, steady_time now);
    /// @brief Gives up a trial's claims, granted or not.
    void withdrawClaims(const local_trial& trial);
    /// @return whether a trial covers all that restricts a request now
    [[nodiscard]] bool isCovered(const local_trial& trial, const request_fingerprints& request) const;
    /// @return stage by which a part of prompts restricts requests: a suspect one doesn't
    [[nodiscard]] registry::quarantine_stage stageOfPart(const request_fingerprint& part) const;
    /// @brief Drops reports that have expired or exceed the maximum number.
    void dropExpiredReports(steady_time now);
    /// @return verdict on a call whose trial was claimed; empty: it is to be claimed again
    std::optional<dispatch_verdict> trialVerdict(call_number call, local_trial& trial, steady_time now);

    quarantine_gate_options m_options;
    std::mt19937_64 m_random;
    registry::quarantine_view m_view;
    struct local_report {
        std::uint32_t unconfirmed = 0; ///< crashes that the view may not include yet
        registry::quarantine_stage expected = registry::quarantine_stage::None; ///< minimum stage once it includes them
        steady_time expiresAt {};
    };
    std::map<request_fingerprint, local_report> m_reported;
    /// Reported fingerprints, each with the time of its expiry check.
    std::deque<std::pair<steady_time, request_fingerprint>> m_reportExpiries;
    std::map<call_number, local_trial> m_trials;
    registry::quarantine_change m_unsentChanges; ///< not sent yet
    std::uint64_t m_lastBatchNumber = 0;
    std::deque<sent_batch> m_sent; ///< without a receipt
};

} // namespace buckthornrail::gateway
