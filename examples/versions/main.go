// Command versions submits two operators' patches against the same version of the shared
// configuration: the first is accepted, and the second is refused because its version is stale.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"log"

	"bilberrymux/examples/internal/small"
	"bilberrymux/io/versions"
)

func main() {
	f, err := small.Start()
	if err != nil {
		log.Fatal(err)
	}
	defer f.Stop()
	base := f.Daemons[0].ConfigVersion()
	for i, d := range f.Daemons {
		n, err := d.Versions().Submit(context.Background(), versions.Submission{
			ID: fmt.Sprint("operator-", i), Base: base,
			Patch: json.RawMessage(fmt.Sprintf(`{"services":{"orders":{"floorSlots":%d}}}`, 9+i)),
		})
		if err != nil {
			fmt.Printf("operator %d: refused: %v\n", i, err)
			continue
		}
		fmt.Printf("operator %d: accepted as version %d\n", i, n)
	}
}
