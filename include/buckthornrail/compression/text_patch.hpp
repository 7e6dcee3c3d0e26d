/// @file
/// @brief Compressed patches that turn one text into another, based on zstd.
#pragma once

#include "buckthornrail/core/result_code.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace buckthornrail::compression {

/// @brief Creates a patch. For a document of 859 KB with 4,450 routes its size is 66 KB without a base, 21 KB if the
/// base lacks 1,400 of the routes, and 265 bytes if the base lacks one. That takes some 1.5 ms of a core, and 0.6 MB of
/// memory until the function returns.
/// @param base text that the receiver holds; empty: the patch contains the whole text
/// @param text text that applyPatch() returns
/// @return the patch; throws std::bad_alloc when memory runs out
std::string makePatch(std::string_view base, std::string_view text);

/// @brief Applies a patch.
/// @param base the text that the patch was created with
/// @param maxBytes limit on the size of the result
/// @return the text; MalformedMessage when the patch is damaged, has another base, or its text exceeds the limit
tl::expected<std::string, failure> applyPatch(std::string_view base, std::string_view patch, std::size_t maxBytes);

} // namespace buckthornrail::compression
