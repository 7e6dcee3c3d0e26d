/// @file
/// @brief Servers run requests and lose some of their answers. On how many servers does one consumer attempt run?
#include "stand_ins.hpp"

using namespace review;

namespace {

constexpr int maxAttempts = 1; ///< of the route
constexpr std::size_t serverCount = 4;
constexpr std::size_t lossyCount = serverCount / 2; ///< the largest share of answer_lost: half of the servers
constexpr double lostShare = 0.05; ///< the largest part of the answers that it loses
constexpr long lossMs = 6400; ///< its longest length
constexpr int perSecond = 500; ///< the servers can serve 800
constexpr std::size_t allowedRequests = 3; ///< the rule is broken by more than these

} // namespace

int main(int count, char** words)
{
    if (count != 6) {
        std::fprintf(stderr, "usage: attempts_case CONTROL,... GATEWAY,... READY RECORD TROUBLE\n");
        return 2;
    }
    const auto control = splitList(words[1]);
    const auto gateways = splitList(words[2]);
    recorder record(words[4]);
    const bool hasTrouble = std::string(words[5]) != "0";
    if (!publish(control, documentOf(1, "safe", maxAttempts), 20)) {
        record.line("the configuration isn't acknowledged", true);
        return 2;
    }
    std::atomic<bool> losesAnswers = false;
    std::mt19937_64 random(std::random_device {}());
    std::mutex randomMutex;
    std::vector<server*> servers; // their threads run until the program ends
    for (std::size_t number = 0; number < serverCount; ++number) {
        server_options options;
        options.address
            = "127.0.0.3" + std::to_string(number + 1) + gateways.front().substr(gateways.front().rfind(':'));
        options.id = "i-" + std::to_string(number + 1);
        options.service = "portal";
        options.zone = "hall-a";
        options.control = control;
        servers.push_back(new server(options, record));
        if (number >= lossyCount)
            continue;
        servers.back()->losesAnswer = [&] {
            const std::lock_guard lock(randomMutex);
            return losesAnswers && std::uniform_real_distribution<double>(0, 1)(random) < lostShare;
        };
    }
    for (const auto& address : splitList(words[3])) {
        if (!waitReady(address, 10))
            return 2;
    }
    std::this_thread::sleep_for(std::chrono::seconds(3));

    consumers load(gateways, "GET /p/x", "Host: a.example\r\n", 1500, record);
    const long begin = nowMs();
    std::thread traffic([&] { load.run(perSecond, begin + 12000 + lossMs); });
    std::this_thread::sleep_for(std::chrono::seconds(10));
    losesAnswers = hasTrouble;
    record.line(hasTrouble ? "two of four servers begin to lose answers" : "no answer is lost", true);
    std::this_thread::sleep_for(milliseconds(lossMs));
    losesAnswers = false;
    record.line("no more answers are lost", true);
    traffic.join();

    std::map<std::string, std::set<std::string>> runs;
    for (const auto* each : servers) {
        for (const auto& seen : each->arrivals()) {
            if (seen.what == "run")
                runs[seen.id].insert(each->id());
        }
    }
    std::size_t beyond = 0;
    for (const auto& [id, at] : runs) {
        if (at.size() <= maxAttempts)
            continue;
        ++beyond;
        std::string names;
        for (const auto& name : at)
            names += " " + name;
        record.line("request " + id + " ran on" + names);
    }
    record.line("consumer attempts: " + std::to_string(load.outcomes().size()) + ", run on more than "
            + std::to_string(maxAttempts) + " server: " + std::to_string(beyond),
        true);
    if (runs.empty())
        return 2;
    const bool isBroken = beyond > allowedRequests;
    record.line(isBroken ? "BROKEN" : "held", true);
    std::_Exit(isBroken ? 1 : 0);
}
