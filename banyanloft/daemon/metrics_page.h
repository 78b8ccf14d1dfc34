#pragma once

#include <string>
#include <vector>

#include "banyanloft/core/counters.h"
#include "banyanloft/core/histograms.h"

namespace banyanloft {

/// A metric whose value can go up and down.
struct Gauge {
  std::string name;
  std::string help;
  double value = 0;
};

/// Label and help text of a counter.
struct CounterHelp {
  std::string name;
  std::string label;  ///< Name of its label; empty: none.
  std::string help;
};

/// All counters of the daemons.
const std::vector<CounterHelp>& CounterTable();
/// The metrics page in the Prometheus text format.
std::string MetricsText(const std::vector<Counters>& counters,
                        const std::vector<Gauge>& gauges,
                        const std::vector<const Histograms*>& histograms = {});

/// Help text of a histogram.
struct HistogramHelp {
  std::string name;
  std::string help;
};
/// All histograms of the daemons; each is labelled by route and urgency.
const std::vector<HistogramHelp>& HistogramTable();

}  // namespace banyanloft
