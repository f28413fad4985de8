package discovery

import (
	"errors"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	// listPatience and configPatience are the times after which a call to the store counts as unanswered,
	// beyond the time for which the store may hold it open.
	listPatience   = 700 * time.Millisecond
	configPatience = 1200 * time.Millisecond
	// lateCallTimeout is how long an unanswered call goes on after that. Its answer is still of use: on a slow link, or
	// from a slow store, each call may take longer than the patience.
	lateCallTimeout = 4 * time.Second
	// maxOpenCalls is the maximum number of calls of one kind that wait for an answer.
	maxOpenCalls = 4
)

var (
	// errUnanswered is returned for a call that has not been answered in time and goes on.
	errUnanswered = errors.New("discovery: the store has not answered yet")
	// errTooManyCalls is returned if as many calls as allowed wait for answers.
	errTooManyCalls = errors.New("discovery: too many calls wait for answers of the store")
)

// callGroup runs calls to the store that may go on in the background when their caller no longer waits. It
// is safe for concurrent use.
type callGroup struct {
	open    chan struct{}
	running conc.WaitGroup
	// onLate is called for each call that has not been answered in time.
	onLate func()
}

func newCallGroup(onLate func()) *callGroup {
	return &callGroup{open: make(chan struct{}, maxOpenCalls), onLate: onLate}
}

// do runs a call and returns its error, or errUnanswered after patience. The call then goes on until
// its own timeout.
func (g *callGroup) do(patience time.Duration, call func() error) error {
	select {
	case g.open <- struct{}{}:
	default:
		return errTooManyCalls
	}
	ended := make(chan error, 1)
	g.running.Go(func() {
		defer func() { <-g.open }()
		ended <- call()
	})
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case err := <-ended:
		return err
	case <-timer.C:
		g.onLate()
		return errUnanswered
	}
}

// wait returns when all calls have ended.
func (g *callGroup) wait() {
	g.running.Wait()
}
