/// @file
/// @brief Prints the tables of result codes, events or settings as Markdown for the docs.
#include "buckthornrail/core/event_code.hpp"
#include "buckthornrail/core/result_code.hpp"
#include "buckthornrail/settings/settings.hpp"

#include <iostream>
#include <sstream>

namespace {

using namespace buckthornrail; // NOLINT(google-build-using-namespace)

void printCodes()
{
    std::cout << "| number | name | HTTP | Retry-After, s | meaning |\n|---|---|---|---|---|\n";
    for (const auto& row : resultTable()) {
        std::cout << "| " << static_cast<int>(row.code) << " | " << row.name << " | " << row.httpStatus << " | "
                  << (row.retryAfterSeconds == 0 ? "-" : std::to_string(row.retryAfterSeconds)) << " | " << row.message
                  << " |\n";
    }
}

void printEvents()
{
    std::cout << "| number | name | meaning |\n|---|---|---|\n";
    for (const auto& row : eventTable())
        std::cout << "| " << static_cast<int>(row.code) << " | " << row.name << " | " << row.description << " |\n";
}

std::string rolesOf(std::uint8_t roles)
{
    std::string text;
    for (const auto& row : settings::processRoleNames) {
        if ((roles & static_cast<std::uint8_t>(row.value)) != 0)
            text += (text.empty() ? "" : ", ") + std::string(row.name);
    }
    return text.empty() ? "-" : text;
}

std::string defaultOf(const settings::setting_rule& rule)
{
    const settings::settings values;
    if (const auto* number = std::get_if<std::uint32_t settings::settings::*>(&rule.member))
        return std::to_string(values.**number);
    if (const auto* fraction = std::get_if<double settings::settings::*>(&rule.member)) {
        std::ostringstream out;
        out << values.**fraction;
        return out.str();
    }
    if (const auto* text = std::get_if<std::string settings::settings::*>(&rule.member))
        return (values.**text).empty() ? "-" : values.**text;
    return "-";
}

std::string valuesOf(const settings::setting_rule& rule)
{
    switch (rule.type) {
    case settings::setting_type::Address:
        return "IP:port";
    case settings::setting_type::AddressList:
        return "IP:port, ...";
    case settings::setting_type::Fraction:
    case settings::setting_type::Number:
        return std::to_string(rule.low) + " to " + std::to_string(rule.high);
    case settings::setting_type::Choice: {
        std::string choices(rule.choices);
        for (auto position = choices.find('|'); position != std::string::npos; position = choices.find('|'))
            choices.replace(position, 1, ", ");
        return choices;
    }
    case settings::setting_type::Text:
        break;
    }
    return "text";
}

void printSettings()
{
    std::cout << "| key | roles | required by | values | default | meaning |\n|---|---|---|---|---|---|\n";
    for (const auto& rule : settings::settingRules()) {
        std::cout << "| [" << rule.section << "] " << rule.key << " | " << rolesOf(rule.roles) << " | "
                  << rolesOf(rule.requiredBy) << " | " << valuesOf(rule) << " | " << defaultOf(rule) << " | "
                  << rule.description << " |\n";
    }
}

} // namespace

int main(int argc, char** argv)
{
    const std::string which = argc > 1 ? argv[1] : "";
    if (which == "codes")
        printCodes();
    else if (which == "events")
        printEvents();
    else if (which == "settings")
        printSettings();
    else
        std::cerr << "usage: print_tables codes|events|settings\n";
    return which == "codes" || which == "events" || which == "settings" ? 0 : 2;
}
