package detect_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"bilberrymux/core/detect"
)

// newCUSUM returns a CUSUM detector with the given false alarm rate.
func newCUSUM(t *testing.T, rate float64) *detect.Detector {
	t.Helper()
	newDetector, err := detect.Detectors.Get("cusum")
	if err != nil {
		t.Fatal(err)
	}
	return newDetector(detect.Options{FalseAlarmRate: rate})
}

// TestAlarmWithinTenFailures checks the design goal that a server on which every
// request fails raises an alarm within 10 requests.
func TestAlarmWithinTenFailures(t *testing.T) {
	for _, rate := range []float64{1e-6, 1e-9} {
		d := newCUSUM(t, rate)
		n := 0
		for d.Alarm() == detect.NoCause {
			d.Observe(detect.Observation{Class: detect.Failed}, detect.Baseline{})
			n++
		}
		if n > 10 {
			t.Errorf("false alarm rate %g: alarm after %d failed requests, want at most 10", rate, n)
		}
	}
}

// TestNoFalseAlarmAtOnePercentFailures observes 1,000,000 requests, 1% of which fail
// at random on the server and on its peers alike.
func TestNoFalseAlarmAtOnePercentFailures(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	d := newCUSUM(t, 1e-9)
	for range 1_000_000 {
		class := detect.Success
		if r.Float64() < 0.01 {
			class = detect.Failed
		}
		d.Observe(detect.Observation{Class: class}, detect.Baseline{FailureRate: 0.01})
		if d.Alarm() != detect.NoCause {
			t.Fatal("alarm at a failure rate of 1%, want none")
		}
	}
}

// TestNoAlarmAtPeerFailureRate checks that a server raises no alarm when it fails as
// often as its peers.
func TestNoAlarmAtPeerFailureRate(t *testing.T) {
	r := rand.New(rand.NewPCG(2, 1))
	d := newCUSUM(t, 1e-6)
	for range 100_000 {
		class := detect.Success
		if r.Float64() < 0.2 {
			class = detect.Failed
		}
		d.Observe(detect.Observation{Class: class}, detect.Baseline{FailureRate: 0.2})
		if d.Alarm() != detect.NoCause {
			t.Fatal("alarm at the failure rate of the peers, want none")
		}
	}
}

// TestSingleSlowAttemptRaisesNoAlarm checks that one attempt alone raises no alarm,
// however far it exceeds the slow limit, since each further doubling adds only a
// bounded amount of evidence.
func TestSingleSlowAttemptRaisesNoAlarm(t *testing.T) {
	d := newCUSUM(t, 1e-6)
	for doublings := range 6 {
		d.Observe(detect.Observation{Class: detect.Slow, Doublings: doublings}, detect.Baseline{})
	}
	if d.Alarm() != detect.NoCause {
		t.Fatal("a single slow attempt raised an alarm, want none")
	}
}

// TestColdServerSlownessIsIgnored checks that slow attempts on a recently started
// server are no evidence against it.
func TestColdServerSlownessIsIgnored(t *testing.T) {
	d := newCUSUM(t, 1e-6)
	for range 100 {
		d.Observe(detect.Observation{Class: detect.Slow, Answered: true, Cold: true}, detect.Baseline{})
	}
	if d.Suspicion() != 0 {
		t.Fatalf("suspicion %g after slow attempts on a cold server, want 0", d.Suspicion())
	}
}

// TestQuantilesConverge checks the estimates for latencies that are uniformly
// distributed between 0 and 100 ms.
func TestQuantilesConverge(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 1))
	q := detect.NewQuantiles(0.95)
	for range 20_000 {
		q.Add(time.Duration(r.Float64() * float64(100*time.Millisecond)))
	}
	if m := q.Median(); m < 42*time.Millisecond || m > 58*time.Millisecond {
		t.Errorf("median %v, want 42 to 58 ms", m)
	}
	if h := q.High(); h < 88*time.Millisecond || h > 102*time.Millisecond {
		t.Errorf("high quantile %v, want 88 to 102 ms", h)
	}
}
