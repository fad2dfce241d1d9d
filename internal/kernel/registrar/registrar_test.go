package registrar_test

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/kernel/registrar"
)

type server struct{ err error }

// Serve implements registrar.Server.
func (s server) Serve(ctx context.Context) error {
	if s.err != nil {
		return s.err
	}
	<-ctx.Done()
	return nil
}

func TestBuildAndCleanupOrder(t *testing.T) {
	t.Parallel()
	var events []string
	r := registrar.New()
	add := func(name registrar.Name, needs ...registrar.Name) {
		r.Register(name, needs, func(f registrar.Finder) (any, func(), error) {
			for _, n := range needs {
				assert.Equal(t, f.Find(n), string(n))
			}
			events = append(events, "+"+string(name))
			return string(name), func() { events = append(events, "-"+string(name)) }, nil
		})
	}
	add("web", "store", "log")
	add("store", "log")
	add("log")
	c, err := r.Build()
	assert.NilError(t, err)
	c.Cleanup()
	assert.DeepEqual(t, events, []string{"+log", "+store", "+web", "-web", "-store", "-log"})
}

func TestInvalidRegistrations(t *testing.T) {
	t.Parallel()
	build := func(registrar.Finder) (any, func(), error) { return 1, nil, nil }
	r := registrar.New()
	r.Register("a", []registrar.Name{"b", "c"}, build)
	_, err := r.Build()
	assert.ErrorIs(t, err, registrar.ErrNotRegistered)
	assert.ErrorContains(t, err, "a needs b, a needs c")
	r.Register("b", []registrar.Name{"c"}, build)
	r.Register("c", []registrar.Name{"b"}, build)
	_, err = r.Build()
	assert.ErrorIs(t, err, registrar.ErrCycle)
	assert.ErrorContains(t, err, "a, b, c")
	r.Register("c", nil, build)
	_, err = r.Build()
	assert.ErrorIs(t, err, registrar.ErrDuplicate)
}

func TestRunReturnsFirstError(t *testing.T) {
	t.Parallel()
	broken := errors.New("broken")
	r := registrar.New()
	r.Register("good", nil, func(registrar.Finder) (any, func(), error) { return server{}, nil, nil })
	r.Register("bad", nil, func(registrar.Finder) (any, func(), error) { return server{err: broken}, nil, nil })
	c, err := r.Build()
	assert.NilError(t, err)
	err = c.Run(context.Background())
	assert.ErrorIs(t, err, broken)
	assert.ErrorContains(t, err, "running bad")
}
