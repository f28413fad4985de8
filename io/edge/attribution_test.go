package edge

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"

	"bilberrymux/core/belief"
	"bilberrymux/core/bytebudget"
	"bilberrymux/internal/copyserver"
	"bilberrymux/io/backend"
)

// Further behaviours of the servers: refusals of a request that is not for them, or without the request's id.
const (
	misdirects         copyserver.Own = "misdirects"
	refusesAnonymously copyserver.Own = "refusesAnonymously"
)

// notRunBy reports whether a server with this behaviour has not run the request, and says so plainly.
func notRunBy(own copyserver.Own) bool {
	return own == copyserver.Refuses || own == misdirects
}

// responseText returns the response of a server to the request of a step.
func responseText(steps []copyserver.Step) func(n int, req *fasthttp.Request) string {
	return func(n int, req *fasthttp.Request) string {
		id := "Bilberrymux-Request-Id: " + string(req.Header.Peek("Bilberrymux-Request-Id")) + "\r\n"
		switch steps[n].Own {
		case copyserver.Refuses:
			return "HTTP/1.1 503 Service Unavailable\r\n" + id + "Bilberrymux-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
		case misdirects:
			return "HTTP/1.1 421 Misdirected Request\r\n" + id + "Content-Length: 0\r\n\r\n"
		case refusesAnonymously:
			return "HTTP/1.1 503 Service Unavailable\r\nBilberrymux-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
		default:
			return "HTTP/1.1 200 OK\r\n" + id + "Bilberrymux-Response-Signature: s\r\nContent-Length: 2\r\n\r\nok"
		}
	}
}

// exchangeInOrder performs the steps one after the other, with pooled connections, and returns the outcomes.
func exchangeInOrder(steps []copyserver.Step) []belief.Outcome {
	server := &copyserver.Server{Steps: steps, Response: responseText(steps)}
	e := &Edge{backend: backend.New(backend.ClientOptions{Dial: server.Dial, Buffers: bytebudget.New(math.MaxInt64)})}
	var outcomes []belief.Outcome
	for n, step := range steps {
		ctx, cancel := context.WithTimeout(context.Background(), copyserver.Delay/2)
		req := &fasthttp.Request{}
		req.SetRequestURI("http://server/")
		req.Header.SetMethod(http.MethodPost)
		id := fmt.Sprint("id-", step.ID)
		req.Header.Set("Bilberrymux-Request-Id", id)
		req.Header.Set(copyserver.StepHeader, strconv.Itoa(n))
		answer, outcome, _, _ := e.exchange(ctx, "server:1", req, id, true)
		cancel()
		if answer != nil {
			answer.Discard()
		}
		outcomes = append(outcomes, outcome)
	}
	e.backend.Expire(time.Now().Add(time.Hour))
	time.Sleep(2 * copyserver.Delay)
	return outcomes
}

// TestEverySequenceOfResponsesKeepsPromises guards against an attempt that ran and counts as not run, whatever responses
// to other attempts come on its connection, and whether or not those have the same id.
func TestEverySequenceOfResponsesKeepsPromises(t *testing.T) {
	ways := []copyserver.Own{copyserver.Answers, copyserver.Refuses, misdirects, refusesAnonymously, copyserver.IsLate, copyserver.Closes}
	sequences := slices.Collect(copyserver.Sequences(ways))
	const shards = 8
	for shard := range shards {
		t.Run(strconv.Itoa(shard), func(t *testing.T) {
			t.Parallel()
			var wrong []string
			for i := shard; i < len(sequences); i += shards {
				steps := sequences[i]
				synctest.Test(t, func(*testing.T) {
					for n, got := range exchangeInOrder(steps) {
						notRun := notRunBy(steps[n].Own)
						if provesNotRun(got) && !notRun || copyserver.IsPlain(steps) && provesNotRun(got) != notRun {
							wrong = append(wrong, fmt.Sprintf("%+v: step %d ended as %s", steps, n, got))
						}
					}
				})
			}
			if len(wrong) > 0 {
				t.Errorf("%d of %d sequences, among them:\n%s", len(wrong), len(sequences)/shards, strings.Join(wrong[:min(3, len(wrong))], "\n"))
			}
		})
	}
}
