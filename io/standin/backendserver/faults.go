package backendserver

import "time"

// Faults are the present faults of one server.
type Faults struct {
	// FailFraction is the part of real work that is answered with status 500.
	FailFraction float64 `json:"failPart,omitempty"`
	// SlowFactor multiplies the time of real work. Zero stands for 1.
	SlowFactor float64 `json:"slowFactor,omitempty"`
	// Hang never answers real work.
	Hang bool `json:"hang,omitempty"`
	// Silent makes connections that are open now swallow everything.
	Silent bool `json:"silent,omitempty"`
	// ShedAll sheds all work whatever the load.
	ShedAll bool `json:"shedAll,omitempty"`
	// Draining says that the server stops soon; it runs nothing new.
	Draining bool `json:"draining,omitempty"`
	// FlapMillis switches the other faults on and off with this period.
	FlapMillis int `json:"flapMillis,omitempty"`
	// DownMillis kills the server at once, for so long.
	DownMillis int `json:"deadMillis,omitempty"`
	// CrashOn is a piece of a body that kills the server that runs it.
	CrashOn string `json:"crashOn,omitempty"`
	// CrashMillis is how long a crashed server stays dead.
	CrashMillis int `json:"crashMillis,omitempty"`
	// TruncateFraction is the part of answers that are cut in the middle.
	TruncateFraction float64 `json:"truncatePart,omitempty"`
	// UnhealthyProbe makes the health report bad as well. Without it, probes stay
	// green whatever else is wrong.
	UnhealthyProbe bool `json:"sickProbe,omitempty"`
	// ReportedLoad overrides the load that the health report shows.
	ReportedLoad *int `json:"reportLoad,omitempty"`
}

// active reports whether a flapping server is in its sick half.
func (f *Faults) active(now, since time.Time) bool {
	if f.FlapMillis <= 0 {
		return true
	}
	period := time.Duration(f.FlapMillis) * time.Millisecond
	return (now.Sub(since)/period)%2 == 0
}

// at returns the faults that are in force at a time.
func (f *Faults) at(now, since time.Time) Faults {
	if f.active(now, since) {
		return *f
	}
	return Faults{Draining: f.Draining, CrashOn: f.CrashOn, CrashMillis: f.CrashMillis}
}
