/// @file
/// @brief Which requests have equal fingerprints, and the text form.
#include "buckthornrail/gateway/fingerprint_request.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace buckthornrail;
using namespace buckthornrail::gateway;

TEST_CASE("request fingerprint: depends on each part of a request and on where it ends", "[fingerprint]")
{
    const request_identity request { "POST", "h", "/p?q", "w", "body" };
    CHECK(fingerprintOf(request) == fingerprintOf({ "POST", "h", "/p?q", "w", "body" }));
    CHECK(fingerprintOf(request) != fingerprintOf({ "PUT", "h", "/p?q", "w", "body" }));
    CHECK(fingerprintOf(request) != fingerprintOf({ "POST", "i", "/p?q", "w", "body" }));
    CHECK(fingerprintOf(request) != fingerprintOf({ "POST", "h", "/p", "w", "body" }));
    CHECK(fingerprintOf(request) != fingerprintOf({ "POST", "h", "/p?q", "", "body" }));
    CHECK(fingerprintOf(request) != fingerprintOf({ "POST", "h", "/p?q", "w", "bodies" }));
    CHECK(fingerprintOf({ "a", "b", "c", "d", "e" }) != fingerprintOf({ "a", "bc", "", "d", "e" }));
}

TEST_CASE("request fingerprint: of a part, depends on its id and its service, and is no request's", "[fingerprint]")
{
    CHECK(fingerprintOfPart("s", "5c1e") == fingerprintOfPart("s", "5c1e"));
    CHECK(fingerprintOfPart("s", "5c1e") != fingerprintOfPart("s", "5c1f"));
    CHECK(fingerprintOfPart("s", "5c1e") != fingerprintOfPart("t", "5c1e"));
    CHECK(fingerprintOfPart("s5", "c1e") != fingerprintOfPart("s", "5c1e"));
    CHECK(fingerprintOfPart("s", "5c1e") != fingerprintOf({ "prompt part", "s", "5c1e", "", "" }));
}

TEST_CASE("request fingerprint: text form round-trips, malformed text is rejected", "[fingerprint]")
{
    rc::prop("any fingerprint", [](const std::string& body) {
        const auto fingerprint = fingerprintOf({ "POST", "h", "/", "", body });
        RC_ASSERT(parseFingerprint(text(fingerprint)) == fingerprint);
    });
    const std::string digits = text(fingerprintOf({ "POST", "h", "/", "", "" }));
    CHECK(digits.size() == 32);
    CHECK_FALSE(parseFingerprint(digits.substr(1)).has_value());
    CHECK_FALSE(parseFingerprint(digits + "0").has_value());
    CHECK_FALSE(parseFingerprint("+" + digits.substr(1)).has_value());
    CHECK_FALSE(parseFingerprint("g" + digits.substr(1)).has_value());
}
