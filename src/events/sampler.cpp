/** @file sampler.cpp Selects the requests that are logged. */
#include "events/sampler_base.h"

#include <utility>

namespace waxwing {

namespace {

constexpr duration failure_window = std::chrono::seconds(1);

/** Returns the FNV-1a hash of @p text, which is the same in every process. */
std::uint64_t hash_of(std::string_view text)
{
    std::uint64_t hash = 0xCBF29CE484222325ULL;
    for (const char character : text) {
        hash = (hash ^ static_cast<unsigned char>(character)) * 0x100000001B3ULL;
    }
    return hash;
}

} // namespace

bool request_sampler::is_sampled(std::string_view root_request) const
{
    return m_settings.m_requests_per_sample != 0 &&
           hash_of(root_request) % m_settings.m_requests_per_sample == 0;
}

sample_decision request_sampler::on_success(std::string_view root_request) const
{
    return {is_sampled(root_request), 0};
}

sample_decision request_sampler::on_failure(instant now, std::string_view root_request)
{
    if (now - m_window_start >= failure_window) {
        m_window_start = now;
        m_logged_failures = 0;
    }
    if (!is_sampled(root_request) && m_logged_failures >= m_settings.m_max_failures_per_second) {
        ++m_suppressed;
        return {};
    }
    ++m_logged_failures;
    return {true, std::exchange(m_suppressed, 0)};
}

} // namespace waxwing
