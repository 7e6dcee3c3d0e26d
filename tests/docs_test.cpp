/// @file
/// @brief The tables in the docs match those in the code.
#include "buckthornrail/core/event_code.hpp"
#include "buckthornrail/core/result_code.hpp"
#include "buckthornrail/settings/settings.hpp"

#include <catch2/catch.hpp>
#include <fstream>
#include <set>
#include <sstream>

using namespace buckthornrail;

namespace {

std::string readPage(const std::string& name)
{
    std::ifstream stream("docs/" + name);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

std::size_t tableRowCount(const std::string& text)
{
    std::size_t rows = 0;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);)
        rows += line.starts_with("| ") ? 1 : 0;
    return rows;
}

constexpr std::size_t headerRows = 1;

} // namespace

TEST_CASE("docs: RESULT_CODES.md has every code, and no other", "[docs]")
{
    const auto text = readPage("RESULT_CODES.md");
    std::set<result_code> seen;
    for (const auto& row : resultTable()) {
        std::ostringstream line;
        line << "| " << static_cast<int>(row.code) << " | " << row.name << " | " << row.httpStatus << " | "
             << (row.retryAfterSeconds == 0 ? "-" : std::to_string(row.retryAfterSeconds)) << " | " << row.message
             << " |\n";
        INFO(line.str());
        CHECK(text.find(line.str()) != std::string::npos);
        CHECK(seen.insert(row.code).second);
    }
    CHECK(tableRowCount(text) == resultTable().size() + headerRows);
}

TEST_CASE("docs: EVENTS.md has every event, and no other", "[docs]")
{
    const auto text = readPage("EVENTS.md");
    for (const auto& row : eventTable()) {
        std::ostringstream line;
        line << "| " << static_cast<int>(row.code) << " | " << row.name << " | " << row.description << " |\n";
        INFO(line.str());
        CHECK(text.find(line.str()) != std::string::npos);
    }
    CHECK(tableRowCount(text) == eventTable().size() + headerRows);
}

TEST_CASE("docs: SETTINGS.md has every key, and no other", "[docs]")
{
    const auto text = readPage("SETTINGS.md");
    for (const auto& rule : settings::settingRules()) {
        std::ostringstream line;
        line << "| [" << rule.section << "] " << rule.key << " | ";
        INFO(line.str());
        const auto position = text.find(line.str());
        REQUIRE(position != std::string::npos);
        const std::string row = text.substr(position, text.find('\n', position) - position);
        CHECK(row.find(std::string(rule.description)) != std::string::npos);
    }
    CHECK(tableRowCount(text) == settings::settingRules().size() + headerRows);
}
