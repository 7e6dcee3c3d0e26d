/// @file
/// @brief Tests of patches between any two texts, and of damaged patches.
#include "buckthornrail/compression/text_patch.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace buckthornrail;
using namespace buckthornrail::compression;

namespace {

constexpr std::size_t maxBytes = 1U << 20U;

std::string document(int version, int routes)
{
    std::string text = "{\"version\":" + std::to_string(version) + ",\"routes\":[";
    for (int i = 0; i < routes; ++i)
        text += "{\"name\":\"r-" + std::to_string(i * 7919 % 10007) + "\",\"timeout-ms\":2000},";
    return text + "],\"services\":[]}";
}

} // namespace

TEST_CASE("text patch: turns any text into any other", "[compression]")
{
    rc::prop("round trip", [](const std::string& base, const std::string& text) {
        const auto restored = applyPatch(base, makePatch(base, text), maxBytes);
        RC_ASSERT(restored.has_value());
        RC_ASSERT(*restored == text);
    });
}

TEST_CASE("text patch: its size depends on the added text only, wherever that is inserted", "[compression]")
{
    const std::string before = document(17, 3000);
    const std::string more = document(20, 3001);
    CHECK(makePatch(before, more).size() < 200);
    std::string middle = document(22, 3000);
    middle.insert(middle.size() / 2, "{\"name\":\"another\",\"timeout-ms\":1},");
    CHECK(makePatch(before, middle).size() < 200);
    CHECK(makePatch({}, before).size() < before.size() / 2);
}

TEST_CASE(
    "text patch: invalid and damaged patches, and those with another base, never give a wrong text", "[compression]")
{
    const std::string before = document(17, 300);
    const std::string patch = makePatch(before, document(18, 301));
    CHECK_FALSE(applyPatch(std::string(before.size(), 'a'), patch, maxBytes));
    CHECK_FALSE(applyPatch({}, patch, maxBytes));
    CHECK_FALSE(applyPatch(before, patch.substr(0, patch.size() - 1), maxBytes));
    CHECK_FALSE(applyPatch(before, "", maxBytes));
    CHECK_FALSE(applyPatch(before, "no patch", maxBytes));
    CHECK_FALSE(applyPatch({}, makePatch({}, std::string(maxBytes + 1, 'a')), maxBytes));
    rc::prop("another base", [&before, &patch] {
        std::string other = before;
        other[*rc::gen::inRange<std::size_t>(0, other.size())] = '#';
        const auto restored = applyPatch(other, patch, maxBytes);
        RC_ASSERT((!restored || *restored == document(18, 301)));
    });
    rc::prop("damaged bytes", [&before, &patch] {
        std::string damaged = patch;
        damaged[*rc::gen::inRange<std::size_t>(0, damaged.size())] ^= static_cast<char>(*rc::gen::inRange(1, 256));
        const auto restored = applyPatch(before, damaged, maxBytes);
        RC_ASSERT((!restored || *restored == document(18, 301)));
    });
}
