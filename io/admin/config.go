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

// PatchRequest submits a patch of the shared configuration.
type PatchRequest struct {
	// ID identifies the patch. Submitting the same ID again gives the same outcome.
	ID     string `json:"id"`
	Author string `json:"author"`
	// Base is the version against which the patch was made.
	Base  ident.Version   `json:"base"`
	Patch json.RawMessage `json:"patch"`
}

// PatchReply holds the version of the configuration after a change, or the one in force after a check.
type PatchReply struct {
	Version ident.Version `json:"version"`
}

// RollbackRequest asks to submit the content of the older version To as a new version.
type RollbackRequest struct {
	ID     string        `json:"id"`
	Author string        `json:"author"`
	To     ident.Version `json:"to"`
}

// ConfigView is the shared configuration, in the form of a patch, with its version.
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

// defaultHistoryLimit is the number of versions that history returns if the request sets no limit.
const defaultHistoryLimit = 20

func (a *Admin) history(c *fiber.Ctx) error {
	ctx, cancel := newRequestContext()
	defer cancel()
	limit := c.QueryInt("limit", defaultHistoryLimit)
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
	ctx, cancel := newRequestContext()
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
	ctx, cancel := newRequestContext()
	defer cancel()
	number, err := a.options.Versions.Submit(ctx, versions.Submission{
		ID: req.ID, Author: req.Author, Base: req.Base, Patch: req.Patch,
	})
	if err != nil {
		return err
	}
	return c.JSON(PatchReply{number})
}

// check reports whether a patch would be accepted against the version in force, without submitting it.
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
	ctx, cancel := newRequestContext()
	defer cancel()
	number, err := a.options.Versions.Rollback(ctx, req.To, req.ID, req.Author)
	if err != nil {
		return err
	}
	return c.JSON(PatchReply{number})
}
