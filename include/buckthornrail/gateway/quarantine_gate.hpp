/// @file
/// @brief Whether a request may run, as far as targets have ended under it: a gateway's part. Without I/O.
#pragma once

#include "buckthornrail/gateway/crash_watch.hpp"

#include <random>

namespace buckthornrail::gateway {

/// Whether an attempt may begin.
enum class dispatch_verdict : std::uint8_t {
    Go,
    Wait, ///< for word from the controllers
    Elsewhere, ///< another suspect is on trial at that target
    Refuse, ///< targets end under the request
};

inline constexpr std::array dispatchVerdictNames {
    enum_name<dispatch_verdict> { dispatch_verdict::Go, "goes" },
    enum_name<dispatch_verdict> { dispatch_verdict::Wait, "waits" },
    enum_name<dispatch_verdict> { dispatch_verdict::Elsewhere, "elsewhere" },
    enum_name<dispatch_verdict> { dispatch_verdict::Refuse, "refused" },
};

struct quarantine_gate_options {
    /// A suspect, of which there are dozens to each request that is to blame, isn't kept waiting when no controller
    /// answers.
    milliseconds grantPatience { 150 };
    /// A trial that is granted begins so much later: by then other copies of the request, under way at the same moment,
    /// have been left, or it is known that targets ended under them too.
    milliseconds settleTime { 40 };
    /// For so long a whole answer to what this gateway reported is told. What ends later ends the entry itself.
    milliseconds keepReported { 60000 };
    milliseconds resendAfter { 1000 }; ///< news without a receipt
    std::size_t mostNews = 256; ///< kept while no controller takes them; the oldest go
    std::size_t mostReported = 4096; ///< fingerprints of which a whole answer is told
};

/// @brief Lives on the loop thread.
/// @ingroup gateway
class quarantine_gate {
public:
    explicit quarantine_gate(std::uint64_t seed, const quarantine_gate_options& options = {})
        : m_options(options)
        , m_random(seed)
    {
    }

    /// @brief What the controllers tell.
    void applyDelta(const registry::quarantine_delta& delta) { m_view.apply(delta); }
    /// @brief News stand in the log; claims in them that aren't named are granted.
    void onReceipt(const registry::quarantine_receipt& receipt, steady_time now);
    [[nodiscard]] std::uint64_t revision() const { return m_view.revision(); }

    /// @brief Nothing is held against any request: none needs to be asked for.
    [[nodiscard]] bool isEmpty() const { return m_view.isEmpty() && m_reported.empty(); }
    [[nodiscard]] registry::quarantine_stage stageOf(const request_fingerprint& fingerprint) const;
    [[nodiscard]] std::size_t size() const { return m_view.size(); }

    /// @brief Asks for a call's next attempt; claims a trial where it takes one. Ask again when news come.
    dispatch_verdict requestDispatch(call_number call, const request_fingerprint& fingerprint,
        const registry::target_incarnation& target, steady_time now);
    /// @brief Whether an attempt that hasn't begun to answer must be left: the request runs elsewhere, or nowhere.
    [[nodiscard]] bool mustCancel(call_number call, const request_fingerprint& fingerprint) const;
    /// @brief A call's attempt can't be to blame any more, or is over.
    void endTrial(call_number call);
    /// @return calls whose attempts on trial have begun
    [[nodiscard]] std::vector<call_number> callsOnTrial() const;

    void reportCrash(const registry::crash_report& report, steady_time now);
    /// @brief The request got a whole answer: it doesn't end whoever runs it.
    /// @return whether something was held against it
    bool reportCompleted(const request_fingerprint& fingerprint);

    /// @return whether there is something that wasn't sent yet
    [[nodiscard]] bool hasUnsentChanges() const { return !m_next.isEmpty(); }
    /// @brief What is to be sent now. @param all also what was sent, over a session that is over
    std::vector<registry::quarantine_batch> takeBatches(bool all, steady_time now);

private:
    enum class claim_state : std::uint8_t { Open, Granted, Refused };
    struct own_trial {
        request_fingerprint fingerprint;
        registry::trial_claim claim;
        registry::quarantine_stage stage = registry::quarantine_stage::None; ///< when it was claimed
        claim_state state = claim_state::Open;
        registry::trial_refusal why = registry::trial_refusal::None;
        steady_time beginsAt {}; ///< no sooner
        bool hasBegun = false; ///< until then it has no attempt that could be over
        steady_time decideBy {}; ///< Open: a suspect goes then all the same. Refused: it is claimed anew then
    };
    struct sent_news {
        registry::quarantine_batch batch;
        steady_time sendAgainAt {};
    };

    dispatch_verdict claim(call_number call, const request_fingerprint& fingerprint,
        const registry::target_incarnation& target, steady_time now);
    void dropReported(steady_time now);
    dispatch_verdict standingOf(call_number call, own_trial& trial, steady_time now);

    quarantine_gate_options m_options;
    std::mt19937_64 m_random;
    registry::quarantine_view m_view;
    struct own_report {
        std::uint32_t unconfirmed = 0; ///< ends that the view may not hold yet
        registry::quarantine_stage expected = registry::quarantine_stage::None; ///< that it will tell then, at least
        steady_time keepUntil {};
    };
    std::map<request_fingerprint, own_report> m_reported;
    std::deque<std::pair<steady_time, request_fingerprint>> m_reportedOrder; ///< with when to look at it
    std::map<call_number, own_trial> m_trials;
    registry::quarantine_change m_next;
    std::uint64_t m_lastNumber = 0;
    std::deque<sent_news> m_sent; ///< without a receipt
};

} // namespace buckthornrail::gateway
