package follower

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
)

const (
	// firstListTimeout is how long a VM that has no records yet waits, in its first attempt to
	// list them, until the answer to a call begins. It doubles with each attempt in which none
	// did, up to maxFirstListDoublings times: the store may be slow.
	firstListTimeout      = 2 * time.Second
	maxFirstListDoublings = 2
	// firstListInterval is the interval between the calls of one attempt. A store that was away
	// may have dropped the call before, and answers the next one.
	firstListInterval = firstListTimeout
)

// pageAnswer is the answer to one call for a page, or its error.
type pageAnswer struct {
	page storer.Page
	err  error
}

// listPage reads a page of the records after a name. A VM that has no records yet makes more calls
// while it waits, since it has nothing to go on with.
func (f *Follower) listPage(ctx context.Context, after string) (storer.Page, error) {
	if f.listed {
		return f.source.List(f.withPatience(ctx), f.kind, after)
	}
	page, err := f.firstPage(ctx, after, firstListTimeout<<min(f.unansweredLists, maxFirstListDoublings))
	switch {
	case err == nil:
		f.unansweredLists = 0
	case errors.Is(err, errNoAnswer):
		f.unansweredLists++
	}
	return page, err
}

// withPatience returns a context whose calls wait for an answer as long as this follower does.
func (f *Follower) withPatience(ctx context.Context) context.Context {
	return storer.WithPatience(ctx, storer.Patience{AnswerTimeout: f.answerTimeout()})
}

// firstPage calls for a page at each firstListInterval until an answer begins, and returns the result
// of the first call that ends. It fails with errNoAnswer if no answer begins within the limit.
func (f *Follower) firstPage(parent context.Context, after string, limit time.Duration) (storer.Page, error) {
	calls := int(limit / firstListInterval)
	answers, begun := make(chan pageAnswer, calls), make(chan struct{}, calls)
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	ctx = storer.WithPatience(ctx, storer.Patience{AnswerTimeout: limit + firstListInterval, OnAnswer: func() { begun <- struct{}{} }})
	timer := f.clock.NewTimer(firstListInterval)
	defer timer.Stop()
	call := func() {
		page, err := f.source.List(ctx, f.kind, after)
		answers <- pageAnswer{page, err}
	}
	go call()
	next := timer.Chan()
	for made := 1; ; {
		select {
		case a := <-answers:
			return a.page, a.err
		case <-begun:
			// The client limits the rest of the answer.
			next = nil
		case <-next:
			if made == calls {
				return storer.Page{}, errNoAnswer
			}
			made++
			timer.Reset(firstListInterval)
			go call()
		}
	}
}
