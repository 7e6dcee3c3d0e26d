/// @file
/// @brief Who may operate: the holder of the token, or without a token file only loopback.
#pragma once

#include "buckthornrail/http/http_server.hpp"
#include "buckthornrail/settings/settings.hpp"

namespace buckthornrail::app {

/// @brief Checks operators' requests.
class operator_access {
public:
    /// @brief Reads the token file, if one is set; a file that can't be read lets nobody in.
    explicit operator_access(const settings::settings& settings);
    [[nodiscard]] bool allows(const http::http_request& request) const;
    /// @brief A handler that answers 401 to those who may not operate.
    [[nodiscard]] http::http_handler guard(http::http_handler handler) const;

private:
    bool m_needsToken = false;
    std::string m_token;
};

/// @brief First line of a token file, without blanks; empty when it can't be read.
std::string readToken(const std::string& file);

} // namespace buckthornrail::app
