package config

import (
	"encoding/json"
	"fmt"

	"bilberrymux/core/ident"
)

// The size of the capacity target at scale 1.
const (
	targetRoutes        = 31_000
	targetOrganisations = 270_000
	targetServices      = 4_200
	targetServers       = 110_000
	targetRegions       = 4
	targetZones         = 12
)

// Synthetic returns a generated configuration for benchmarks, as a patch of the empty
// configuration. Its size is the capacity target in docs/CAPACITY.md multiplied by scale. It panics
// if scale is so small that there would be no service.
func Synthetic(scale float64) json.RawMessage {
	services := int(scale * targetServices)
	if services < 1 {
		panic(fmt.Sprintf("config: no services at scale %g", scale))
	}
	body, err := json.Marshal(map[string]any{
		"services":      syntheticServices(services),
		"routes":        syntheticRoutes(int(scale*targetRoutes), services),
		"organisations": syntheticOrganisations(int(scale * targetOrganisations)),
	})
	if err != nil {
		panic(err)
	}
	return body
}

// syntheticServices returns n services, each with the average number of servers per service.
func syntheticServices(n int) map[string]any {
	const serversPerService = targetServers / targetServices
	out := make(map[string]any, n)
	for i := range n {
		servers := map[string]any{}
		for j := range serversPerService {
			servers[fmt.Sprintf("server-%d-%d", i, j)] = Server{
				Address: fmt.Sprintf("10.%d.%d.%d:8080", i/250, i%250, j), Slots: 2,
				Region: ident.RegionID(fmt.Sprint("region-", j%targetRegions)),
				Zone:   ident.ZoneID(fmt.Sprint("zone-", j%targetZones)),
			}
		}
		out[fmt.Sprintf("service-%d", i)] = map[string]any{"floorSlots": serversPerService, "servers": servers}
	}
	return out
}

// syntheticRoutes returns n routes, distributed evenly over the services.
func syntheticRoutes(n, services int) map[string]any {
	// apps is the number of distinct first path segments.
	const apps = 997
	out := make(map[string]any, n)
	for i := range n {
		out[fmt.Sprintf("route-%d", i)] = map[string]any{
			"methods": []string{"GET"}, "prefix": fmt.Sprintf("/app-%d/section/%d", i%apps, i),
			"service": fmt.Sprintf("service-%d", i%services), "rank": "normal", "idempotent": true, "timeoutMillis": 2000,
		}
	}
	return out
}

// syntheticOrganisations returns n organisations with weights from 1 to 5.
func syntheticOrganisations(n int) map[string]any {
	out := make(map[string]any, n)
	for i := range n {
		out[fmt.Sprintf("organisation-%d", i)] = map[string]any{"weight": 1 + i%5}
	}
	return out
}
