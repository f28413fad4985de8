// Command gray makes one backend server fail every request while its health checks still succeed, as
// in a gray failure, and prints the state changes that follow and the share of requests answered in
// time.
package main

import (
	"context"
	"fmt"
	"log"
	"time"

	"bilberrymux/core/ident"
	"bilberrymux/examples/internal/small"
	"bilberrymux/io/dispatch"
	"bilberrymux/io/standin/backendserver"
	"bilberrymux/io/standin/fleet"
	"bilberrymux/io/standin/load"
)

func main() {
	f, err := small.Start()
	if err != nil {
		log.Fatal(err)
	}
	defer f.Stop()
	l := load.New(load.Options{Entries: f.Entries(), Seed: 1, Streams: []load.Stream{
		{Name: "reads", Rank: ident.Normal, Method: "GET", Path: "/orders", Rate: 200, DeadlineMillis: 2000},
	}})
	ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
	defer cancel()
	time.AfterFunc(time.Second, func() {
		f.Servers["orders"]["orders-north-1"].SetFaults(backendserver.Faults{FailFraction: 1})
		fmt.Println("1.0 s: orders-north-1 turns gray")
	})
	time.AfterFunc(4*time.Second, func() {
		f.Servers["orders"]["orders-north-1"].SetFaults(backendserver.Faults{})
		fmt.Println("4.0 s: orders-north-1 is sound again")
	})
	go printStateChanges(ctx, f)
	l.Run(ctx)
	r := l.Report()[1]
	fmt.Printf("%d requests, %.2f%% answered in time\n", r.Sent, 100*r.InTime)
}

// printStateChanges prints each change of the state of server orders-north-1, as seen by the daemon
// that owns its shard, until ctx ends. It polls every 10 ms.
func printStateChanges(ctx context.Context, f *fleet.Fleet) {
	begin, lastState := time.Now(), ""
	for ctx.Err() == nil {
		for _, d := range f.Daemons {
			d.Shards().Each(func(_ ident.ShardID, owned bool, dispatcher *dispatch.Dispatcher) {
				for _, s := range dispatcher.Shard.View().Servers {
					if owned && s.ID == "orders-north-1" && string(s.State) != lastState {
						lastState = string(s.State)
						fmt.Printf("%.1f s: %s is %s %s\n", time.Since(begin).Seconds(), s.ID, s.State, s.Cause)
					}
				}
			})
		}
		time.Sleep(10 * time.Millisecond)
	}
}
