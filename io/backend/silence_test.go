package backend

import (
	"context"
	"math"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"bilberrymux/core/bytebudget"
	"bilberrymux/core/shard"
	"bilberrymux/internal/silentconn"
)

func TestOneUnansweredRequestEndsAllSilentConnectionsToServer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		time.Sleep(50 * time.Millisecond)
		ctx.Response.Header.SetBytesV(AttemptIDHeader, ctx.Request.Header.Peek(AttemptIDHeader))
	}}
	go func() { _ = server.Serve(l) }()
	defer l.Close()
	dialer := &silentconn.Dialer{}
	c := New(ClientOptions{Dial: dialer.Dial, Buffers: bytebudget.New(math.MaxInt64)})
	do := func(limit time.Duration) shard.Outcome {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		req := &fasthttp.Request{}
		req.SetRequestURI("http://server/")
		_, outcome, _ := c.Do(ctx, l.Addr().String(), req, Options{})
		return outcome
	}
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			if o := do(10 * time.Second); o != shard.Good {
				t.Errorf("outcome before the silence: %s", o)
			}
		})
	}
	wg.Wait()
	dialer.Silence()
	if o := do(200 * time.Millisecond); o != shard.SilentConnection {
		t.Errorf("first request after the silence: got %s, want %s", o, shard.SilentConnection)
	}
	if o := do(2 * time.Second); o != shard.Good {
		t.Errorf("second request after the silence: got %s, want %s", o, shard.Good)
	}
}
