#include "heatherchute/Metrics.h"

#include <boost/histogram.hpp>
#include <sstream>

namespace heatherchute {

namespace histogram = boost::histogram;

static constexpr NamedValue<Measure> measureNames[] {
    { Measure::Waiting, "waiting" },
    { Measure::Decision, "decision" },
    { Measure::Service, "service" },
};

/// Teams and classes shown by name; the rest is counted under "other".
static constexpr std::size_t maxSeries = 1000;
static constexpr double shortestSeconds = 1e-6;
static constexpr double longestSeconds = 1e5;
/// Two bins for each factor of ten would hide a p99; four are enough to see it move.
static constexpr unsigned bins = 44;

static auto makeHistogram()
{
    using LogAxis = histogram::axis::regular<double, histogram::axis::transform::log>;
    return histogram::make_histogram(LogAxis(bins, shortestSeconds, longestSeconds));
}

namespace {

    struct Series {
        decltype(makeHistogram()) bins = makeHistogram();
        double sum = 0;
        std::uint64_t count = 0;
    };

    /// Measure, label and the label's value.
    struct SeriesName {
        Measure measure;
        std::string label;
        std::string value;

        auto operator<=>(const SeriesName&) const = default;
    };

} // namespace

struct Metrics::State {
    void add(Measure measure, const char* label, const std::string& value, double seconds);

    std::map<SeriesName, Series> series;
    std::map<std::string, std::map<std::string, std::uint64_t>> counters;
    std::map<std::string, double> gauges;
};

void Metrics::State::add(Measure measure, const char* label, const std::string& value, double seconds)
{
    SeriesName name { measure, label, value };
    if (!series.contains(name) && series.size() >= maxSeries)
        name.value = "other";
    auto& entry = series[name];
    entry.bins(std::max(seconds, shortestSeconds));
    entry.sum += seconds;
    ++entry.count;
}

Metrics::Metrics()
    : m_state(std::make_unique<State>())
{
}

Metrics::~Metrics() = default;

void Metrics::observe(Measure measure, const std::string& className, const std::string& team, Duration time)
{
    const auto seconds = std::chrono::duration<double>(time).count();
    m_state->add(measure, "class", className, seconds);
    m_state->add(measure, "team", team, seconds);
}

void Metrics::count(const std::string& counter, const std::string& label, std::uint64_t amount)
{
    auto& labels = m_state->counters[counter];
    labels[labels.size() >= maxSeries && !labels.contains(label) ? "other" : label] += amount;
}

void Metrics::gauge(const std::string& name, double value)
{
    m_state->gauges[name] = value;
}

static void writeSeries(std::ostream& out, const SeriesName& name, const Series& series)
{
    const auto metric = "heatherchute_" + std::string(nameOf(measureNames, name.measure)) + "_seconds";
    const auto label = name.label + "=\"" + name.value + "\"";
    double cumulated = 0;
    for (auto&& bin : histogram::indexed(series.bins, histogram::coverage::all)) {
        cumulated += *bin;
        if (*bin > 0 && bin.bin().upper() < longestSeconds)
            out << metric << "_bucket{" << label << ",le=\"" << bin.bin().upper() << "\"} " << cumulated << '\n';
    }
    out << metric << "_bucket{" << label << ",le=\"+Inf\"} " << series.count << '\n';
    out << metric << "_sum{" << label << "} " << series.sum << '\n';
    out << metric << "_count{" << label << "} " << series.count << '\n';
}

std::string Metrics::text() const
{
    std::ostringstream out;
    for (const auto& row : measureNames)
        out << "# TYPE heatherchute_" << row.name << "_seconds histogram\n";
    for (const auto& [name, series] : m_state->series)
        writeSeries(out, name, series);
    for (const auto& [counter, labels] : m_state->counters) {
        out << "# TYPE heatherchute_" << counter << "_total counter\n";
        for (const auto& [label, value] : labels)
            out << "heatherchute_" << counter << "_total{kind=\"" << label << "\"} " << value << '\n';
    }
    for (const auto& [name, value] : m_state->gauges)
        out << "# TYPE heatherchute_" << name << " gauge\nheatherchute_" << name << ' ' << value << '\n';
    return out.str();
}

} // namespace heatherchute
