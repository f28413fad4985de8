package backend

// CloseReason is the reason for which a connection to a server was closed.
type CloseReason string

// Reasons for closing connections.
const (
	// CloseByServer means that the server asked for the close in its response.
	CloseByServer CloseReason = "server"
	// CloseBroken means that an exchange on the connection failed.
	CloseBroken CloseReason = "broken"
	// CloseMalformed means that a response had a malformed head or malformed trailers.
	CloseMalformed CloseReason = "malformed"
	// CloseTimeout means that an exchange reached its deadline without a response.
	CloseTimeout CloseReason = "timeout"
	// CloseCancelled means that the exchange was cancelled.
	CloseCancelled CloseReason = "cancelled"
	// CloseMismatched means that the connection carried a response to another request.
	CloseMismatched CloseReason = "spoiled"
	// CloseAnonymous means that the connection carried a response that named no request.
	CloseAnonymous CloseReason = "anonymous"
	// CloseUsedUp means that the connection carried maxExchanges exchanges.
	CloseUsedUp CloseReason = "usedUp"
	// CloseIdle means that the connection was idle for too long.
	CloseIdle CloseReason = "idle"
	// CloseStale means that the server closed the idle connection or wrote to it.
	CloseStale CloseReason = "stale"
	// CloseSurplus means that the pool already held maxIdleConns connections.
	CloseSurplus CloseReason = "surplus"
	// CloseInvalidated means that Client.Invalidate was called for the address.
	CloseInvalidated CloseReason = "givenUp"
)
