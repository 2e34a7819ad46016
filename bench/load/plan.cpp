/** @file plan.cpp Parses a load plan. */
#include "bench/load/plan_type.h"

#include <nlohmann/json.hpp>

namespace waxwing {

namespace {

using nlohmann::json;

/** Parses the addresses in @p texts. */
result<std::vector<endpoint>> read_addresses(const json& texts)
{
    std::vector<endpoint> addresses;
    for (const json& text : texts) {
        const result<endpoint> address = parse_endpoint(text.get<std::string>());
        if (address.has_error()) {
            return address.error();
        }
        addresses.push_back(address.value());
    }
    return addresses;
}

/** Parses a kind of request. */
plan_kind read_kind(const json& content)
{
    plan_kind kind;
    kind.m_name = content.at("name").get<std::string>();
    kind.m_service.m_value = content.at("service").get<std::string>();
    kind.m_method = content.value("method", "GET");
    kind.m_path = content.value("path", "/#");
    kind.m_caller = content.value("caller", "load");
    kind.m_rate = content.at("rate").get<double>();
    kind.m_keyed = content.value("keyed", false);
    kind.m_max_retries = content.value("retries", 0U);
    kind.m_timeout = std::chrono::milliseconds(content.value("patience_ms", 1000));
    kind.m_body_size = content.value("body_size", std::size_t{0});
    return kind;
}

} // namespace

result<load_plan> read_plan(const std::string& text)
{
    const json content = json::parse(text, nullptr, false);
    if (!content.is_object()) {
        return fail(error_code::invalid, "the plan is not a JSON object");
    }
    load_plan plan;
    const auto entries = read_addresses(content.at("entries"));
    const auto targets = read_addresses(content.value("targets", json::array()));
    if (entries.has_error() || targets.has_error() || entries.value().empty()) {
        return fail(error_code::invalid, "the plan's addresses can't be read");
    }
    plan.m_entries = entries.value();
    plan.m_targets = targets.value();
    for (const json& kind : content.at("kinds")) {
        plan.m_kinds.push_back(read_kind(kind));
    }
    for (const json& phase : content.at("phases")) {
        const auto phase_duration =
            std::chrono::milliseconds(static_cast<std::int64_t>(phase.at("seconds").get<double>() * 1000));
        plan.m_phases.push_back(
            {phase.at("name").get<std::string>(), phase_duration, phase.value("factor", 1.0)});
    }
    plan.m_report_interval = std::chrono::milliseconds(content.value("interval_ms", 200));
    return plan;
}

} // namespace waxwing
