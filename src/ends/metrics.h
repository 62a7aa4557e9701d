#pragma once

#include <carawayloft/core/units.h>

#include <map>
#include <memory>
#include <string>

namespace carawayloft {

/** The metrics of one task, in the Prometheus text format. Not shared between tasks. */
class metrics
{
public:
    metrics();
    ~metrics();

    /** Adds to a counter; @p labels is "" or 'name="value"'. */
    void count(const std::string &name, const std::string &labels = {}, std::uint64_t amount = 1);

    void setGauge(const std::string &name, const std::string &labels, double value);

    /** Adds a latency to a histogram; @p labels as for counters. */
    void observe(const std::string &name, const std::string &labels, std::chrono::nanoseconds latency);

    std::string render() const;

private:
    struct latency_histogram;

    std::map<std::string, std::map<std::string, std::uint64_t>> m_counters;
    std::map<std::string, std::map<std::string, double>> m_gauges;
    std::map<std::string, std::map<std::string, std::unique_ptr<latency_histogram>>> m_histograms;
};

} // namespace carawayloft
