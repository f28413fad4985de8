package edge

import (
	"time"

	"bilberrymux/core/belief"
	"bilberrymux/core/ident"
	"bilberrymux/core/roster"
)

// Version returns the configuration version in force; 0 while none is known.
func (e *Edge) Version() ident.Version {
	return e.keeper.Catalog().Version
}

// Servers returns the registered backend servers, sorted by id. Callers must not
// modify it.
func (e *Edge) Servers() []roster.Server {
	return e.keeper.Roster().Servers()
}

// Beliefs returns what the daemon believes about the servers.
func (e *Edge) Beliefs() []belief.View {
	return e.book.Views(time.Now())
}
