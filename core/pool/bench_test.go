package pool_test

import (
	"fmt"
	"testing"

	"bilberrymux/core/ident"
	"bilberrymux/core/pool"
)

// BenchmarkPick measures a pick when every server is at half of its limit, and when
// a single slot is free in the whole pool.
func BenchmarkPick(b *testing.B) {
	for _, servers := range []int{16, 100, 1000} {
		for _, load := range []string{"half", "full"} {
			b.Run(fmt.Sprintf("servers=%d/load=%s", servers, load), func(b *testing.B) {
				newPicker, err := pool.Pickers.Get("twoChoices")
				if err != nil {
					b.Fatal(err)
				}
				picker := newPicker()
				list := make([]*pool.Server, servers)
				for i := range list {
					list[i] = &pool.Server{ID: ident.ServerID(fmt.Sprint(i)), State: pool.Active, Limit: 2, InFlight: 1, Weight: pool.FullWeight}
					if load == "full" && i > 0 {
						list[i].InFlight = 2
					}
				}
				request := pool.PickRequest{Rank: ident.Urgent, Idempotent: true}
				random := uint64(1)
				b.ReportAllocs()
				for b.Loop() {
					random = random*6364136223846793005 + 1442695040888963407
					request.Random = random
					if picker.Pick(list, &request) == nil {
						b.Fatal("no server picked although a slot is free")
					}
				}
			})
		}
	}
}
