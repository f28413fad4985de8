// Package logsink writes structured log lines without ever holding back the
// goroutine that logs. Lines wait in a bounded buffer for one writer; under
// pressure lines about ordinary events are dropped first, and a later line says
// how many.
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

// bufferBytes bounds the lines that wait, and ordinaryBytes those among them
// below the level of a warning.
const (
	bufferBytes   = 512 << 10
	ordinaryBytes = 256 << 10
)

// maxLines bounds the number of lines that wait.
const maxLines = 8192

// Sink is a logrus formatter and output in one. It is safe for concurrent use.
type Sink struct {
	format logrus.Formatter
	lines  chan []byte
	bytes  atomic.Int64
	out    io.Writer
	// ended asks the writer to write what waits and end; done is its reply.
	ended chan struct{}
	done  chan struct{}
	once  sync.Once
	// dropped counts lines by level since the last report of them.
	dropped [logrus.TraceLevel + 1]atomic.Int64
	total   atomic.Int64
}

// New returns a sink that writes JSON lines to out until Close.
func New(out io.Writer) *Sink {
	s := &Sink{
		format: &logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano},
		lines:  make(chan []byte, maxLines), out: out,
		ended: make(chan struct{}), done: make(chan struct{}),
	}
	go s.write()
	return s
}

// Logger returns a logger of the given level that writes to the sink.
func (s *Sink) Logger(level logrus.Level) *logrus.Logger {
	l := logrus.New()
	l.SetLevel(level)
	l.SetFormatter(s)
	l.SetOutput(io.Discard)
	return l
}

// Format implements logrus.Formatter. It hands the line to the writer and
// returns nothing for logrus to write.
func (s *Sink) Format(e *logrus.Entry) ([]byte, error) {
	limit := int64(bufferBytes)
	if e.Level > logrus.WarnLevel {
		limit = ordinaryBytes
	}
	if s.bytes.Load() >= limit {
		s.drop(e.Level)
		return nil, nil
	}
	line, err := s.format.Format(e)
	if err != nil {
		return nil, fmt.Errorf("logsink: %w", err)
	}
	// The formatter's buffer is used again for the next line.
	line = bytes.Clone(line)
	s.bytes.Add(int64(len(line)))
	select {
	case s.lines <- line:
	default:
		s.bytes.Add(-int64(len(line)))
		s.drop(e.Level)
	}
	return nil, nil
}

func (s *Sink) drop(l logrus.Level) {
	s.dropped[l].Add(1)
	s.total.Add(1)
}

// Dropped returns the number of lines that were dropped so far.
func (s *Sink) Dropped() int64 {
	return s.total.Load()
}

func (s *Sink) write() {
	defer close(s.done)
	for {
		select {
		case line := <-s.lines:
			s.put(line)
		case <-s.ended:
			s.flush()
			return
		}
	}
}

// flush writes the lines that wait.
func (s *Sink) flush() {
	for {
		select {
		case line := <-s.lines:
			s.put(line)
		default:
			return
		}
	}
}

func (s *Sink) put(line []byte) {
	// A reader that is gone must not end the process; its lines are lost.
	if _, err := s.out.Write(line); err != nil {
		s.total.Add(1)
	}
	s.bytes.Add(-int64(len(line)))
	s.report()
}

// report writes how many lines were dropped since the last report.
func (s *Sink) report() {
	for level := range s.dropped {
		n := s.dropped[level].Swap(0)
		if n == 0 {
			continue
		}
		line, err := s.format.Format(&logrus.Entry{
			Logger: logrus.StandardLogger(), Level: logrus.WarnLevel, Time: time.Now(), Message: "log lines dropped",
			Data: logrus.Fields{"lines": n, "of": logrus.Level(level).String()},
		})
		if err != nil {
			continue
		}
		if _, err := s.out.Write(line); err != nil {
			s.total.Add(1)
		}
	}
}

// Close writes the lines that wait, for at most the timeout. Later lines are
// lost.
func (s *Sink) Close(timeout time.Duration) {
	s.once.Do(func() { close(s.ended) })
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-s.done:
	case <-timer.C:
	}
}
