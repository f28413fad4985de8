package config

import (
	"encoding/json"
	"fmt"

	"bilberrymux/core/ident"
)

// The sizes of the target that Synthetic scales.
const (
	targetRoutes        = 31_000
	targetOrganisations = 270_000
	targetServices      = 4_200
	targetServers       = 110_000
	targetRegions       = 4
	targetZones         = 12
)

// Synthetic returns a configuration, as a patch of the empty one, of a part of
// the size of the target in docs/CAPACITY.md. It is for measurements. It panics
// if part is so small that there would be no service.
func Synthetic(part float64) json.RawMessage {
	services := int(part * targetServices)
	if services < 1 {
		panic("config: part is too small")
	}
	body, err := json.Marshal(map[string]any{
		"services":      syntheticServices(services),
		"routes":        syntheticRoutes(int(part*targetRoutes), services),
		"organisations": syntheticOrganisations(int(part * targetOrganisations)),
	})
	if err != nil {
		panic(err)
	}
	return body
}

func syntheticServices(n int) map[string]any {
	const perService = targetServers / targetServices
	out := make(map[string]any, n)
	for i := range n {
		servers := map[string]any{}
		for j := range perService {
			servers[fmt.Sprintf("server-%d-%d", i, j)] = Server{
				Address: fmt.Sprintf("10.%d.%d.%d:8080", i/250, i%250, j), Slots: 2,
				Region: ident.RegionID(fmt.Sprint("region-", j%targetRegions)),
				Zone:   ident.ZoneID(fmt.Sprint("zone-", j%targetZones)),
			}
		}
		out[fmt.Sprintf("service-%d", i)] = map[string]any{"floorSlots": perService, "servers": servers}
	}
	return out
}

func syntheticRoutes(n, services int) map[string]any {
	// The paths of the routes fall under so many apps.
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

func syntheticOrganisations(n int) map[string]any {
	out := make(map[string]any, n)
	for i := range n {
		out[fmt.Sprintf("organisation-%d", i)] = map[string]any{"weight": 1 + i%5}
	}
	return out
}
