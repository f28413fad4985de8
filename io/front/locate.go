package front

import (
	"encoding/json"
	"fmt"

	"github.com/gofiber/fiber/v2"

	"bilberrymux/core/ident"
	"bilberrymux/core/refusal"
)

// LocatePath is the path at which callers request the addresses to use for a service.
const LocatePath = "/.well-known/bilberrymux/locate"

// Location tells a caller where to connect for a service.
type Location struct {
	Service ident.ServiceID `json:"service"`
	Version ident.Version   `json:"version"`
	// TTLSeconds is the time in seconds for which callers may cache the answer.
	TTLSeconds int `json:"ttlSeconds"`
	// Addresses are sorted by preference: callers should try them in this order.
	Addresses []Address `json:"addresses"`
}

// Address is the address of one daemon with its place.
type Address struct {
	Address string         `json:"address"`
	Region  ident.RegionID `json:"region"`
	Zone    ident.ZoneID   `json:"zone"`
	// Permit is the prefix of idempotency keys that this daemon decides without the store. Such a key
	// consists of the permit, a dot and a text chosen by the caller.
	Permit string `json:"permit"`
}

// locate serves LocatePath. The service is given by its name, or by a path and method that match one of
// its routes.
func (f *Front) locate(c *fiber.Ctx) error {
	f.options.Count("locates")
	service := ident.ServiceID(c.Query("service"))
	if path := c.Query("path"); service == "" && path != "" {
		route := f.options.Config().Match(c.Query("method", fiber.MethodGet), path)
		if route == nil {
			f.writeRefusal(c, refusal.New(refusal.NoRoute, "%s", path))
			return nil
		}
		service = route.Service
	}
	if service == "" {
		f.writeRefusal(c, refusal.New(refusal.BadRequest, "locate needs a service or a path"))
		return nil
	}
	location, refused := f.options.Locate(service)
	if refused != nil {
		f.writeRefusal(c, refused)
		return nil
	}
	body, err := json.Marshal(location)
	if err != nil {
		return fmt.Errorf("front: %w", err)
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	c.Set(fiber.HeaderCacheControl, fmt.Sprintf("max-age=%d", location.TTLSeconds))
	c.Response().SetBodyRaw(body)
	return nil
}
