/// @file
/// @brief Tests of timelines of requests from logs.
#include "app/shell/request_timeline.hpp"

#include <catch2/catch.hpp>
#include <sstream>

using namespace buckthornrail::app;

namespace {

const char* const gatewayLog
    = "I 100.000 E100 process_started role=gateway instance=g-1\n"
      "I 200.010 E200 route_chosen request=r-1 attempt=1 chosen=i-1=0-40,i-2=40-80 left_ms=900\n"
      "I 200.020 E200 route_chosen request=r-10 attempt=1 chosen=i-9=0-80\n"
      "I 200.300 E211 target_unreachable target=i-2 address=10.0.0.2:80 how=refused\n"
      "I 200.301 E211 target_unreachable target=i-9 address=10.0.0.9:80 how=refused\n"
      "I 200.310 E203 attempt_lost request=r-1 attempt=1 reason=\"no connection to i-2\" ran=yes\n"
      "I 200.500 E502 configuration_applied version=8 routes=3\n"
      "not a line of the log\n"
      "I 201.000 E204 request_finished request=r-1 outcome=streamed ms=990\n"
      "I 300.000 E502 configuration_applied version=9 routes=3\n";

const char* const registryLog = "W 200.600 E601 instance_lost instance=i-2 address=10.0.0.2:80\n"
                                "I 200.700 E605 layers_ordered target=i-3 layers=40-80 held=0-0\n"
                                "I 200.800 E502 configuration_applied version=8\n"
                                "I 260.000 E603 target_changed target=i-2 state=ready\n";

std::vector<timeline_entry> timelineFrom(const std::string& request)
{
    std::istringstream gateway(gatewayLog);
    std::istringstream registry(registryLog);
    return requestTimeline(request, { { "registry", registry }, { "gateway", gateway } });
}

} // namespace

TEST_CASE(
    "request timeline: a request's lines, and events of its targets and gateway at the same time", "[request_timeline]")
{
    const auto timeline = timelineFrom("r-1");
    std::vector<std::string> codes;
    codes.reserve(timeline.size());
    for (const auto& line : timeline)
        codes.push_back(line.text.substr(0, 4) + (line.namesRequest ? "!" : ""));
    CHECK(codes == std::vector<std::string> { "E200!", "E211", "E203!", "E502", "E601", "E204!" });
    CHECK(timeline[4].source == "registry");
}

TEST_CASE("request timeline: empty when no line has the request's id", "[request_timeline]")
{
    CHECK(timelineFrom("r-2").empty());
    CHECK(timelineFrom("").empty());
    CHECK(format({}).empty());
}

TEST_CASE("request timeline: times are relative to the request's first line", "[request_timeline]")
{
    const auto text = format(timelineFrom("r-1"));
    CHECK(text.starts_with(">    +0.000 s gateway  E200 route_chosen request=r-1"));
    CHECK(text.find("     +0.590 s registry E601 instance_lost instance=i-2") != std::string::npos);
}
