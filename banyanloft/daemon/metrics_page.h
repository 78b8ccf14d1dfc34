#pragma once

#include <string>
#include <vector>

#include "banyanloft/core/counters.h"
#include "banyanloft/core/histograms.h"

namespace banyanloft {

/// A value that may fall as well as rise.
struct Gauge {
  std::string name;
  std::string help;
  double value = 0;
};

/// What is known of a counter: its label and its meaning.
struct CounterHelp {
  std::string name;
  std::string label;  ///< Name of its one label; empty if it has none.
  std::string help;
};

/// Every counter of the daemon.
const std::vector<CounterHelp>& CounterTable();
/// Text of the metrics page in the Prometheus format.
std::string MetricsText(const std::vector<Counters>& counters,
                        const std::vector<Gauge>& gauges,
                        const std::vector<const Histograms*>& histograms = {});

/// What is known of a histogram.
struct HistogramHelp {
  std::string name;
  std::string help;
};
/// Every histogram of the daemon; each is labelled by route and urgency.
const std::vector<HistogramHelp>& HistogramTable();

}  // namespace banyanloft
