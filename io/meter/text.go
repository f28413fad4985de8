package meter

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"strings"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	metrics "github.com/rcrowley/go-metrics"
)

// metricPrefix is the prefix of every metric name in the Prometheus text format.
const metricPrefix = "bilberrymux_"

// quantiles are the quantiles that are exported for each histogram.
var quantiles = []float64{0.5, 0.9, 0.99}

// ContentType is the MIME type of the output of Text.
var ContentType = string(expfmt.NewFormat(expfmt.TypeTextPlain))

// Text returns all metrics in the Prometheus text format, sorted by name and labels.
func (s *Set) Text() ([]byte, error) {
	var names []string
	all := map[string]any{}
	s.registry.Each(func(name string, m any) {
		names = append(names, name)
		all[name] = m
	})
	slices.SortFunc(names, func(a, b string) int {
		baseA, _ := parseName(a)
		baseB, _ := parseName(b)
		return cmp.Or(strings.Compare(baseA, baseB), strings.Compare(a, b))
	})
	var families []*dto.MetricFamily
	for _, name := range names {
		families = appendMetric(families, name, all[name])
	}
	var out bytes.Buffer
	for _, f := range families {
		if _, err := expfmt.MetricFamilyToText(&out, f); err != nil {
			return nil, fmt.Errorf("meter: encode metrics: %w", err)
		}
	}
	return out.Bytes(), nil
}

// appendMetric adds a metric to the last family if that has the metric's base name, and otherwise
// to a new family. Metrics must be added in the order of their base names.
func appendMetric(families []*dto.MetricFamily, name string, m any) []*dto.MetricFamily {
	base, labels := parseName(name)
	metric, kind := toPrometheus(m)
	if metric == nil {
		return families
	}
	for i := range labels {
		metric.Label = append(metric.Label, &dto.LabelPair{Name: &labels[i].Key, Value: &labels[i].Value})
	}
	promName := prometheusName(base)
	if last := len(families) - 1; last >= 0 && families[last].GetName() == promName {
		families[last].Metric = append(families[last].Metric, metric)
		return families
	}
	return append(families, &dto.MetricFamily{Name: &promName, Type: kind.Enum(), Metric: []*dto.Metric{metric}})
}

// prometheusName converts a base name such as refusal.queueFull to a Prometheus metric name.
func prometheusName(name string) string {
	return metricPrefix + strings.Map(func(r rune) rune {
		if r == '.' || r == '-' || r == '/' {
			return '_'
		}
		return r
	}, name)
}

// toPrometheus converts a metric of the registry to a Prometheus metric and its type. It returns
// nil for unsupported types.
func toPrometheus(m any) (*dto.Metric, dto.MetricType) {
	switch m := m.(type) {
	case metrics.Counter:
		v := float64(m.Count())
		return &dto.Metric{Counter: &dto.Counter{Value: &v}}, dto.MetricType_COUNTER
	case metrics.Gauge:
		v := float64(m.Value())
		return &dto.Metric{Gauge: &dto.Gauge{Value: &v}}, dto.MetricType_GAUGE
	case metrics.Histogram:
		return &dto.Metric{Summary: toSummary(m.Snapshot())}, dto.MetricType_SUMMARY
	}
	return nil, 0
}

// toSummary converts a histogram to a Prometheus summary with the quantiles.
func toSummary(h metrics.Histogram) *dto.Summary {
	count, sum := uint64(h.Count()), float64(h.Sum())
	s := &dto.Summary{SampleCount: &count, SampleSum: &sum}
	for i, v := range h.Percentiles(quantiles) {
		s.Quantile = append(s.Quantile, &dto.Quantile{Quantile: &quantiles[i], Value: &v})
	}
	return s
}
