// Package registrar is the micro-kernel: services register under a name with
// the names that they need, are built in that order, run together, and are
// cleaned up in the opposite order.
//
// # Usage
//
//	r := registrar.New()
//	r.Register("clock", nil, func(registrar.Finder) (any, func(), error) {
//		return clockwork.NewRealClock(), nil, nil
//	})
//	kernel, err := r.Build()
//	err = kernel.Run(ctx)
package registrar

import (
	"context"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"
)

type (
	// Name is the name under which a service is found.
	Name string

	// Finder finds the services that a service named as needed.
	Finder interface {
		Find(n Name) any
	}

	// Builder makes a service. Its clean-up may be nil.
	Builder func(f Finder) (service any, cleanup func(), err error)

	// Server is a service that runs until its context ends. One that returns
	// earlier stops all others.
	Server interface {
		Serve(ctx context.Context) error
	}

	// Registrar holds what was registered.
	Registrar struct {
		entries []entry
	}

	// Container is the services as built.
	Container struct {
		built    []built
		cleanups []func()
	}

	entry struct {
		name  Name
		needs []Name
		build Builder
	}

	built struct {
		name    Name
		service any
	}

	// finder finds only what its service declared.
	finder struct {
		kernel *Container
		entry  entry
	}
)

// The mistakes of a registration.
var (
	ErrDuplicate     = errors.New("a service is registered twice")
	ErrNotRegistered = errors.New("a service needs one that is not registered")
	ErrCycle         = errors.New("services need each other in a cycle")
)

// New returns an empty registrar.
func New() *Registrar {
	return &Registrar{}
}

// Register adds a service.
func (r *Registrar) Register(name Name, needs []Name, build Builder) {
	r.entries = append(r.entries, entry{name: name, needs: needs, build: build})
}

// Build builds every service after those that it needs. When one fails, those
// already built are cleaned up.
func (r *Registrar) Build() (*Container, error) {
	order, err := r.order()
	if err != nil {
		return nil, err
	}
	k := &Container{}
	for _, e := range order {
		service, cleanup, err := e.build(finder{kernel: k, entry: e})
		if err != nil {
			k.Cleanup()
			return nil, errors.Wrapf(err, "starting %s", e.name)
		}
		k.built = append(k.built, built{name: e.name, service: service})
		if cleanup != nil {
			k.cleanups = append(k.cleanups, cleanup)
		}
	}
	return k, nil
}

// Run runs every server until ctx ends or one of them returns, and returns the
// first error.
func (k *Container) Run(ctx context.Context) error {
	var g run.Group
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	g.Add(func() error {
		<-runCtx.Done()
		return nil
	}, func(error) { cancel() })
	for _, b := range k.built {
		server, ok := b.service.(Server)
		if !ok {
			continue
		}
		g.Add(func() error {
			return errors.Wrapf(server.Serve(runCtx), "running %s", b.name)
		}, func(error) { cancel() })
	}
	return g.Run()
}

// Cleanup runs the clean-ups, the last service's first.
func (k *Container) Cleanup() {
	for _, cleanup := range slices.Backward(k.cleanups) {
		cleanup()
	}
	k.cleanups = nil
}

// Find returns a service by name, or nil.
func (k *Container) Find(n Name) any {
	for _, b := range k.built {
		if b.name == n {
			return b.service
		}
	}
	return nil
}

// Find implements Finder. A name that was not declared is a mistake in the
// program.
func (f finder) Find(n Name) any {
	if !slices.Contains(f.entry.needs, n) {
		panic(errors.AssertionFailedf("service %s does not declare that it needs %s", f.entry.name, n))
	}
	return f.kernel.Find(n)
}

// order sorts the entries so that each comes after those that it needs.
func (r *Registrar) order() ([]entry, error) {
	if err := r.check(); err != nil {
		return nil, err
	}
	var order []entry
	placed := make(map[Name]bool, len(r.entries))
	for len(order) < len(r.entries) {
		before := len(order)
		for _, e := range r.entries {
			if !placed[e.name] && allPlaced(e.needs, placed) {
				placed[e.name] = true
				order = append(order, e)
			}
		}
		if len(order) == before {
			return nil, errors.Wrap(ErrCycle, r.unplaced(placed))
		}
	}
	return order, nil
}

func (r *Registrar) check() error {
	known := make(map[Name]bool, len(r.entries))
	for _, e := range r.entries {
		if known[e.name] {
			return errors.Wrap(ErrDuplicate, string(e.name))
		}
		known[e.name] = true
	}
	var missing []string
	for _, e := range r.entries {
		for _, n := range e.needs {
			if !known[n] {
				missing = append(missing, string(e.name)+" needs "+string(n))
			}
		}
	}
	if len(missing) > 0 {
		return errors.Wrap(ErrNotRegistered, strings.Join(missing, ", "))
	}
	return nil
}

func (r *Registrar) unplaced(placed map[Name]bool) string {
	var names []string
	for _, e := range r.entries {
		if !placed[e.name] {
			names = append(names, string(e.name))
		}
	}
	return strings.Join(names, ", ")
}

func allPlaced(names []Name, placed map[Name]bool) bool {
	for _, n := range names {
		if !placed[n] {
			return false
		}
	}
	return true
}
