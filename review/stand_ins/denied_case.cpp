/// @file
/// @brief All servers of a service crash at the same moment and come back. How do proper requests end?
#include "stand_ins.hpp"

using namespace review;

namespace {

constexpr std::size_t serverCount = 3;
constexpr long downMs = 4500; ///< the length of srv_crash in the site file
constexpr long afterMs = 12000;
constexpr int perSecond = 300; ///< the servers can serve 600

} // namespace

int main(int count, char** words)
{
    if (count != 6) {
        std::fprintf(stderr, "usage: denied_case CONTROL,... GATEWAY,... READY,... RECORD TROUBLE\n");
        return 2;
    }
    const auto control = splitList(words[1]);
    const auto gateways = splitList(words[2]);
    recorder record(words[4]);
    const bool hasTrouble = std::string(words[5]) != "0";
    if (!publish(control, documentOf(1, "safe", 2), 20)) {
        record.line("the configuration isn't acknowledged", true);
        return 2;
    }
    std::vector<server*> servers; // their threads run until the program ends
    for (std::size_t number = 1; number <= serverCount; ++number) {
        server_options options;
        options.address = "127.0.0.3" + std::to_string(number) + gateways.front().substr(gateways.front().rfind(':'));
        options.id = "i-" + std::to_string(number);
        options.service = "portal";
        options.zone = "hall-a";
        options.control = control;
        servers.push_back(new server(options, record));
    }
    for (const auto& address : splitList(words[3])) {
        if (!waitReady(address, 10))
            return 2;
    }
    std::this_thread::sleep_for(std::chrono::seconds(3));

    consumers load(gateways, "GET /p/x", "Host: a.example\r\n", 1500, record);
    std::thread traffic([&] { load.run(perSecond, nowMs() + 10000 + downMs + afterMs); });
    std::this_thread::sleep_for(std::chrono::seconds(10));
    const long crashedAt = nowMs();
    if (hasTrouble) {
        for (auto* each : servers)
            each->crash();
        record.line("all servers have crashed", true);
    }
    std::this_thread::sleep_for(milliseconds(downMs));
    const long backAt = nowMs();
    if (hasTrouble) {
        for (std::size_t number = 1; number <= serverCount; ++number)
            servers[number - 1]->restart("i-" + std::to_string(number) + "-again");
        record.line("all servers are back, as new lifetimes", true);
    }
    traffic.join();

    std::map<std::string, std::map<int, int>> statuses;
    std::size_t denied = 0;
    for (const auto& seen : load.outcomes()) {
        ++statuses[seen.sentMs < crashedAt ? "before" : seen.sentMs < backAt ? "meanwhile" : "after"][seen.status];
        const bool isOwn = seen.status >= 300 && seen.status < 500; // the servers give no such answer
        denied += isOwn && seen.status != 408 && seen.status != 421 && seen.status != 429 ? 1 : 0;
    }
    for (const auto& [when, table] : statuses) {
        std::string line = "answers to requests sent " + when + ":";
        for (const auto& [status, times] : table)
            line += " " + std::to_string(status) + " x " + std::to_string(times);
        record.line(line, true);
    }
    const std::size_t allowed = 5 + load.outcomes().size() / 500;
    record.line("denied: " + std::to_string(denied) + " of " + std::to_string(load.outcomes().size())
            + " proper requests, allowed are " + std::to_string(allowed),
        true);
    if (statuses["before"][200] == 0)
        return 2;
    const bool isBroken = denied > allowed;
    record.line(isBroken ? "BROKEN" : "held", true);
    std::_Exit(isBroken ? 1 : 0);
}
