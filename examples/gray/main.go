// Command gray lets one backend server fail all its work while its health checks
// stay green, and prints what happens to it.
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
	go watch(ctx, f)
	l.Run(ctx)
	r := l.Report()[1]
	fmt.Printf("%d requests, %.2f%% answered in time\n", r.Sent, 100*r.InTime)
}

// watch prints the states of the server as they change.
func watch(ctx context.Context, f *fleet.Fleet) {
	begin, last := time.Now(), ""
	for ctx.Err() == nil {
		for _, d := range f.Daemons {
			d.Shards().Each(func(_ ident.ShardID, owned bool, dispatcher *dispatch.Dispatcher) {
				for _, s := range dispatcher.Shard.View().Servers {
					if owned && s.ID == "orders-north-1" && string(s.State) != last {
						last = string(s.State)
						fmt.Printf("%.1f s: %s is %s %s\n", time.Since(begin).Seconds(), s.ID, s.State, s.Cause)
					}
				}
			})
		}
		time.Sleep(10 * time.Millisecond)
	}
}
