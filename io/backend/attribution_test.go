package backend_test

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"

	"bilberrymux/core/bytebudget"
	"bilberrymux/internal/copyserver"
	"bilberrymux/io/backend"
)

// identification says how servers name the request of a response.
type identification string

const (
	// byRequestID means by the id of the caller's request, which several requests may share.
	byRequestID identification = "requestID"
	// byAttemptID means by the id that the client gives to each attempt.
	byAttemptID identification = "attemptID"
	// byConnection means that responses name no request.
	byConnection identification = "connection"
)

const requestIDHeader = "X-Request-Id"

// answersLarge is an answer that is larger than the client's buffer.
const answersLarge copyserver.Own = "answersLarge"

// largePadding is the number of bytes before the text of a large answer.
const largePadding = 300 << 10

// newCopyServer returns a server whose responses name their requests as given. Their bodies name the steps.
func newCopyServer(how identification, steps []copyserver.Step) *copyserver.Server {
	return &copyserver.Server{Steps: steps, Response: func(n int, req *fasthttp.Request) string {
		name, status, body := "", "200 OK\r\n", stepText(n)
		switch how {
		case byRequestID:
			name = requestIDHeader + ": " + string(req.Header.Peek(requestIDHeader)) + "\r\n"
		case byAttemptID:
			name = backend.AttemptIDHeader + ": " + string(req.Header.Peek(backend.AttemptIDHeader)) + "\r\n"
		case byConnection:
		}
		switch steps[n].Own {
		case copyserver.Refuses:
			status = "503 Service Unavailable\r\n" + backend.NotRunHeader + ": " + backend.ShedValue + "\r\n"
		case answersLarge:
			body = strings.Repeat("x", largePadding) + body
		default:
		}
		return fmt.Sprintf("HTTP/1.1 %s%sContent-Length: %d\r\n\r\n%s", status, name, len(body), body)
	}}
}

func stepText(n int) string { return fmt.Sprint("step ", n) }

// stepTimeout is the time that the client has for one exchange.
const stepTimeout = copyserver.Delay / 2

// stepOptions returns the options of an exchange of a request with an id.
func stepOptions(how identification, id string) backend.Options {
	if how != byRequestID {
		return backend.Options{}
	}
	return backend.Options{Identity: &backend.Identity{ID: id, Of: func(h *fasthttp.ResponseHeader) []string {
		return []string{string(h.Peek(requestIDHeader))}
	}}}
}

// exchangeSteps performs the steps, at most the given number at a time. It returns the steps that were answered, a
// description of each answer that belongs to another step, and the number of connections.
func exchangeSteps(how identification, steps []copyserver.Step, concurrent int) (answered []bool, mistakes []string, connections int) {
	server := newCopyServer(how, steps)
	answered, mistakes = make([]bool, len(steps)), make([]string, len(steps))
	client := backend.New(backend.ClientOptions{Dial: server.Dial, Buffers: bytebudget.New(math.MaxInt64)})
	free := make(chan struct{}, concurrent)
	var wg sync.WaitGroup
	for n, step := range steps {
		free <- struct{}{}
		wg.Go(func() {
			defer func() { <-free }()
			ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
			defer cancel()
			req := &fasthttp.Request{}
			req.SetRequestURI("http://server/")
			req.Header.Set(copyserver.StepHeader, strconv.Itoa(n))
			req.Header.Set(requestIDHeader, strconv.Itoa(step.ID))
			answer, outcome, _ := client.Do(ctx, "server:1", req, stepOptions(how, strconv.Itoa(step.ID)))
			if answer == nil {
				return
			}
			answered[n] = true
			if got := strings.TrimLeft(bodyOf(answer), "x"); got != stepText(n) {
				mistakes[n] = fmt.Sprintf("%+v: step %d ended as %s by the response to %q", steps, n, outcome, got)
			}
		})
	}
	wg.Wait()
	client.Expire(time.Now().Add(time.Hour))
	// Servers that are late end as well.
	time.Sleep(2 * copyserver.Delay)
	mistakes = slices.DeleteFunc(mistakes, func(m string) bool { return m == "" })
	return answered, mistakes, server.Connections()
}

// bodyOf returns the body of an answer, or the error of reading it.
func bodyOf(a *backend.Answer) string {
	if !a.Streamed {
		return string(a.Response.Body())
	}
	defer a.Discard()
	body, err := io.ReadAll(a.Response.BodyStream())
	if err != nil {
		return err.Error()
	}
	return string(body)
}

// reportMistakes reports the number of mistakes, and some of them.
func reportMistakes(t *testing.T, mistakes []string) {
	t.Helper()
	if len(mistakes) > 0 {
		t.Errorf("%d mistakes, among them:\n%s", len(mistakes), strings.Join(mistakes[:min(5, len(mistakes))], "\n"))
	}
}

// TestEverySequenceOfResponsesMeetsItsOwnAttempt guards against an answer that is taken for that of another attempt:
// three exchanges with two request ids, with responses that are doubled, late, missing or copied in every order.
func TestEverySequenceOfResponsesMeetsItsOwnAttempt(t *testing.T) {
	ways := []copyserver.Own{copyserver.Answers, copyserver.Refuses, copyserver.IsLate, copyserver.Closes}
	for _, how := range []identification{byRequestID, byAttemptID, byConnection} {
		t.Run(string(how), func(t *testing.T) {
			t.Parallel()
			sequences, connections := 0, 0
			var wrong []string
			for steps := range copyserver.Sequences(ways) {
				synctest.Test(t, func(*testing.T) {
					answered, mistakes, opened := exchangeSteps(how, steps, 1)
					connections += opened
					wrong = append(wrong, mistakes...)
					last := len(steps) - 1
					if copyserver.IsPlain(steps) && answered[last] != (steps[last].Own == copyserver.Answers || steps[last].Own == copyserver.Refuses) {
						wrong = append(wrong, fmt.Sprintf("%+v: answered: %v, though no response was doubled or copied", steps, answered))
					}
				})
				sequences++
			}
			reportMistakes(t, wrong)
			t.Logf("%d sequences, %d connections", sequences, connections)
		})
	}
}

// randomSteps returns a sequence of steps that a seed determines.
func randomSteps(seed uint64, length int) []copyserver.Step {
	ways := []copyserver.Own{copyserver.Answers, copyserver.Answers, answersLarge, copyserver.Refuses, copyserver.Refuses, copyserver.IsLate, copyserver.Closes}
	copies := []copyserver.Copied{copyserver.NoCopy, copyserver.NoCopy, copyserver.CopyOfFirst, copyserver.CopyOfLast}
	r := rand.New(rand.NewPCG(43, seed))
	steps := make([]copyserver.Step, length)
	for n := range steps {
		steps[n] = copyserver.Step{ID: r.IntN(4), Own: ways[r.IntN(len(ways))], Before: copies[r.IntN(len(copies))], Twice: r.IntN(8) == 0}
	}
	return steps
}

// TestConcurrentExchangesMeetTheirOwnResponses guards against the same for longer random sequences with several
// exchanges at a time, and answers that are streamed.
func TestConcurrentExchangesMeetTheirOwnResponses(t *testing.T) {
	const runs, length, concurrent = 200, 24, 3
	for _, how := range []identification{byRequestID, byAttemptID, byConnection} {
		t.Run(string(how), func(t *testing.T) {
			t.Parallel()
			total, connections := 0, 0
			var wrong []string
			for seed := range uint64(runs) {
				synctest.Test(t, func(*testing.T) {
					answered, mistakes, opened := exchangeSteps(how, randomSteps(seed, length), concurrent)
					connections += opened
					wrong = append(wrong, mistakes...)
					for _, ok := range answered {
						if ok {
							total++
						}
					}
				})
			}
			reportMistakes(t, wrong)
			t.Logf("%d of %d exchanges were answered, %d connections", total, runs*length, connections)
		})
	}
}

// TestConnectionsEndAfterManyExchanges guards against connections whose IDs take memory without bound.
func TestConnectionsEndAfterManyExchanges(t *testing.T) {
	const exchanges, connections = 2500, 3
	steps := make([]copyserver.Step, exchanges)
	for n := range steps {
		steps[n] = copyserver.Step{ID: n, Own: copyserver.Answers, Before: copyserver.NoCopy}
	}
	synctest.Test(t, func(t *testing.T) {
		answered, mistakes, opened := exchangeSteps(byRequestID, steps, 1)
		reportMistakes(t, mistakes)
		if slices.Contains(answered, false) || opened != connections {
			t.Errorf("%d connections for %d exchanges, want %d and all answered", opened, exchanges, connections)
		}
	})
}
