/// @file
/// @brief A patch is a zstd frame with the base as its prefix dictionary.
#include "buckthornrail/compression/text_patch.hpp"

#include <algorithm>
#include <bit>
#include <memory>
#include <new>
#include <zstd.h>

namespace buckthornrail::compression {
namespace {

/// Levels 3 and 5 take two and six times the memory, and patches of documents with thousands of routes aren't smaller
/// (75 KB instead of 66 KB).
constexpr int compressionLevel = 1;
/// Base-2 logarithm of the smallest window that zstd supports.
constexpr int minWindowLog = 10;

struct compressor_deleter {
    void operator()(ZSTD_CCtx* context) const { ZSTD_freeCCtx(context); }
};

struct decompressor_deleter {
    void operator()(ZSTD_DCtx* context) const { ZSTD_freeDCtx(context); }
};

/// @brief Base-2 logarithm of a window that reaches from the end of the text back to the beginning of the base.
int windowLogFor(std::size_t bytes) { return std::max(minWindowLog, static_cast<int>(std::bit_width(bytes))); }

auto malformed(const std::string& reason)
{
    return tl::make_unexpected(failure { result_code::MalformedMessage, "text patch: " + reason });
}

} // namespace

std::string makePatch(std::string_view base, std::string_view text)
{
    const std::unique_ptr<ZSTD_CCtx, compressor_deleter> context(ZSTD_createCCtx());
    if (!context)
        throw std::bad_alloc();
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, compressionLevel);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, windowLogFor(base.size() + text.size()));
    // The checksum detects a patch that is applied to another base.
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
    if (!base.empty())
        ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
    std::string patch(ZSTD_compressBound(text.size()), '\0');
    const std::size_t size = ZSTD_compress2(context.get(), patch.data(), patch.size(), text.data(), text.size());
    if (ZSTD_isError(size) != 0)
        throw std::bad_alloc(); // the buffer has room for any result, so only memory can run out
    patch.resize(size);
    patch.shrink_to_fit();
    return patch;
}

tl::expected<std::string, failure> applyPatch(std::string_view base, std::string_view patch, std::size_t maxBytes)
{
    const auto size = ZSTD_getFrameContentSize(patch.data(), patch.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN)
        return malformed("not a zstd frame with a known content size");
    if (size > maxBytes)
        return malformed("the text has " + std::to_string(size) + " bytes, the limit is " + std::to_string(maxBytes));
    const std::unique_ptr<ZSTD_DCtx, decompressor_deleter> context(ZSTD_createDCtx());
    if (!context)
        throw std::bad_alloc();
    if (!base.empty())
        ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
    std::string text(size, '\0');
    const std::size_t written
        = ZSTD_decompressDCtx(context.get(), text.data(), text.size(), patch.data(), patch.size());
    if (ZSTD_isError(written) != 0)
        return malformed(ZSTD_getErrorName(written));
    if (written != size)
        return malformed("the text is shorter than the frame states");
    return text;
}

} // namespace buckthornrail::compression
