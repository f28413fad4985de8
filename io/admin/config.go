package admin

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/gofiber/fiber/v2"

	"bilberrymux/core/config"
	"bilberrymux/core/ident"
	"bilberrymux/io/versions"
)

// PatchRequest submits a patch.
type PatchRequest struct {
	// ID names the patch; sending the same id again gives the same outcome.
	ID     string          `json:"id"`
	Author string          `json:"author"`
	Base   ident.Version   `json:"base"`
	Patch  json.RawMessage `json:"patch"`
}

// PatchReply tells the number under which a patch is in force.
type PatchReply struct {
	Version ident.Version `json:"version"`
}

// RollbackRequest puts an older version's content in force as a new version.
type RollbackRequest struct {
	ID     string        `json:"id"`
	Author string        `json:"author"`
	To     ident.Version `json:"to"`
}

// ConfigView is the shared configuration with its version.
type ConfigView struct {
	Version ident.Version `json:"version"`
	*config.Patch
}

func (a *Admin) configRoutes() {
	a.app.Get(PathConfig, a.config)
	a.app.Get(PathHistory, a.history)
	a.app.Get(PathDiff, a.diff)
	a.app.Post(PathPatch, a.patch)
	a.app.Post(PathCheck, a.check)
	a.app.Post(PathRollback, a.rollback)
}

func (a *Admin) config(c *fiber.Ctx) error {
	current := a.options.Versions.Current()
	patch, err := current.Snapshot()
	if err != nil {
		return fmt.Errorf("admin: %w", err)
	}
	return c.JSON(ConfigView{current.Version, patch})
}

// historyLimit is the number of versions that history shows unless asked.
const historyLimit = 20

func (a *Admin) history(c *fiber.Ctx) error {
	ctx, cancel := changeContext()
	defer cancel()
	limit := c.QueryInt("limit", historyLimit)
	if limit < 1 || limit > 1000 {
		return fiber.NewError(fiber.StatusBadRequest, "limit must be 1 to 1000")
	}
	records, err := a.options.Versions.History(ctx, limit)
	if err != nil {
		return err
	}
	return c.JSON(records)
}

func (a *Admin) diff(c *fiber.Ctx) error {
	ctx, cancel := changeContext()
	defer cancel()
	from, err := a.options.Versions.At(ctx, ident.Version(c.QueryInt("from")))
	if err != nil {
		return err
	}
	to, err := a.options.Versions.At(ctx, ident.Version(c.QueryInt("to")))
	if err != nil {
		return err
	}
	patch, err := to.Diff(from)
	if err != nil {
		return err
	}
	return c.JSON(patch)
}

func (a *Admin) patch(c *fiber.Ctx) error {
	var req PatchRequest
	if err := json.Unmarshal(c.Body(), &req); err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	ctx, cancel := changeContext()
	defer cancel()
	number, err := a.options.Versions.Submit(ctx, versions.Submission{
		ID: req.ID, Author: req.Author, Base: req.Base, Patch: req.Patch,
	})
	if err != nil {
		return err
	}
	return c.JSON(PatchReply{number})
}

// check tells whether a patch would be accepted against the version in force.
func (a *Admin) check(c *fiber.Ctx) error {
	if err := a.options.Versions.Check(c.Body()); err != nil {
		var invalid *config.InvalidError
		if errors.As(err, &invalid) {
			return err
		}
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	return c.JSON(PatchReply{a.options.Versions.Current().Version})
}

func (a *Admin) rollback(c *fiber.Ctx) error {
	var req RollbackRequest
	if err := json.Unmarshal(c.Body(), &req); err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	ctx, cancel := changeContext()
	defer cancel()
	number, err := a.options.Versions.Rollback(ctx, req.To, req.ID, req.Author)
	if err != nil {
		return err
	}
	return c.JSON(PatchReply{number})
}
