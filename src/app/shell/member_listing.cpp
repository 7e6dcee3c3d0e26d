/// @file
/// @brief Formats the members of the replicated log.
#include "app/shell/member_listing.hpp"

#include <nlohmann/json.hpp>
#include <sstream>

namespace buckthornrail::app {

std::string memberListing(const nlohmann::json& page)
{
    const auto bearable = page.value("bearable_losses", 0);
    const auto tolerated = page.value("tolerated_losses", 0);
    std::ostringstream out;
    out << "losses that can be borne now: " << bearable << " of " << tolerated
        << (bearable < tolerated ? "  TOO FEW" : "") << "; voters " << page.value("voters", 0) << ", reachable "
        << page.value("reachable_voters", 0) << ", quorum " << page.value("quorum", 0) << ", term "
        << page.value("term", 0);
    if (page.value("leader", "").empty())
        out << "; NO LEADER";
    for (const auto& member : page.value("members", nlohmann::json::array())) {
        out << "\n" << member.value("address", "") << (member.value("voter", false) ? "  voter" : "  learner");
        if (member.value("leader", false))
            out << "  leader";
        if (member.value("leaving", false))
            out << "  leaving";
        if (!member.value("reachable", true))
            out << "  silent for " << member.value("silent_ms", 0) << " ms";
    }
    return out.str();
}

} // namespace buckthornrail::app
