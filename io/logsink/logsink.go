// Package logsink writes structured log lines without blocking the goroutine that logs. Lines
// are queued for a single writer goroutine. The queue is bounded; if the output is too slow,
// lines below the warning level are dropped first, and a later line reports how many were dropped.
package logsink

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// maxQueuedBytes is the size of the queued lines from which on all lines are dropped.
	maxQueuedBytes = 512 << 10
	// maxQueuedInfoBytes is the size of the queued lines from which on lines below the warning
	// level are dropped.
	maxQueuedInfoBytes = 256 << 10
)

// maxQueuedLines is the maximum number of queued lines.
const maxQueuedLines = 8192

// Sink is a logrus formatter that also writes the lines to an output. It is safe for concurrent
// use.
type Sink struct {
	formatter logrus.Formatter
	// lines is the queue.
	lines chan []byte
	// queuedBytes is the total size of the queued lines.
	queuedBytes atomic.Int64
	out         io.Writer
	// closing is closed to make the writer goroutine write the queued lines and return. The
	// goroutine then closes writerDone.
	closing    chan struct{}
	writerDone chan struct{}
	closeOnce  sync.Once
	// dropped counts the dropped lines of each level since the last report of them.
	dropped [logrus.TraceLevel + 1]atomic.Int64
	// droppedTotal counts all lines dropped or not written since the start.
	droppedTotal atomic.Int64
}

// New returns a sink that writes JSON lines to out until Close is called.
func New(out io.Writer) *Sink {
	s := &Sink{
		formatter: &logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano},
		lines:     make(chan []byte, maxQueuedLines), out: out,
		closing: make(chan struct{}), writerDone: make(chan struct{}),
	}
	go s.writeLoop()
	return s
}

// Logger returns a logger with the given level that writes to the sink.
func (s *Sink) Logger(level logrus.Level) *logrus.Logger {
	l := logrus.New()
	l.SetLevel(level)
	l.SetFormatter(s)
	l.SetOutput(io.Discard)
	return l
}

// Format implements logrus.Formatter. It queues the line for the writer goroutine, or drops it if
// the queue is full, and returns no bytes, so that logrus itself writes nothing.
func (s *Sink) Format(e *logrus.Entry) ([]byte, error) {
	limit := int64(maxQueuedBytes)
	if e.Level > logrus.WarnLevel {
		limit = maxQueuedInfoBytes
	}
	if s.queuedBytes.Load() >= limit {
		s.countDropped(e.Level)
		return nil, nil
	}
	line, err := s.formatter.Format(e)
	if err != nil {
		return nil, fmt.Errorf("logsink: format line: %w", err)
	}
	// The formatter reuses its buffer for the next line.
	line = bytes.Clone(line)
	s.queuedBytes.Add(int64(len(line)))
	select {
	case s.lines <- line:
	default:
		s.queuedBytes.Add(-int64(len(line)))
		s.countDropped(e.Level)
	}
	return nil, nil
}

// countDropped counts a dropped line of the level.
func (s *Sink) countDropped(l logrus.Level) {
	s.dropped[l].Add(1)
	s.droppedTotal.Add(1)
}

// Dropped returns the number of lines that were dropped or could not be written so far.
func (s *Sink) Dropped() int64 {
	return s.droppedTotal.Load()
}

// writeLoop writes queued lines until the sink is closed.
func (s *Sink) writeLoop() {
	defer close(s.writerDone)
	for {
		select {
		case line := <-s.lines:
			s.writeLine(line)
		case <-s.closing:
			s.flush()
			return
		}
	}
}

// flush writes the lines that are queued now.
func (s *Sink) flush() {
	for {
		select {
		case line := <-s.lines:
			s.writeLine(line)
		default:
			return
		}
	}
}

// writeLine writes a line, followed by a report of dropped lines if there are any.
func (s *Sink) writeLine(line []byte) {
	// A write error, for instance because the reader closed the pipe, must not end the
	// process. The line is lost.
	if _, err := s.out.Write(line); err != nil {
		s.droppedTotal.Add(1)
	}
	s.queuedBytes.Add(-int64(len(line)))
	s.reportDropped()
}

// reportDropped writes a line for each level with the number of lines dropped since the last
// report, if any.
func (s *Sink) reportDropped() {
	for level := range s.dropped {
		n := s.dropped[level].Swap(0)
		if n == 0 {
			continue
		}
		line, err := s.formatter.Format(&logrus.Entry{
			Logger: logrus.StandardLogger(), Level: logrus.WarnLevel, Time: time.Now(), Message: "log lines dropped",
			Data: logrus.Fields{"lines": n, "of": logrus.Level(level).String()},
		})
		if err != nil {
			continue
		}
		if _, err := s.out.Write(line); err != nil {
			s.droppedTotal.Add(1)
		}
	}
}

// Close writes the queued lines and waits at most for the timeout until they are written. Lines
// logged later are lost.
func (s *Sink) Close(timeout time.Duration) {
	s.closeOnce.Do(func() { close(s.closing) })
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-s.writerDone:
	case <-timer.C:
	}
}
