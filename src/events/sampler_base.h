/** @file sampler_base.h Which requests are logged, so that the volume stays bounded under load. */
#ifndef WAXWING_EVENTS_SAMPLER_BASE_H
#define WAXWING_EVENTS_SAMPLER_BASE_H

#include "base/base.h"

#include <cstdint>
#include <string_view>

namespace waxwing {

/** Bounds on the log of requests. */
struct sampler_settings {
    std::uint32_t m_success_share = 256; ///< One in so many whole requests is logged though all went well.
    std::uint32_t m_failure_rate = 10;   ///< Failures logged in one second at most, by one node.
};

/** What to do with one line. */
struct sample_decision {
    bool m_logged = false;          ///< Whether the line is written.
    std::uint64_t m_suppressed = 0; ///< Failures left out before it, to be told with it.
};

/**
 * Chooses the requests that are logged. A whole request is chosen by its id alone, so every hop logs it or
 * none does; failures are logged besides, up to a rate. Thread safety: none needed; one owner.
 */
class request_sampler {
public:
    explicit request_sampler(const sampler_settings& settings) : m_settings(settings) {}

    /** Decides on a request that ended well. @param root_request the id of the whole request. */
    sample_decision on_success(std::string_view root_request) const;

    /** Decides on a request that was refused or failed. @param root_request the id of the whole request. */
    sample_decision on_failure(instant now, std::string_view root_request);

private:
    bool is_chosen(std::string_view root_request) const;

    sampler_settings m_settings;
    instant m_window{};             ///< Start of the second in which failures are counted.
    std::uint32_t m_failures = 0;   ///< Logged in it.
    std::uint64_t m_suppressed = 0; ///< Left out since the last line.
};

} // namespace waxwing

#endif
