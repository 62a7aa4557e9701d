#include "ends/metrics.h"

#include "ends/handler_guard.h"

#include <boost/histogram.hpp>

#include <sstream>

namespace carawayloft {

/** Buckets of latency histograms, from 0.1 ms to 100 s. */
static constexpr unsigned latencyBuckets = 30;
static constexpr double shortestLatencySeconds = 1e-4;
static constexpr double longestLatencySeconds = 1e2;

using latency_axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

struct metrics::latency_histogram {
    decltype(boost::histogram::make_histogram(std::declval<latency_axis>())) buckets
        = boost::histogram::make_histogram(latency_axis(latencyBuckets, shortestLatencySeconds, longestLatencySeconds));
    double sum = 0;
    std::uint64_t total = 0;
};

metrics::metrics() = default;
metrics::~metrics() = default;

void metrics::count(const std::string &name, const std::string &labels, std::uint64_t amount)
{
    m_counters[name][labels] += amount;
}

void metrics::setGauge(const std::string &name, const std::string &labels, double value)
{
    m_gauges[name][labels] = value;
}

void metrics::observe(const std::string &name, const std::string &labels, std::chrono::nanoseconds latency)
{
    auto &histogram = m_histograms[name][labels];
    if (!histogram) {
        histogram = std::make_unique<latency_histogram>();
    }
    const double seconds = std::chrono::duration<double>(latency).count();
    histogram->buckets(std::max(seconds, shortestLatencySeconds));
    histogram->sum += seconds;
    ++histogram->total;
}

template<class Series>
static void renderSeries(std::ostream &out, const std::string &type, const std::string &name, const Series &series)
{
    out << "# TYPE " << name << ' ' << type << '\n';
    for (const auto &[labels, value] : series) {
        out << name;
        if (!labels.empty()) {
            out << '{' << labels << '}';
        }
        out << ' ' << value << '\n';
    }
}

template<class Histogram>
static void renderHistogram(std::ostream &out, const std::string &name, const std::string &labels, const Histogram &histogram)
{
    const std::string prefix = labels.empty() ? std::string() : labels + ",";
    const std::string suffix = labels.empty() ? std::string() : "{" + labels + "}";
    double below = 0;
    for (const auto &bucket : boost::histogram::indexed(histogram.buckets)) {
        below += static_cast<double>(*bucket);
        out << name << "_bucket{" << prefix << "le=\"" << bucket.bin().upper() << "\"} " << below << '\n';
    }
    out << name << "_bucket{" << prefix << "le=\"+Inf\"} " << histogram.total << '\n'
        << name << "_sum" << suffix << ' ' << histogram.sum << '\n'
        << name << "_count" << suffix << ' ' << histogram.total << '\n';
}

std::string metrics::render() const
{
    std::ostringstream out;
    renderSeries(out, "counter", "carawayloft_handler_failures_total", std::map<std::string, std::uint64_t>{{{}, handlerFailures()}});
    for (const auto &[name, series] : m_counters) {
        renderSeries(out, "counter", name, series);
    }
    for (const auto &[name, series] : m_gauges) {
        renderSeries(out, "gauge", name, series);
    }
    for (const auto &[name, series] : m_histograms) {
        out << "# TYPE " << name << " histogram\n";
        for (const auto &[labels, histogram] : series) {
            renderHistogram(out, name, labels, *histogram);
        }
    }
    return out.str();
}

} // namespace carawayloft
