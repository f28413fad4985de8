package belief

import (
	"math"
	"slices"
	"time"

	"bilberrymux/core/ident"
	"bilberrymux/core/roster"
)

// Report is the health of one server as daemons send it to each other. ID and StartMillis
// identify one run of the server, as in roster.Key.
type Report struct {
	ID          ident.ServerID `cbor:"1,keyasint"`
	StartMillis int64          `cbor:"2,keyasint"`
	// Risk is the probability, at the time of the newest evidence, that the server is sick,
	// multiplied by riskScale.
	Risk uint8 `cbor:"3,keyasint"`
	// AgeMillis is the age of the newest evidence in milliseconds. It is math.MaxUint32 if
	// there is no evidence.
	AgeMillis uint32 `cbor:"4,keyasint"`
	// Active is the number of in-flight attempts of the reporting daemon.
	Active uint8 `cbor:"5,keyasint,omitempty"`
}

// riskScale is the Risk of a Report that stands for a probability of 1.
const riskScale = 255

// Health classifies a server by its risk.
type Health string

// The classes of health.
const (
	Sick  Health = "sick"
	Sound Health = "sound"
)

// HealthOf returns the health of a server with the given risk, from 0 to 1.
func HealthOf(risk float64) Health {
	if risk >= sickThreshold {
		return Sick
	}
	return Sound
}

// SickProbability returns the reported probability, from 0 to 1, that the server is sick.
func (r *Report) SickProbability() float64 {
	return float64(r.Risk) / riskScale
}

// Reports returns the reports of servers that have evidence younger than maxAge or in-flight attempts, at most limit
// of them. Those that keep other daemons from sending requests in vain come first; other daemons have sent
// evidence that was heard from them to the whole zone.
func (t *Tracker) Reports(now time.Time, maxAge time.Duration, limit int) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	byRank := map[reportRank][]Report{}
	for key, s := range t.states {
		if (s.hasEvidence && now.Sub(s.evidenceAt) < maxAge) || len(s.active) > 0 {
			rank := s.rankOfReport(now)
			byRank[rank] = append(byRank[rank], s.report(now, key))
		}
	}
	out := slices.Concat(byRank[reportDoubtful], byRank[reportOwn], byRank[reportHeard])
	return out[:min(len(out), limit)]
}

// reportRank is the importance of a report.
type reportRank string

const (
	// reportDoubtful is for servers that have failed, by this daemon's evidence, or are being probed by it.
	reportDoubtful reportRank = "doubtful"
	// reportOwn is for other servers that this daemon uses.
	reportOwn reportRank = "own"
	// reportHeard is for evidence of other daemons.
	reportHeard reportRank = "heard"
)

func (s *state) rankOfReport(now time.Time) reportRank {
	switch {
	case s.heard && len(s.active) == 0:
		return reportHeard
	case s.isDoubtful(now):
		return reportDoubtful
	}
	return reportOwn
}

// Report returns the report of one server.
func (t *Tracker) Report(now time.Time, key roster.Key) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state(now, key).report(now, key)
}

func (s *state) report(now time.Time, key roster.Key) Report {
	r := Report{
		ID: key.ID, StartMillis: key.StartMillis, Risk: uint8(math.Round(s.risk * riskScale)),
		AgeMillis: math.MaxUint32, Active: uint8(min(s.inFlight(), math.MaxUint8)),
	}
	if s.hasEvidence {
		r.AgeMillis = uint32(min(max(now.Sub(s.evidenceAt).Milliseconds(), 0), math.MaxUint32))
	}
	return r
}

// Merge applies a report of another daemon. The risk is replaced only if the evidence of
// the report is newer. The number of in-flight attempts is stored if from is not empty.
// Reports of unknown servers are ignored. Merge reports whether the server changed between
// sound and sick.
func (t *Tracker) Merge(now time.Time, from ident.VMID, r Report) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.states[roster.Key{ID: r.ID, StartMillis: r.StartMillis}]
	if s == nil {
		return false
	}
	if from != "" {
		if s.remote == nil {
			s.remote = map[ident.VMID]remoteAttempts{}
		}
		s.remote[from] = remoteAttempts{int(r.Active), now}
	}
	if r.AgeMillis == math.MaxUint32 {
		return false
	}
	at := now.Add(-time.Duration(r.AgeMillis) * time.Millisecond)
	if s.hasEvidence && !at.After(s.evidenceAt) {
		return false
	}
	s.countReported(at, r.SickProbability())
	s.risk = min(max(r.SickProbability(), minRisk), maxRisk)
	s.evidenceAt, s.hasEvidence, s.heard = at, true, true
	health := HealthOf(s.risk)
	changed := health != s.health
	s.health = health
	return changed
}

// sameEvidenceTime is the time within which two reports may be about the same evidence, by the different
// durations of their transport.
const sameEvidenceTime = 100 * time.Millisecond

// countReported counts a failure, or a good response, that another daemon reports by newer evidence of
// the given time and risk. A higher risk stands for a failure.
func (s *state) countReported(at time.Time, risk float64) {
	before := s.riskAt(at)
	switch {
	case risk < before:
		s.failures = 0
	case risk >= suspectThreshold && at.Sub(s.evidenceAt) > sameEvidenceTime:
		s.failures++
	}
}

// suspectThreshold is the reported risk from which a server has failed.
const suspectThreshold = 0.15

// View is the health of one server as shown to operators.
type View struct {
	ID ident.ServerID `json:"id"`
	// Risk is the current probability, from 0 to 1, that the server is sick.
	Risk        float64 `json:"risk"`
	HasEvidence bool    `json:"tried"`
	// AgeMillis is the age of the newest evidence in milliseconds, or the time since the
	// server became known if there is no evidence.
	AgeMillis int64 `json:"ageMillis"`
	// Active is the number of in-flight attempts of this daemon.
	Active int `json:"active"`
	// Unreachable reports whether this daemon avoids the server after a failed connection.
	Unreachable bool `json:"unreachable"`
}

// Views returns the current view of each server, in no particular order.
func (t *Tracker) Views(now time.Time) []View {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]View, 0, len(t.states))
	for key, s := range t.states {
		out = append(out, View{
			ID: key.ID, Risk: s.riskAt(now), HasEvidence: s.hasEvidence, AgeMillis: now.Sub(s.evidenceAt).Milliseconds(),
			Active: len(s.active), Unreachable: now.Before(s.unreachableUntil),
		})
	}
	return out
}
