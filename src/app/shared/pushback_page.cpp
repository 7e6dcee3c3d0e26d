/// @file
/// @brief Formats restricted targets as JSON.
#include "app/shared/pushback_page.hpp"

#include <nlohmann/json.hpp>

namespace buckthornrail::app {

std::string pushbackPage(const std::vector<gateway::restricted_target>& restricted)
{
    auto rows = nlohmann::json::array();
    for (const auto& target : restricted) {
        nlohmann::json row { { "target", text(target.target) } };
        if (target.perSecond) {
            row["per_second"] = *target.perSecond;
            row["heard_ms_ago"] = target.limitAge.count();
        }
        if (target.backoffLeft > milliseconds(0))
            row["rest_left_ms"] = target.backoffLeft.count();
        if (target.isLeaving)
            row["leaving"] = true;
        rows.push_back(std::move(row));
    }
    return nlohmann::json { { "targets", std::move(rows) } }.dump();
}

} // namespace buckthornrail::app
