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

// blockedWriter is an output whose writes block until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

// Write implements io.Writer.
func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(p)
}

// TestLoggingDoesNotBlockOnBlockedOutput logs more lines than the queue holds while the output
// blocks. Warnings must be kept when info lines are dropped, and the drops must be reported.
func TestLoggingDoesNotBlockOnBlockedOutput(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	sink := New(out)
	log := sink.Logger(logrus.InfoLevel)
	for range 20_000 {
		log.WithField("request", "ordinary").Info("answered")
	}
	for range 50 {
		log.WithField("request", "failed").Warn("refused")
	}
	if sink.Dropped() == 0 {
		t.Fatal("no line was dropped, want some")
	}
	close(out.release)
	sink.Close(time.Minute)
	text := out.written.String()
	if n := strings.Count(text, `"failed"`); n != 50 {
		t.Errorf("%d warnings were kept, want 50", n)
	}
	if !strings.Contains(text, "log lines dropped") {
		t.Error("no line reports the dropped lines")
	}
	if len(text) > 2*maxQueuedBytes {
		t.Errorf("%d bytes were kept, want at most %d", len(text), 2*maxQueuedBytes)
	}
}

// TestLinesAreWrittenCompletelyAndInOrder checks that queued lines are not mixed up or lost while
// the queue has space, and that logging after Close does not panic or block.
func TestLinesAreWrittenCompletelyAndInOrder(t *testing.T) {
	var out bytes.Buffer
	sink := New(&out)
	log := sink.Logger(logrus.InfoLevel)
	for n := range 500 {
		log.WithField("n", n).Info("line")
	}
	sink.Close(time.Minute)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 500 {
		t.Fatalf("got %d lines, want 500", len(lines))
	}
	for n, line := range lines {
		var got struct{ N int }
		if err := json.Unmarshal([]byte(line), &got); err != nil || got.N != n {
			t.Fatalf("line %d: got %s (error %v), want a JSON object with n = %d", n, line, err, n)
		}
	}
	log.Info("after the end")
}

// BenchmarkLine measures logging one line while the writer goroutine writes to memory.
func BenchmarkLine(b *testing.B) {
	sink := New(&bytes.Buffer{})
	log := sink.Logger(logrus.InfoLevel)
	b.ReportAllocs()
	for b.Loop() {
		log.WithFields(logrus.Fields{"request": "r", "server": "s", "risk": 0.1, "tookMillis": 12}).Info("answered")
	}
}
