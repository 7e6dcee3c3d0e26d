/// @file
/// @brief Checks of requests against the configuration, and the draw of a version.
#include "app/entry/admission.hpp"

#include "buckthornrail/routing/route_table.hpp"

#include <algorithm>

namespace buckthornrail::app {
namespace {

tl::unexpected<failure> refuse(result_code code, const std::string& reason = {})
{
    return tl::make_unexpected(failure { code, reason });
}

tl::expected<admission_result, failure> admitCompletion(
    const configuration::document& document, const caller_request& request)
{
    const auto found = document.pipelines.find(request.pipeline);
    if (found == document.pipelines.end())
        return refuse(result_code::UnknownModel);
    const auto& pipeline = found->second;
    if (!isWorkspaceAllowed(pipeline.workspaces, request.workspace))
        return refuse(result_code::UnknownWorkspace, "the workspace may not use this pipeline");
    admission_result admission;
    admission.model = pipeline.model;
    admission.layerCount = document.models.at(pipeline.model).layers;
    admission.versions = pipeline.versions;
    admission.pools = pipeline.pools;
    admission.priority = pipeline.priority;
    admission.nonIdempotent = request.markedNonIdempotent;
    return admission;
}

tl::expected<admission_result, failure> admitService(
    const configuration::document& document, const caller_request& request)
{
    const auto found = document.services.find(request.service);
    if (found == document.services.end())
        return refuse(result_code::UnknownService);
    const auto& service = found->second;
    if (!isWorkspaceAllowed(service.workspaces, request.workspace))
        return refuse(result_code::UnknownWorkspace, "the workspace may not use this service");
    const auto isMatch = [&](const configuration::request_pattern& pattern) {
        return pattern.method == request.call.method && request.call.path.starts_with(pattern.pathPrefix);
    };
    admission_result admission;
    admission.nonIdempotent = request.markedNonIdempotent
        || std::any_of(service.nonIdempotent.begin(), service.nonIdempotent.end(), isMatch);
    return admission;
}

} // namespace

tl::expected<admission_result, failure> admit(
    const configuration::document& document, const caller_request& request, std::uint32_t inFlight)
{
    const auto workspace = document.workspaces.find(request.workspace);
    if (workspace == document.workspaces.end())
        return refuse(result_code::UnknownWorkspace);
    auto admission = request.pipeline.empty() ? admitService(document, request) : admitCompletion(document, request);
    if (!admission)
        return admission;
    const auto& limits = workspace->second;
    if (limits.maxInFlight != 0 && inFlight >= limits.maxInFlight)
        return refuse(result_code::WorkspaceLimit);
    if (admission->nonIdempotent && request.idempotencyKey.empty())
        return refuse(result_code::KeyRequired);
    admission->weight = limits.weight;
    admission->priority = std::min(request.priority.value_or(admission->priority), limits.maxPriority);
    return admission;
}

bool isWorkspaceAllowed(const std::vector<std::string>& allowed, const std::string& workspace)
{
    return allowed.empty() || std::find(allowed.begin(), allowed.end(), workspace) != allowed.end();
}

std::string drawVersion(const std::vector<configuration::share>& versions, const std::set<std::string>& ready,
    const std::function<std::uint32_t(std::uint32_t)>& draw)
{
    std::vector<configuration::share> usable;
    std::uint32_t total = 0;
    for (const auto& version : versions) {
        if (version.percent == 0 || !ready.contains(version.name))
            continue;
        usable.push_back(version);
        total += version.percent;
    }
    if (total == 0)
        return versions.empty() ? std::string() : versions.front().name;
    return routing::drawShare(usable, draw(total)).value_or(usable.front().name);
}

} // namespace buckthornrail::app
