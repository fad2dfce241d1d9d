package storer

import (
	"context"
	"time"
)

type (
	// Patience is how a caller waits for the answer to a call.
	Patience struct {
		// AnswerTimeout is how long to wait until the answer begins, and for the rest of it
		// where it pauses, if that is longer than usual.
		AnswerTimeout time.Duration
		// OnAnswer is called when the answer begins, unless it is nil. It must not block.
		OnAnswer func()
	}

	patienceKey struct{}
)

// WithPatience returns a context whose calls wait as p says.
func WithPatience(ctx context.Context, p Patience) context.Context {
	return context.WithValue(ctx, patienceKey{}, p)
}

// PatienceOf returns how to wait for the answer to a call. usual is its answer timeout where the
// context says nothing.
func PatienceOf(ctx context.Context, usual time.Duration) Patience {
	p, _ := ctx.Value(patienceKey{}).(Patience)
	if p.OnAnswer == nil {
		p.OnAnswer = func() {}
	}
	p.AnswerTimeout = max(p.AnswerTimeout, usual)
	return p
}
