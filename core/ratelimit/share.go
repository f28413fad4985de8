package ratelimit

// Zone describes the daemons of a server's availability zone as one of them sees it.
type Zone struct {
	// Owners is the number of daemons to which the zone's callers of the server's service
	// are directed, and Position the place of this daemon among them, from 0. Position is
	// negative if this daemon is none of them.
	Owners, Position int
	// Live is the number of daemons that this daemon hears, and Known the number of those
	// that it has heard of. Both include itself.
	Live, Known int
}

const (
	// baseHolders is the number of daemons that may share the smallest limit, and
	// holdersPerRate the number of further ones for each request per second. Each of them
	// may be ahead of its share by one request, so that few of them may share a small limit.
	baseHolders    = 2
	holdersPerRate = 1.0
)

// Share returns the part, from 0 to 1, of a server's limit that this daemon may use. The
// shares of all daemons with the same view of the zone add up to 1 at the most.
//
// A daemon that does not hear more than half of its zone may be cut off from daemons which share the
// limit without it. Its share is then as small as if each known daemon was cut off alone.
func (z Zone) Share(perSecond float64) float64 {
	if z.Position < 0 || z.Owners < 1 {
		return 0
	}
	if z.Known > 1 && 2*z.Live <= z.Known {
		return 1 / float64(z.Known)
	}
	holders := min(z.Owners, baseHolders+int(min(holdersPerRate*perSecond, float64(z.Owners))))
	if z.Position >= holders {
		return 0
	}
	return 1 / float64(holders)
}
