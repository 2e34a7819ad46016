/** @file metrics.cpp Counters, gauges and histograms, in the Prometheus text format. */
#include "metrics/metrics.h"

#include <cmath>
#include <sstream>

namespace waxwing {

namespace {

constexpr std::size_t max_series = 4096;
constexpr unsigned bucket_count = 60;
constexpr double min_latency_seconds = 1e-4;
constexpr double max_latency_seconds = 100.0;

/** Formats @p labels, followed by the formatted label @p extra_label, as `{a="b"}`. */
std::string format_labels(const metric_labels& labels, const std::string& extra_label = "")
{
    std::string text;
    for (const auto& [name, value] : labels) {
        text += text.empty() ? "" : ",";
        text += name + "=\"";
        for (const char character : value) {
            if (character == '"' || character == '\\') {
                text += '\\';
            }
            text += character == '\n' ? ' ' : character;
        }
        text += "\"";
    }
    if (!extra_label.empty()) {
        text += (text.empty() ? "" : ",") + extra_label;
    }
    return text.empty() ? "" : "{" + text + "}";
}

/** Formats @p value as a Prometheus sample value. */
std::string format_number(double value)
{
    std::ostringstream stream;
    stream.precision(12);
    stream << value;
    return stream.str();
}

} // namespace

latency_histogram::latency_histogram()
    : m_histogram(
          boost::histogram::make_histogram(axis(bucket_count, min_latency_seconds, max_latency_seconds)))
{
}

void latency_histogram::add(duration latency)
{
    const double seconds = std::max(to_seconds(latency), 0.0);
    m_histogram(std::max(seconds, min_latency_seconds / 2));
    m_sum += seconds;
    ++m_count;
}

duration latency_histogram::quantile(double quantile) const
{
    const double rank = quantile * static_cast<double>(m_count);
    double cumulative_count = 0.0;
    for (int index = -1; index < static_cast<int>(bucket_count); ++index) {
        cumulative_count += m_histogram.at(index);
        if (cumulative_count >= rank && cumulative_count > 0.0) {
            const double seconds = m_histogram.axis().value(index + 1);
            return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
        }
    }
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(max_latency_seconds));
}

void latency_histogram::write(const std::string& name, const metric_labels& labels, std::string& text) const
{
    double cumulative_count = 0.0;
    for (int index = -1; index < static_cast<int>(bucket_count); ++index) {
        cumulative_count += m_histogram.at(index);
        const std::string bound = "le=\"" + format_number(m_histogram.axis().value(index + 1)) + "\"";
        text +=
            name + "_bucket" + format_labels(labels, bound) + " " + format_number(cumulative_count) + "\n";
    }
    text += name + "_bucket" + format_labels(labels, "le=\"+Inf\"") + " " + std::to_string(m_count) + "\n";
    text += name + "_sum" + format_labels(labels) + " " + format_number(m_sum) + "\n";
    text += name + "_count" + format_labels(labels) + " " + std::to_string(m_count) + "\n";
}

bool metrics::may_add_series()
{
    const bool is_below_limit = m_counters.size() + m_gauges.size() + m_histograms.size() < max_series;
    m_dropped_updates += is_below_limit ? 0 : 1;
    return is_below_limit;
}

void metrics::count(const std::string& name, const metric_labels& labels, double amount)
{
    const auto position = m_counters.find({name, labels});
    if (position != m_counters.end()) {
        position->second += amount;
    }
    else if (may_add_series()) {
        m_counters.emplace(series_key{name, labels}, amount);
    }
}

void metrics::set(const std::string& name, const metric_labels& labels, double value)
{
    const auto position = m_gauges.find({name, labels});
    if (position != m_gauges.end()) {
        position->second = value;
    }
    else if (may_add_series()) {
        m_gauges.emplace(series_key{name, labels}, value);
    }
}

void metrics::observe(const std::string& name, const metric_labels& labels, duration latency)
{
    const auto position = m_histograms.find({name, labels});
    if (position != m_histograms.end()) {
        position->second.add(latency);
    }
    else if (may_add_series()) {
        m_histograms[{name, labels}].add(latency);
    }
}

double metrics::value(const std::string& name, const metric_labels& labels) const
{
    const auto counter = m_counters.find({name, labels});
    if (counter != m_counters.end()) {
        return counter->second;
    }
    const auto gauge = m_gauges.find({name, labels});
    return gauge != m_gauges.end() ? gauge->second : 0.0;
}

std::string metrics::write() const
{
    std::string text;
    std::string previous_name;
    for (const auto& [key, value] : m_counters) {
        text += key.first == previous_name ? "" : "# TYPE " + key.first + " counter\n";
        previous_name = key.first;
        text += key.first + format_labels(key.second) + " " + format_number(value) + "\n";
    }
    for (const auto& [key, value] : m_gauges) {
        text += key.first == previous_name ? "" : "# TYPE " + key.first + " gauge\n";
        previous_name = key.first;
        text += key.first + format_labels(key.second) + " " + format_number(value) + "\n";
    }
    for (const auto& [key, histogram] : m_histograms) {
        text += key.first == previous_name ? "" : "# TYPE " + key.first + " histogram\n";
        previous_name = key.first;
        histogram.write(key.first, key.second, text);
    }
    text += "# TYPE waxwing_series_dropped counter\nwaxwing_series_dropped " +
            std::to_string(m_dropped_updates) + "\n";
    return text;
}

} // namespace waxwing
