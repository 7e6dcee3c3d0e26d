/// @file
/// @brief Limits retries after failures to a fraction of the requests.
#pragma once

#include <algorithm>

namespace buckthornrail::routing {

/// @brief Token bucket of retries: each request adds a fraction of a retry, each retry after a failure takes one.
/// @ingroup routing
class retry_budget {
public:
    /// @param retriesPerRequest retries that each request adds to the budget
    /// @param burst upper bound of the unspent budget, in retries, and its initial value
    explicit retry_budget(double retriesPerRequest = 0.1, double burst = 10)
        : m_retriesPerRequest(retriesPerRequest)
        , m_burst(burst)
        , m_balance(burst)
    {
    }

    /// @brief Adds the share of one new request to the budget.
    void countRequest() { m_balance = std::min(m_burst, m_balance + m_retriesPerRequest); }

    /// @brief Takes one retry from the budget.
    /// @return false if less than one retry is left; the budget is then unchanged
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
    double m_balance; ///< unspent retries
};

} // namespace buckthornrail::routing
