// Package small starts a small deployment for the examples: two daemons and four backend servers of
// one service, all in the current process.
package small

import (
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"bilberrymux/core/config"
	"bilberrymux/core/ident"
	"bilberrymux/io/standin/fleet"
)

// Start starts the deployment and waits up to 10 s until it is ready. The caller must call Stop on the
// returned fleet.
func Start() (*fleet.Fleet, error) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	f, err := fleet.Start(fleet.Options{
		Regions: []ident.RegionID{"north"}, Daemons: 2, Seed: 1, Log: log,
		Services: []fleet.ServiceSpec{{
			Name: "orders", ServersPerRegion: 4, Slots: 4, WorkMedian: 10 * time.Millisecond, WorkSpread: 0.3,
			Config: config.Service{FloorSlots: 8},
		}},
		Routes: map[string]config.Route{
			"read":  {Methods: []string{"GET"}, Prefix: "/orders", Service: "orders", Rank: ident.Normal, Idempotent: true},
			"write": {Methods: []string{"POST"}, Prefix: "/orders", Service: "orders", Rank: ident.Urgent, KeyRequired: true},
		},
	})
	if err != nil {
		return nil, err
	}
	if err := f.WaitReady(10 * time.Second); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}
