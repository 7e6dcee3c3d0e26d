/// @file
/// @brief The asio context behind an event loop. For translation units that speak to asio, which are all C++17.
#pragma once

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>

namespace buckthornrail::link {

struct loop_implementation {
    asio::io_context io { 1 }; ///< one thread runs it
    asio::executor_work_guard<asio::io_context::executor_type> guard { io.get_executor() };
};

} // namespace buckthornrail::link
