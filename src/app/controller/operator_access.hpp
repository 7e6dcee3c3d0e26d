/// @file
/// @brief Authorisation of operators' requests: by the token, or from loopback only when no token file is set.
#pragma once

#include "buckthornrail/http/http_server.hpp"
#include "buckthornrail/settings/settings.hpp"

namespace buckthornrail::app {

/// @brief Authorises operators' requests.
class operator_access {
public:
    /// @brief Reads the token file, if one is set. Every request is refused when it can't be read.
    explicit operator_access(const settings::settings& settings);
    [[nodiscard]] bool allows(const http::http_request& request) const;
    /// @brief Wraps a handler so that unauthorised requests are answered with status 401.
    [[nodiscard]] http::http_handler guard(http::http_handler handler) const;

private:
    bool m_needsToken = false;
    std::string m_token;
};

/// @brief Reads the token from a file, up to the first white space. @return empty when the file can't be read
std::string readToken(const std::string& file);

} // namespace buckthornrail::app
