/// @file
/// @brief Takes changes of a process's settings file up while it runs.
#pragma once

#include "app/shared/process.hpp"

namespace buckthornrail::app {

/// @brief Reads the settings file again on request and every few seconds. Lives on the loop thread.
class settings_watch {
public:
    /// @param changed is given settings that are valid and differ from those before
    settings_watch(link::event_loop& loop, const settings::settings& first, settings::process_role role,
        std::function<void(const settings::settings&)> changed);

    /// @brief Reads now. @param asked a signal asked for it, so that the outcome is logged in any case
    void read(bool asked);

private:
    std::string m_file;
    settings::process_role m_role;
    std::string m_text; ///< as read last
    std::function<void(const settings::settings&)> m_changed;
    periodic_task m_reads;
};

} // namespace buckthornrail::app
