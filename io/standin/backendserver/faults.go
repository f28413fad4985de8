package backendserver

import "time"

// Faults configures the faults that a server injects. The zero value injects none.
type Faults struct {
	// FailFraction is the fraction of requests, from 0 to 1, that are answered with status 500
	// after they ran.
	FailFraction float64 `json:"failPart,omitempty"`
	// SlowFactor multiplies the processing time of requests. Zero means 1.
	SlowFactor float64 `json:"slowFactor,omitempty"`
	// Hang holds requests until their deadline and then aborts the connection. Requests without a
	// deadline are answered after maxHang. Health checks are answered as usual.
	Hang bool `json:"hang,omitempty"`
	// Silent turns the connections that are open when the faults are set into black holes: they
	// stay open, but discard all data in both directions.
	Silent bool `json:"silent,omitempty"`
	// ShedAll sheds every request regardless of the load.
	ShedAll bool `json:"shedAll,omitempty"`
	// Draining makes the server announce a shutdown and reject new requests as not run.
	Draining bool `json:"draining,omitempty"`
	// FlapMillis switches the other faults, except Draining and CrashOn, on and off. Each on and
	// each off phase takes this many milliseconds. Zero leaves the faults on.
	FlapMillis int `json:"flapMillis,omitempty"`
	// DownMillis crashes the server at once and restarts it after this many milliseconds.
	DownMillis int `json:"deadMillis,omitempty"`
	// CrashOn is a substring: a request whose body contains it crashes the server. Empty disables
	// it.
	CrashOn string `json:"crashOn,omitempty"`
	// CrashMillis is the time, in milliseconds, after which a server crashed by CrashOn restarts.
	CrashMillis int `json:"crashMillis,omitempty"`
	// TruncateFraction is the fraction of answers, from 0 to 1, whose body is cut off halfway.
	TruncateFraction float64 `json:"truncatePart,omitempty"`
	// UnhealthyProbe makes health checks report the server as unhealthy. Without it, they report
	// healthy regardless of the other faults.
	UnhealthyProbe bool `json:"sickProbe,omitempty"`
	// RepeatResponses writes the previous response of a connection once more, after the next request has arrived
	// and before its own response.
	RepeatResponses bool `json:"repeatAnswers,omitempty"`
	// NoAttemptIDs leaves out of the responses the ID of the attempt that they answer.
	NoAttemptIDs bool `json:"noAttemptIds,omitempty"`
	// HeadCase is the name of a response of internal/headcases, which is written in place of each successful response,
	// also of those to health checks. The connection ends after it.
	HeadCase string `json:"headCase,omitempty"`
	// ReportedLoad overrides the load in health reports, in requests in flight.
	ReportedLoad *int `json:"reportLoad,omitempty"`
}

// active reports whether the faults apply at a time: always without flapping, otherwise in every
// other phase, counted from the time at which the faults were set.
func (f *Faults) active(now, faultsSet time.Time) bool {
	if f.FlapMillis <= 0 {
		return true
	}
	period := time.Duration(f.FlapMillis) * time.Millisecond
	return (now.Sub(faultsSet)/period)%2 == 0
}

// at returns the faults that apply at a time.
func (f *Faults) at(now, faultsSet time.Time) Faults {
	if f.active(now, faultsSet) {
		return *f
	}
	return Faults{Draining: f.Draining, CrashOn: f.CrashOn, CrashMillis: f.CrashMillis}
}
