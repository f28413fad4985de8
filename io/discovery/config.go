package discovery

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"bilberrymux/core/event"
	"bilberrymux/core/ident"
	"bilberrymux/platform"
)

// applyConfig decodes a configuration and activates it if its version is newer than
// that of the active one. A version stands for one content: another one under the same version is logged and not
// used. The store confirmed the value at the time at.
func (w *Watcher) applyConfig(value []byte, at time.Time, source string) {
	c, err := platform.DecodeConfig(value)
	if err != nil {
		w.options.Count("config.unreadable")
		w.options.Log.WithError(err).WithField("source", source).Warn("could not decode the configuration")
		return
	}
	w.mu.Lock()
	before := w.catalog.Load()
	if at.After(w.configConfirmedAt) && c.Version >= before.Version {
		w.configConfirmedAt = at
	}
	if c.Version <= before.Version {
		contradicts := c.Version == before.Version && !bytes.Equal(value, w.configValue)
		w.mu.Unlock()
		if contradicts {
			w.options.Count("config.contradicted")
			w.options.Log.WithFields(logrus.Fields{"version": c.Version, "source": source}).Warn(event.ConfigContradicted)
		}
		return
	}
	w.configValue, w.configChangedAt, w.configFromStore = value, time.Now(), source == sourceStore
	w.catalog.Store(c)
	w.mu.Unlock()
	w.options.Log.WithFields(logrus.Fields{
		"version": c.Version, "before": before.Version, "routes": len(c.Routes), "source": source,
	}).Info(event.ConfigApplied)
	w.options.OnConfig(c)
}

// ReadConfig reads the configuration from the store and applies it.
func (w *Watcher) ReadConfig(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, configPatience+lateCallTimeout)
	defer cancel()
	started := time.Now()
	rows, version, err := w.options.Store.Rows(ctx, platform.TableConfig)
	if err != nil {
		return fmt.Errorf("discovery: configuration: %w", err)
	}
	return w.applyConfigRows(rows, version, started, started)
}

// applyConfigRows applies the configuration contained in rows of the store, if any,
// and records that the store was read at a version, not before readAt, by a call that was started at the
// given time. An answer of an earlier era than the last one confirms nothing, and is an error.
func (w *Watcher) applyConfigRows(rows []platform.Row, version ident.StoreVersion, started, readAt time.Time) error {
	for _, r := range rows {
		if r.Key == platform.KeyConfig && !r.Deleted {
			w.options.Log.WithFields(logrus.Fields{
				"rowVersion": r.Version, "revision": version.Number, "era": version.Era, "tookMillis": time.Since(started).Milliseconds(),
			}).Info(event.ConfigRead)
			w.applyConfig(r.Value, readAt, sourceStore)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if version.Era < w.feedFrom.Era {
		w.options.Count("store.pastEra")
		return fmt.Errorf("discovery: configuration: %w: version %v", errPastEra, version)
	}
	w.configConfirmedAt, w.configReadAt = later(w.configConfirmedAt, readAt), later(w.configReadAt, readAt)
	w.feedFrom = ident.Later(w.feedFrom, version)
	return nil
}

// pollConfig makes one call for changes of the configuration, which the store may hold
// open for the time wait until there is a change, and applies the result. It reads the
// whole configuration if no version to start from is known or if the store no longer has
// the changes since that version.
func (w *Watcher) pollConfig(ctx context.Context, wait time.Duration) error {
	w.mu.Lock()
	from := w.feedFrom
	w.mu.Unlock()
	if from.IsZero() {
		return w.ReadConfig(ctx)
	}
	feeding, cancel := context.WithTimeout(ctx, wait+configPatience+lateCallTimeout)
	defer cancel()
	started := time.Now()
	rows, version, err := w.options.Store.Feed(feeding, platform.TableConfig, from, wait)
	if errors.Is(err, platform.ErrHistoryGone) {
		w.options.Log.WithError(err).WithFields(logrus.Fields{"version": from.Number, "era": from.Era}).Warn("the store no longer has the changes since this version, reading the configuration again")
		return w.ReadConfig(ctx)
	}
	if err != nil {
		return fmt.Errorf("discovery: feed: %w", err)
	}
	return w.applyConfigRows(rows, version, started, feedReadAt(started, time.Now(), wait, len(rows) > 0))
}

// feedReadAt returns the earliest time at which the store can have read the answer to a call for changes
// that it was to hold open for the time wait. It holds a call without changes for that long.
func feedReadAt(started, answered time.Time, wait time.Duration, changed bool) time.Time {
	if heldUntil := started.Add(wait); !changed && heldUntil.Before(answered) {
		return heldUntil
	}
	if changed {
		return started
	}
	return answered
}
