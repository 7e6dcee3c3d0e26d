/// @file
/// @brief Held targets as JSON.
#include "app/shared/pushback_page.hpp"

#include <nlohmann/json.hpp>

namespace buckthornrail::app {

std::string pushbackPage(const std::vector<gateway::restricted_target>& held)
{
    auto rows = nlohmann::json::array();
    for (const auto& one : held) {
        nlohmann::json row { { "target", text(one.target) } };
        if (one.perSecond) {
            row["per_second"] = *one.perSecond;
            row["heard_ms_ago"] = one.limitAge.count();
        }
        if (one.backoffLeft > milliseconds(0))
            row["rest_left_ms"] = one.backoffLeft.count();
        if (one.isLeaving)
            row["leaving"] = true;
        rows.push_back(std::move(row));
    }
    return nlohmann::json { { "targets", std::move(rows) } }.dump();
}

} // namespace buckthornrail::app
