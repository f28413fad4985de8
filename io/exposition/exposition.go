// Package exposition writes the metrics of a process in the text form that
// Prometheus and its kin read.
package exposition

import (
	"bytes"
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

// Text returns all metrics of a registry, sorted by name.
func Text(registry metrics.Registry) ([]byte, error) {
	var families []*dto.MetricFamily
	registry.Each(func(name string, metric any) {
		if f := family(metricName(name), metric); f != nil {
			families = append(families, f)
		}
	})
	slices.SortFunc(families, func(a, b *dto.MetricFamily) int { return strings.Compare(a.GetName(), b.GetName()) })
	var out bytes.Buffer
	for _, f := range families {
		if _, err := expfmt.MetricFamilyToText(&out, f); err != nil {
			return nil, fmt.Errorf("exposition: %w", err)
		}
	}
	return out.Bytes(), nil
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

func family(name string, metric any) *dto.MetricFamily {
	f := &dto.MetricFamily{Name: &name}
	switch m := metric.(type) {
	case metrics.Counter:
		f.Type = dto.MetricType_COUNTER.Enum()
		v := float64(m.Count())
		f.Metric = []*dto.Metric{{Counter: &dto.Counter{Value: &v}}}
	case metrics.Gauge:
		f.Type = dto.MetricType_GAUGE.Enum()
		v := float64(m.Value())
		f.Metric = []*dto.Metric{{Gauge: &dto.Gauge{Value: &v}}}
	case metrics.Histogram:
		f.Type = dto.MetricType_SUMMARY.Enum()
		f.Metric = []*dto.Metric{{Summary: summary(m.Snapshot())}}
	default:
		return nil
	}
	return f
}

func summary(h metrics.Histogram) *dto.Summary {
	count, sum := uint64(h.Count()), float64(h.Sum())
	s := &dto.Summary{SampleCount: &count, SampleSum: &sum}
	for i, v := range h.Percentiles(quantiles) {
		s.Quantile = append(s.Quantile, &dto.Quantile{Quantile: &quantiles[i], Value: &v})
	}
	return s
}
