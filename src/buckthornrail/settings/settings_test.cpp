/// @file
/// @brief Parsing of settings files, and the errors reported for invalid ones.
#include "buckthornrail/settings/settings.hpp"

#include <catch2/catch.hpp>

using namespace buckthornrail::settings;

namespace {

const std::string good = "[instance]\nid = s\nfailure_domain = d\n[link]\naddress = 127.0.0.1:7001\n"
                         "[http]\naddress = 127.0.0.1:8001\n[controllers]\naddresses = 127.0.0.1:1, 127.0.0.1:2\n"
                         "[target]\nkind = openai\naddress = 127.0.0.1:9001\nmodel = m\nversion = 1\n";

std::string errorsOf(const std::string& text, process_role role = process_role::Sidecar)
{
    const auto parsed = parseSettings(text, "f.ini", role);
    std::string all;
    if (parsed)
        return all;
    for (const auto& error : parsed.error())
        all += toString(error) + "\n";
    return all;
}

} // namespace

TEST_CASE("settings: a valid file is parsed, with defaults for missing keys", "[settings]")
{
    const auto parsed = parseSettings(good, "f.ini", process_role::Sidecar);
    REQUIRE(parsed);
    CHECK(parsed->controllers == std::vector<std::string> { "127.0.0.1:1", "127.0.0.1:2" });
    CHECK(parsed->slots == 4);
    CHECK(parsed->reachableAddress() == "127.0.0.1:7001");
}

TEST_CASE("settings: each error names file, section, key and reason", "[settings]")
{
    CHECK(errorsOf(good + "slots = many\n") == "f.ini: [target] slots: 'many' is not a whole number\n");
    CHECK(errorsOf(good + "slots = 0\n") == "f.ini: [target] slots: 0 is out of range 1 to 1024\n");
    CHECK(errorsOf(good + "colour = red\n") == "f.ini: [target] colour: is not a known key of role sidecar\n");
    CHECK(errorsOf(good + "model = n\n") == "f.ini: [target] model: is set twice\n");
    CHECK(errorsOf(good + "[http]\nthreads = 1\n") == "f.ini: [http] threads: 1 is out of range 2 to 4096\n");
    CHECK(
        errorsOf(good + "[storage]\nfolder = x\n") == "f.ini: [storage] folder: is not a known key of role sidecar\n");
    CHECK(errorsOf(good + "[controllers]\nheartbeat_ms = 2000\n")
        == "f.ini: [controllers] heartbeat_ms: must not exceed half of lease_ms\n");
    CHECK(errorsOf("nonsense\n").starts_with("f.ini: line 1 has a syntax error\n"));
    CHECK(errorsOf("", process_role::Entry)
        == "f.ini: [instance] id: is missing\nf.ini: [instance] failure_domain: is missing\n"
           "f.ini: [http] address: is missing\nf.ini: [controllers] addresses: is missing\n");
    CHECK(loadSettings("/nowhere/x.ini", process_role::Entry).error().front().reason == "can't be opened");
}

// Guards against a misspelled mode that would silently leave admission on or off.
TEST_CASE("settings: the mode of admission is auto or off, and only gateways have it", "[settings]")
{
    const std::string gateway = "[instance]\nid = g\nfailure_domain = d\n[http]\naddress = 127.0.0.1:8001\n"
                                "[controllers]\naddresses = 127.0.0.1:1\n[gateway]\naddress = 127.0.0.1:9001\n";
    const auto modeOf = [&](const std::string& section) {
        const auto parsed = parseSettings(gateway + section, "f.ini", process_role::Gateway);
        return parsed ? parsed->admissionMode : "";
    };
    CHECK(modeOf("") == "auto");
    CHECK(modeOf("[admission]\nmode = auto\n") == "auto");
    CHECK(modeOf("[admission]\nmode = off\n") == "off");
    CHECK(errorsOf(gateway + "[admission]\nmode = of\n", process_role::Gateway)
        == "f.ini: [admission] mode: 'of' is not one of auto|off\n");
    CHECK(errorsOf(good + "[admission]\nmode = off\n")
        == "f.ini: [admission] mode: is not a known key of role sidecar\n");
}

TEST_CASE("settings: an address is an IPv4 address with a port in range", "[settings]")
{
    CHECK(checkAddress("127.0.0.1:1"));
    CHECK(checkAddress("127.0.0.1:65535"));
    CHECK_FALSE(checkAddress("127.0.0.1:0"));
    CHECK_FALSE(checkAddress("127.0.0.1:65536"));
    CHECK_FALSE(checkAddress("127.0.0.1"));
    CHECK_FALSE(checkAddress("localhost:80"));
    CHECK_FALSE(checkAddress("127.0.0.300:80"));
    CHECK_FALSE(checkAddress("127.0.0.1:8o"));
}
