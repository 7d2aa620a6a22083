// Public header of the metrics library: counters, gauges and histograms, in the
// Prometheus text format.
#ifndef METRICS_METRICS_H_
#define METRICS_METRICS_H_

#include "metrics/bounded_label_values.h"
#include "metrics/metric_registry.h"

#endif  // METRICS_METRICS_H_
