/// @file
/// @brief Entry point of every test program.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
