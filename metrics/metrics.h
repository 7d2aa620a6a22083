// Public header of the metrics library: counters and histograms per customer
// and class, shown in the Prometheus text format.
#ifndef METRICS_METRICS_H_
#define METRICS_METRICS_H_

#include "metrics/bounded_label_values.h"
#include "metrics/metric_registry.h"

#endif  // METRICS_METRICS_H_
