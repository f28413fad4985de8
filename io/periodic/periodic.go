// Package periodic provides cancellable waits and periodic calls for background tasks.
package periodic

import (
	"context"
	"time"
)

// Sleep waits for the duration d. It returns false if the context ends first, else true.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Every calls f once per period with the tick's time until the context ends. Ticks that fall due
// while f runs are dropped, as with a time.Ticker. It panics if the period is not positive.
func Every(ctx context.Context, period time.Duration, f func(now time.Time)) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			f(now)
		}
	}
}
