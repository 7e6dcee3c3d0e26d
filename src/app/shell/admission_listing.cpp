/// @file
/// @brief Tables of a gateway's admission.
#include "app/shell/admission_listing.hpp"

#include <array>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <span>
#include <sstream>

namespace buckthornrail::app {
namespace {

using nlohmann::json;

/// Column of a table: the key in a JSON row, and its title.
struct listing_column {
    const char* key;
    const char* title;
    int width;
};

constexpr std::array priorityColumns {
    listing_column { "priority", "priority", 9 },
    listing_column { "offered_tokens_per_s", "offered/s", 10 },
    listing_column { "running_tokens", "running", 9 },
    listing_column { "waiting_tokens", "waiting", 9 },
    listing_column { "promised_tokens", "promised", 9 },
    listing_column { "due_tokens", "due", 9 },
    listing_column { "reserved_share", "reserved", 9 },
    listing_column { "own_requested_tokens", "own requested", 14 },
    listing_column { "own_admitted_tokens", "own admitted", 13 },
};
constexpr std::array queueColumns {
    listing_column { "request", "request", 34 },
    listing_column { "service", "service", 20 },
    listing_column { "priority", "priority", 9 },
    listing_column { "returning", "returning", 10 },
    listing_column { "tokens", "tokens", 8 },
    listing_column { "age_ms", "age ms", 8 },
    listing_column { "left_ms", "left ms", 8 },
};

std::string titles(std::span<const listing_column> columns)
{
    std::ostringstream line;
    for (const auto& column : columns)
        line << std::left << std::setw(column.width) << column.title << " ";
    return line.str();
}

std::string cellText(const json& row, const char* key)
{
    const auto value = row.find(key);
    if (value == row.end())
        return "-";
    return value->is_string() ? value->get<std::string>() : value->dump();
}

std::string cells(std::span<const listing_column> columns, const json& row)
{
    std::ostringstream line;
    for (const auto& column : columns)
        line << std::left << std::setw(column.width) << cellText(row, column.key) << " ";
    return line.str();
}

} // namespace

std::string admissionListing(const json& page)
{
    std::ostringstream out;
    out << "admission " << page.value("mode", "-") << ", demand of the other gateways ";
    if (page.contains("others_age_ms"))
        out << page.at("others_age_ms") << " ms old";
    else
        out << "unknown";
    for (const auto& service : page.value("services", json::array())) {
        out << "\nservice " << service.value("service", "") << ", capacity " << service.value("capacity_tokens", 0)
            << " tokens\n"
            << titles(priorityColumns);
        for (const auto& row : service.value("priorities", json::array()))
            out << "\n" << cells(priorityColumns, row);
    }
    const auto queued = page.value("queued", json::array());
    out << "\nqueued requests: " << queued.size();
    if (!queued.empty())
        out << "\n" << titles(queueColumns);
    for (const auto& row : queued)
        out << "\n" << cells(queueColumns, row);
    return out.str();
}

} // namespace buckthornrail::app
