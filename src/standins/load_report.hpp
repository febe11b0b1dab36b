// Results of a load run as JSON and as one self-contained SVG chart.
#pragma once

#include "load_client.hpp"

#include <QJsonObject>

#include <string>
#include <vector>

namespace verbenahold::standins {

// Percentiles by exact sorting (nearest rank); times in seconds.
QJsonObject make_report(const load_settings& settings, const load_client& client);

// Time to first token by prompt length, and requests over time with the zone
// events marked.
std::string draw_chart(const load_settings& settings, const load_client& client);

// Value that `percent` of the samples do not exceed; 0 without samples.
double percentile(std::vector<double> samples, double percent);

}  // namespace verbenahold::standins
