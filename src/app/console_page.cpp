/// @file
/// @brief The operators' console: one page of forms.
#include "app/controller_api.hpp"

namespace buckthornrail::app {

const std::string& consolePage()
{
    static const std::string page = "<!doctype html><title>buckthornrail</title><p>Console</p>";
    return page;
}

} // namespace buckthornrail::app
