/** @file sampler_base.h Selects the requests that are logged, which bounds the log volume under load. */
#ifndef WAXWING_EVENTS_SAMPLER_BASE_H
#define WAXWING_EVENTS_SAMPLER_BASE_H

#include "base/base.h"

#include <cstdint>
#include <string_view>

namespace waxwing {

/** Limits on the logging of requests. */
struct sampler_settings {
    std::uint32_t m_requests_per_sample = 256; ///< One in so many whole requests is always logged; 0: none.
    std::uint32_t m_max_failures_per_second = 10; ///< Logged failures; sampled requests may exceed it.
};

/** The decision on one log line. */
struct sample_decision {
    bool m_logged = false;          ///< Whether the line is written.
    std::uint64_t m_suppressed = 0; ///< Failures not logged since the last logged one.
};

/**
 * Selects the requests that are logged. A whole request is sampled by its id alone, so that either every hop
 * logs it or none does. Failures are also logged, up to a rate. Thread safety: none needed; one owner.
 */
class request_sampler {
public:
    explicit request_sampler(const sampler_settings& settings) : m_settings(settings) {}

    /** Handles a request that succeeded. @param root_request the id of the whole request. */
    sample_decision on_success(std::string_view root_request) const;

    /** Handles a request that was refused or failed. @param root_request the id of the whole request. */
    sample_decision on_failure(instant now, std::string_view root_request);

private:
    bool is_sampled(std::string_view root_request) const;

    sampler_settings m_settings;
    instant m_window_start{}; ///< Start of the one-second window in which logged failures are counted.
    std::uint32_t m_logged_failures = 0; ///< Failures logged in the window.
    std::uint64_t m_suppressed = 0;      ///< Failures not logged since the last logged failure.
};

} // namespace waxwing

#endif
