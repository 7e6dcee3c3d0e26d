/// @file
/// @brief The controllers' HTTP interface for operators. Reference: docs/API.md.
#pragma once

#include "app/controller/controller.hpp"

namespace buckthornrail::app {

/// @brief Routes of the HTTP interface and of the console. Handlers run on the HTTP server's threads.
std::vector<http::http_route> controllerRoutes(
    link::event_loop& loop, controller& role, const settings::settings& settings);

/// @brief The console's page as HTML.
const std::string& consolePage();

} // namespace buckthornrail::app
