package front

import (
	"encoding/json"
	"fmt"

	"github.com/gofiber/fiber/v2"

	"bilberrymux/core/ident"
	"bilberrymux/core/refusal"
)

// LocatePath is where callers ask which addresses to use.
const LocatePath = "/.well-known/bilberrymux/locate"

// Location tells a caller where to connect for a service.
type Location struct {
	Service ident.ServiceID `json:"service"`
	Version ident.Version   `json:"version"`
	// TTLSeconds is how long the answer may be kept.
	TTLSeconds int `json:"ttlSeconds"`
	// Addresses are in the order in which they should be tried.
	Addresses []Address `json:"addresses"`
}

// Address is one daemon.
type Address struct {
	Address string         `json:"address"`
	Region  ident.RegionID `json:"region"`
	Zone    ident.ZoneID   `json:"zone"`
	// Permit begins idempotency keys that this daemon decides without the
	// store: the permit, a dot and a text of the caller's.
	Permit string `json:"permit"`
}

// locate answers for a service by name, or for the service of a path.
func (f *Front) locate(c *fiber.Ctx) error {
	f.options.Count("locates")
	service := ident.ServiceID(c.Query("service"))
	if path := c.Query("path"); service == "" && path != "" {
		route := f.options.Config().Match(c.Query("method", fiber.MethodGet), path)
		if route == nil {
			f.refuse(c, refusal.New(refusal.NoRoute, "%s", path))
			return nil
		}
		service = route.Service
	}
	if service == "" {
		f.refuse(c, refusal.New(refusal.BadRequest, "locate needs a service or a path"))
		return nil
	}
	location, refused := f.options.Locate(service)
	if refused != nil {
		f.refuse(c, refused)
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
