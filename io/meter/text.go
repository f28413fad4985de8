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

// metricPrefix starts the name of every metric in Prometheus' text form.
const metricPrefix = "bilberrymux_"

// quantiles are shown of each histogram.
var quantiles = []float64{0.5, 0.9, 0.99}

// ContentType is that of the text form.
var ContentType = string(expfmt.NewFormat(expfmt.TypeTextPlain))

// Text returns all metrics, sorted by name and labels.
func (s *Set) Text() ([]byte, error) {
	var names []string
	all := map[string]any{}
	s.registry.Each(func(name string, m any) {
		names = append(names, name)
		all[name] = m
	})
	slices.SortFunc(names, func(a, b string) int {
		baseA, _ := split(a)
		baseB, _ := split(b)
		return cmp.Or(strings.Compare(baseA, baseB), strings.Compare(a, b))
	})
	var families []*dto.MetricFamily
	for _, name := range names {
		families = add(families, name, all[name])
	}
	var out bytes.Buffer
	for _, f := range families {
		if _, err := expfmt.MetricFamilyToText(&out, f); err != nil {
			return nil, fmt.Errorf("meter: %w", err)
		}
	}
	return out.Bytes(), nil
}

// add appends a metric to the last family, or to a new one where the name
// changes.
func add(families []*dto.MetricFamily, name string, m any) []*dto.MetricFamily {
	base, labels := split(name)
	metric, kind := describe(m)
	if metric == nil {
		return families
	}
	for i := range labels {
		metric.Label = append(metric.Label, &dto.LabelPair{Name: &labels[i].Key, Value: &labels[i].Value})
	}
	text := metricName(base)
	if last := len(families) - 1; last >= 0 && families[last].GetName() == text {
		families[last].Metric = append(families[last].Metric, metric)
		return families
	}
	return append(families, &dto.MetricFamily{Name: &text, Type: kind.Enum(), Metric: []*dto.Metric{metric}})
}

// metricName turns a name such as refusal.queueFull into the other form.
func metricName(name string) string {
	return metricPrefix + strings.Map(func(r rune) rune {
		if r == '.' || r == '-' || r == '/' {
			return '_'
		}
		return r
	}, name)
}

// describe returns a metric in the other form, or nil for one of another kind.
func describe(m any) (*dto.Metric, dto.MetricType) {
	switch m := m.(type) {
	case metrics.Counter:
		v := float64(m.Count())
		return &dto.Metric{Counter: &dto.Counter{Value: &v}}, dto.MetricType_COUNTER
	case metrics.Gauge:
		v := float64(m.Value())
		return &dto.Metric{Gauge: &dto.Gauge{Value: &v}}, dto.MetricType_GAUGE
	case metrics.Histogram:
		return &dto.Metric{Summary: summary(m.Snapshot())}, dto.MetricType_SUMMARY
	}
	return nil, 0
}

func summary(h metrics.Histogram) *dto.Summary {
	count, sum := uint64(h.Count()), float64(h.Sum())
	s := &dto.Summary{SampleCount: &count, SampleSum: &sum}
	for i, v := range h.Percentiles(quantiles) {
		s.Quantile = append(s.Quantile, &dto.Quantile{Quantile: &quantiles[i], Value: &v})
	}
	return s
}
