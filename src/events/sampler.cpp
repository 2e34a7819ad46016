/** @file sampler.cpp Which requests are logged. */
#include "events/sampler_base.h"

#include <utility>

namespace waxwing {

namespace {

constexpr duration failure_window = std::chrono::seconds(1);

/** Hashes @p text the same in every process (FNV-1a). */
std::uint64_t hash_of(std::string_view text)
{
    std::uint64_t hash = 0xCBF29CE484222325ULL;
    for (const char letter : text) {
        hash = (hash ^ static_cast<unsigned char>(letter)) * 0x100000001B3ULL;
    }
    return hash;
}

} // namespace

bool request_sampler::is_chosen(std::string_view root_request) const
{
    return m_settings.m_success_share != 0 && hash_of(root_request) % m_settings.m_success_share == 0;
}

sample_decision request_sampler::on_success(std::string_view root_request) const
{
    return {is_chosen(root_request), 0};
}

sample_decision request_sampler::on_failure(instant now, std::string_view root_request)
{
    if (now - m_window >= failure_window) {
        m_window = now;
        m_failures = 0;
    }
    if (!is_chosen(root_request) && m_failures >= m_settings.m_failure_rate) {
        ++m_suppressed;
        return {};
    }
    ++m_failures;
    return {true, std::exchange(m_suppressed, 0)};
}

} // namespace waxwing
