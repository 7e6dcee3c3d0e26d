/// @file
/// @brief Bounds the retries after failures to a part of the requests.
#pragma once

#include <algorithm>

namespace buckthornrail::routing {

/// @brief Each request earns a part of a retry; each retry after a failure spends a whole one.
/// @ingroup routing
class retry_budget {
public:
    /// @param retriesPerRequest retries that a request earns @param burst most that can be saved up
    explicit retry_budget(double retriesPerRequest = 0.1, double burst = 10)
        : m_retriesPerRequest(retriesPerRequest)
        , m_burst(burst)
        , m_balance(burst)
    {
    }

    void countRequest() { m_balance = std::min(m_burst, m_balance + m_retriesPerRequest); }

    /// @return false when the budget is spent.
    bool tryTake()
    {
        if (m_balance < 1)
            return false;
        m_balance -= 1;
        return true;
    }

private:
    double m_retriesPerRequest;
    double m_burst;
    double m_balance;
};

} // namespace buckthornrail::routing
