/// @file
/// @brief Bounds the retries after failures to a part of the requests.
#pragma once

#include <algorithm>

namespace buckthornrail::routing {

/// @brief Each request earns a part of a retry; each retry after a failure spends a whole one.
/// @ingroup routing
class retry_budget {
public:
    /// @param perRequest retries that a request earns @param burst most that can be saved up
    explicit retry_budget(double perRequest = 0.1, double burst = 10)
        : m_perRequest(perRequest)
        , m_burst(burst)
        , m_saved(burst)
    {
    }

    void requestStarted() { m_saved = std::min(m_burst, m_saved + m_perRequest); }

    /// @return false when the budget is spent.
    bool takeRetry()
    {
        if (m_saved < 1)
            return false;
        m_saved -= 1;
        return true;
    }

private:
    double m_perRequest;
    double m_burst;
    double m_saved;
};

} // namespace buckthornrail::routing
