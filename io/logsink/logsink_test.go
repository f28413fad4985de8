package logsink

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// stuck is an output that nobody reads until it is released.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

// Write implements io.Writer.
func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

// TestNobodyWaitsForAStuckReader logs far more than fits while nothing is read.
// Failures must be kept longer than ordinary lines, and the loss must be told.
func TestNobodyWaitsForAStuckReader(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
	sink := New(out)
	log := sink.Logger(logrus.InfoLevel)
	for range 20_000 {
		log.WithField("request", "ordinary").Info("answered")
	}
	for range 50 {
		log.WithField("request", "failed").Warn("refused")
	}
	if sink.Dropped() == 0 {
		t.Fatal("nothing was dropped")
	}
	close(out.release)
	sink.Close(time.Minute)
	text := out.got.String()
	if n := strings.Count(text, `"failed"`); n != 50 {
		t.Errorf("%d of 50 failures were kept", n)
	}
	if !strings.Contains(text, "log lines dropped") {
		t.Error("the loss is not told")
	}
	if len(text) > 2*bufferBytes {
		t.Errorf("%d bytes were kept", len(text))
	}
}

func TestLinesStayWhole(t *testing.T) {
	var out bytes.Buffer
	sink := New(&out)
	log := sink.Logger(logrus.InfoLevel)
	for n := range 500 {
		log.WithField("n", n).Info("line")
	}
	sink.Close(time.Minute)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 500 {
		t.Fatalf("%d lines", len(lines))
	}
	for n, line := range lines {
		var got struct{ N int }
		if err := json.Unmarshal([]byte(line), &got); err != nil || got.N != n {
			t.Fatalf("line %d: %s: %v", n, line, err)
		}
	}
	log.Info("after the end")
}

func BenchmarkLine(b *testing.B) {
	sink := New(&bytes.Buffer{})
	log := sink.Logger(logrus.InfoLevel)
	b.ReportAllocs()
	for b.Loop() {
		log.WithFields(logrus.Fields{"request": "r", "server": "s", "risk": 0.1, "tookMillis": 12}).Info("answered")
	}
}
