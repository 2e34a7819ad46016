/** @file metrics.h Public header of the metrics library: counters, gauges and histograms for Prometheus. */
#ifndef WAXWING_METRICS_METRICS_H
#define WAXWING_METRICS_METRICS_H

#include "base/base.h"

#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace waxwing {

/** A label of a metric: its name and value. */
using metric_label = std::pair<std::string, std::string>;

/** The labels of a metric, in the order in which they are written. */
using metric_labels = std::vector<metric_label>;

/**
 * A histogram of latencies, with buckets growing by a constant factor from 0.1 ms to 100 s.
 * Thread safety: one owner.
 */
class latency_histogram {
public:
    latency_histogram();

    /** Adds @p latency to the histogram. */
    void add(duration latency);

    /** Returns the number of recorded latencies. */
    std::uint64_t count() const { return m_count; }

    /** Returns the upper bound of the bucket that holds the quantile @p quantile, a ratio from 0 to 1. */
    duration quantile(double quantile) const;

    /** Appends the lines of the metric @p name to @p text, in the Prometheus text format. */
    void write(const std::string& name, const metric_labels& labels, std::string& text) const;

private:
    using axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using histogram = decltype(boost::histogram::make_histogram(axis(1U, 1.0, 2.0)));

    histogram m_histogram;
    std::uint64_t m_count = 0;
    double m_sum = 0.0; ///< Seconds.
};

/** A registry of metrics with a bounded number of series. Thread safety: one owner. */
class metrics {
public:
    /**
     * Adds @p amount to the counter @p name. As with gauges and histograms, a new series beyond the bound is
     * dropped; each such update is counted in `waxwing_series_dropped`.
     */
    void count(const std::string& name, const metric_labels& labels, double amount = 1.0);

    /** Sets the gauge @p name to @p value. */
    void set(const std::string& name, const metric_labels& labels, double value);

    /** Adds @p latency to the histogram @p name. */
    void observe(const std::string& name, const metric_labels& labels, duration latency);

    /** Returns the value of a counter or gauge; zero if it does not exist. */
    double value(const std::string& name, const metric_labels& labels) const;

    /** Returns all series in the Prometheus text format. */
    std::string write() const;

private:
    using series_key = std::pair<std::string, metric_labels>;

    /** Returns whether one more series is allowed; if not, counts a dropped update. */
    bool may_add_series();

    std::map<series_key, double> m_counters;
    std::map<series_key, double> m_gauges;
    std::map<series_key, latency_histogram> m_histograms;
    std::uint64_t m_dropped_updates = 0;
};

} // namespace waxwing

#endif
