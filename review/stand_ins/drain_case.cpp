/// @file
/// @brief A server drains and is then cut off from the core for some seconds. Does it get new requests?
#include "stand_ins.hpp"

using namespace review;

namespace {

constexpr long drainMs = 2000; ///< bounds.drain-ms
constexpr long cutMs = 5000; ///< the default length of srv_cut
constexpr long lingerMs = 9000; ///< the server serves on for so long after the acknowledgement
constexpr int perSecond = 260; ///< two servers can serve 400, one 200

} // namespace

int main(int count, char** words)
{
    if (count != 6) {
        std::fprintf(stderr, "usage: drain_case CONTROL,... GATEWAY READY RECORD TROUBLE\n");
        return 2;
    }
    const auto control = splitList(words[1]);
    const std::string gateway = words[2];
    const std::string ready = words[3];
    recorder record(words[4]);
    const bool hasTrouble = std::string(words[5]) != "0";
    if (!publish(control, documentOf(1, "unsafe", 2), 20)) {
        record.line("the configuration isn't acknowledged", true);
        return 2;
    }
    const auto makeServer = [&](const std::string& host, const std::string& id, const std::string& zone) {
        server_options options;
        options.address = host + gateway.substr(gateway.rfind(':'));
        options.id = id;
        options.service = "portal";
        options.zone = zone;
        options.control = control;
        return new server(options, record); // its threads run until the program ends
    };
    auto* leaving = makeServer("127.0.0.31", "i-leaving", "hall-a");
    makeServer("127.0.0.32", "i-staying", "hall-b");
    if (!waitReady(ready, 10))
        return 2;
    std::this_thread::sleep_for(std::chrono::seconds(3));

    consumers load({ gateway }, "POST /p/x", "Host: a.example\r\n", 1500, record);
    const long begin = nowMs();
    std::thread traffic([&] { load.run(perSecond, begin + 3000 + lingerMs); });
    std::this_thread::sleep_until(startedAt + milliseconds(begin + 3000));
    const long acknowledgedAt = leaving->drain();
    record.line("i-leaving has reported `draining` and has the acknowledgement", true);
    if (hasTrouble) {
        std::this_thread::sleep_for(milliseconds(100));
        leaving->cutFromCore(true);
        record.line("i-leaving is cut off from the core, not from the gateway", true);
        std::this_thread::sleep_for(milliseconds(cutMs));
        leaving->cutFromCore(false);
        record.line("the cut has healed", true);
    }
    traffic.join();

    long late = 0;
    long latest = 0;
    for (const auto& seen : leaving->arrivals()) {
        if (seen.what == "421" || seen.atMs <= acknowledgedAt + drainMs)
            continue;
        ++late;
        latest = std::max(latest, seen.atMs - acknowledgedAt);
    }
    std::map<int, int> statuses;
    for (const auto& seen : load.outcomes())
        ++statuses[seen.status];
    std::string summary = "answers:";
    for (const auto& [status, times] : statuses)
        summary += " " + std::to_string(status) + " x " + std::to_string(times);
    record.line(summary, true);
    record.line("requests that reached i-leaving later than " + std::to_string(drainMs)
            + " ms after the acknowledgement: " + std::to_string(late)
            + (late > 0 ? ", the last one after " + std::to_string(latest) + " ms" : ""),
        true);
    if (statuses[200] == 0)
        return 2;
    record.line(late > 0 ? "BROKEN" : "held", true);
    std::_Exit(late > 0 ? 1 : 0);
}
