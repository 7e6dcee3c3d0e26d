/// @file
/// @brief Verification of operators' tokens.
#include "app/controller/operator_access.hpp"

#include "buckthornrail/http/error_response.hpp"

#include <fstream>

namespace buckthornrail::app {
namespace {

constexpr std::string_view bearer = "Bearer ";

/// Compares in constant time for texts of equal length, so that timing reveals nothing about the token.
bool isEqual(const std::string& left, const std::string& right)
{
    if (left.size() != right.size())
        return false;
    unsigned difference = 0;
    for (std::size_t i = 0; i < left.size(); ++i)
        difference |= static_cast<unsigned char>(left[i]) ^ static_cast<unsigned char>(right[i]);
    return difference == 0;
}

} // namespace

std::string readToken(const std::string& file)
{
    std::ifstream stream(file);
    std::string token;
    stream >> token;
    return token;
}

operator_access::operator_access(const settings::settings& settings)
    : m_needsToken(!settings.tokenFile.empty())
    , m_token(m_needsToken ? readToken(settings.tokenFile) : "")
{
}

bool operator_access::allows(const http::http_request& request) const
{
    if (!m_needsToken)
        return request.fromLoopback;
    const std::string given = request.header("Authorization").value_or("");
    return !m_token.empty() && given.starts_with(bearer) && isEqual(given.substr(bearer.size()), m_token);
}

http::http_handler operator_access::guard(http::http_handler handler) const
{
    return [access = *this, handler = std::move(handler)](const auto& request, auto& exchange) {
        if (access.allows(request))
            handler(request, exchange);
        else
            http::respondError(exchange, { result_code::Unauthorized, "" }, ran_state::No);
    };
}

} // namespace buckthornrail::app
