/// Counters, and histograms of waiting, decision and service time for each class and each team.
/// One thread only; text in the Prometheus format.
#pragma once

#include "heatherchute/Support.h"

#include <map>
#include <memory>

namespace heatherchute {

/// What a histogram measures.
enum class Measure : std::uint8_t {
    Waiting,
    Decision,
    Service,
};

class Metrics {
public:
    Metrics();
    Metrics(const Metrics&) = delete;
    Metrics& operator=(const Metrics&) = delete;
    ~Metrics();

    void observe(Measure measure, const std::string& className, const std::string& team, Duration time);
    void count(const std::string& counter, const std::string& label, std::uint64_t amount = 1);
    void gauge(const std::string& name, double value);
    std::string text() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace heatherchute
