package admin

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"github.com/gofiber/fiber/v2"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	metrics "github.com/rcrowley/go-metrics"
)

// metricPrefix starts the name of every metric in Prometheus' text form.
const metricPrefix = "bilberrymux_"

// quantiles are shown of each histogram.
var quantiles = []float64{0.5, 0.9, 0.99}

// prometheus writes all metrics in Prometheus' text form.
func (a *Admin) prometheus(c *fiber.Ctx) error {
	var families []*dto.MetricFamily
	a.options.Registry.Each(func(name string, metric any) {
		if f := family(metricName(name), metric); f != nil {
			families = append(families, f)
		}
	})
	slices.SortFunc(families, func(a, b *dto.MetricFamily) int { return strings.Compare(a.GetName(), b.GetName()) })
	var out bytes.Buffer
	for _, f := range families {
		if _, err := expfmt.MetricFamilyToText(&out, f); err != nil {
			return fmt.Errorf("admin: metrics: %w", err)
		}
	}
	c.Set(fiber.HeaderContentType, string(expfmt.NewFormat(expfmt.TypeTextPlain)))
	return c.Send(out.Bytes())
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
