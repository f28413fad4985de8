package detect_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"bilberrymux/core/detect"
)

func cusum(t *testing.T, rate float64) *detect.Detector {
	t.Helper()
	newDetector, err := detect.Detectors.Get("cusum")
	if err != nil {
		t.Fatal(err)
	}
	return newDetector(detect.Options{FalseAlarmRate: rate})
}

// TestFailsAllWithinTenRequests is the stated goal for a server that fails all
// its work.
func TestFailsAllWithinTenRequests(t *testing.T) {
	for _, rate := range []float64{1e-6, 1e-9} {
		d := cusum(t, rate)
		n := 0
		for d.Alarm() == detect.NoCause {
			d.Observe(detect.Observation{Class: detect.Failed}, detect.Baseline{})
			n++
		}
		if n > 10 {
			t.Errorf("rate %g: %d requests to the alarm, goal is 10", rate, n)
		}
	}
}

// TestNoFalseAlarmAtOnePercent sends 1,000,000 requests with 1% random errors.
func TestNoFalseAlarmAtOnePercent(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	d := cusum(t, 1e-9)
	for range 1_000_000 {
		class := detect.Success
		if r.Float64() < 0.01 {
			class = detect.Failed
		}
		d.Observe(detect.Observation{Class: class}, detect.Baseline{FailureRate: 0.01})
		if d.Alarm() != detect.NoCause {
			t.Fatal("false alarm")
		}
	}
}

// TestPeersExcuse does not blame a server for what its peers do as well.
func TestPeersExcuse(t *testing.T) {
	r := rand.New(rand.NewPCG(2, 1))
	d := cusum(t, 1e-6)
	for range 100_000 {
		class := detect.Success
		if r.Float64() < 0.2 {
			class = detect.Failed
		}
		d.Observe(detect.Observation{Class: class}, detect.Baseline{FailureRate: 0.2})
		if d.Alarm() != detect.NoCause {
			t.Fatal("alarm at the peers' own failure rate")
		}
	}
}

// TestOneAttemptNeverSuffices lets one attempt be late beyond all measure.
func TestOneAttemptNeverSuffices(t *testing.T) {
	d := cusum(t, 1e-6)
	for depth := range 6 {
		d.Observe(detect.Observation{Class: detect.Slow, Doublings: depth}, detect.Baseline{})
	}
	if d.Alarm() != detect.NoCause {
		t.Fatal("a single late attempt raised the alarm")
	}
}

// TestColdServersMayBeSlow keeps slowness of a started server out of evidence.
func TestColdServersMayBeSlow(t *testing.T) {
	d := cusum(t, 1e-6)
	for range 100 {
		d.Observe(detect.Observation{Class: detect.Slow, Answered: true, Cold: true}, detect.Baseline{})
	}
	if d.Suspicion() != 0 {
		t.Fatalf("suspicion %g against a cold server", d.Suspicion())
	}
}

// TestQuantilesFollow follows the median and the high quantile of latencies
// drawn evenly from 0 to 100 ms.
func TestQuantilesFollow(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 1))
	q := detect.NewQuantiles(0.95)
	for range 20_000 {
		q.Add(time.Duration(r.Float64() * float64(100*time.Millisecond)))
	}
	if m := q.Median(); m < 42*time.Millisecond || m > 58*time.Millisecond {
		t.Errorf("median %v, want about 50 ms", m)
	}
	if h := q.High(); h < 88*time.Millisecond || h > 102*time.Millisecond {
		t.Errorf("high quantile %v, want about 95 ms", h)
	}
}
