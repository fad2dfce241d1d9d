// Package registrar is the daemon's dependency injection container. Services are
// registered under a name together with the names of their dependencies. They are built
// in dependency order, run together, and cleaned up in reverse order.
//
// # Usage
//
//	r := registrar.New()
//	r.Register("clock", nil, func(registrar.Finder) (any, func(), error) {
//		return clockwork.NewRealClock(), nil, nil
//	})
//	container, err := r.Build()
//	defer container.Cleanup()
//	err = container.Run(ctx)
package registrar

import (
	"context"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"
)

type (
	// Name identifies a service.
	Name string

	// Finder finds a service's dependencies.
	Finder interface {
		Find(n Name) any
	}

	// Builder builds a service. The cleanup function may be nil.
	Builder func(f Finder) (service any, cleanup func(), err error)

	// Server is a service that runs until its context is canceled. If it returns earlier,
	// all other servers are stopped.
	Server interface {
		Serve(ctx context.Context) error
	}

	// Registrar collects the registered services.
	Registrar struct {
		registrations []registration
	}

	// Container holds the built services.
	Container struct {
		built    []builtService
		cleanups []func()
	}

	registration struct {
		name  Name
		deps  []Name
		build Builder
	}

	builtService struct {
		name    Name
		service any
	}

	// finder finds only the dependencies that its service declared.
	finder struct {
		container    *Container
		registration registration
	}
)

// Errors of Build for invalid registrations.
var (
	ErrDuplicate     = errors.New("a service is registered twice")
	ErrNotRegistered = errors.New("a service depends on one that is not registered")
	ErrCycle         = errors.New("services depend on each other in a cycle")
)

// New returns an empty registrar.
func New() *Registrar {
	return &Registrar{}
}

// Register adds a service with the names of its dependencies.
func (r *Registrar) Register(name Name, deps []Name, build Builder) {
	r.registrations = append(r.registrations, registration{name: name, deps: deps, build: build})
}

// Build builds each service after its dependencies. If one fails, the services already
// built are cleaned up.
func (r *Registrar) Build() (*Container, error) {
	order, err := r.order()
	if err != nil {
		return nil, err
	}
	c := &Container{}
	for _, reg := range order {
		service, cleanup, err := reg.build(finder{container: c, registration: reg})
		if err != nil {
			c.Cleanup()
			return nil, errors.Wrapf(err, "starting %s", reg.name)
		}
		c.built = append(c.built, builtService{name: reg.name, service: service})
		if cleanup != nil {
			c.cleanups = append(c.cleanups, cleanup)
		}
	}
	return c, nil
}

// Run runs all servers until ctx is canceled or one of them returns, and returns the first
// error.
func (c *Container) Run(ctx context.Context) error {
	var g run.Group
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	g.Add(func() error {
		<-runCtx.Done()
		return nil
	}, func(error) { cancel() })
	for _, b := range c.built {
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

// Cleanup runs the cleanup functions in reverse order of building.
func (c *Container) Cleanup() {
	for _, cleanup := range slices.Backward(c.cleanups) {
		cleanup()
	}
	c.cleanups = nil
}

// Find returns the service with a name, or nil if there is none.
func (c *Container) Find(n Name) any {
	for _, b := range c.built {
		if b.name == n {
			return b.service
		}
	}
	return nil
}

// Find implements Finder. It panics if the name is not a declared dependency, which is a
// programming error.
func (f finder) Find(n Name) any {
	if !slices.Contains(f.registration.deps, n) {
		panic(errors.AssertionFailedf("service %s does not declare its dependency on %s", f.registration.name, n))
	}
	return f.container.Find(n)
}

// order returns the registrations sorted so that each comes after its dependencies.
func (r *Registrar) order() ([]registration, error) {
	if err := r.check(); err != nil {
		return nil, err
	}
	var order []registration
	placed := make(map[Name]bool, len(r.registrations))
	for len(order) < len(r.registrations) {
		before := len(order)
		for _, reg := range r.registrations {
			if !placed[reg.name] && allPlaced(reg.deps, placed) {
				placed[reg.name] = true
				order = append(order, reg)
			}
		}
		if len(order) == before {
			return nil, errors.Wrap(ErrCycle, r.unplaced(placed))
		}
	}
	return order, nil
}

// check returns an error if a name is registered twice or a dependency is not registered.
func (r *Registrar) check() error {
	known := make(map[Name]bool, len(r.registrations))
	for _, reg := range r.registrations {
		if known[reg.name] {
			return errors.Wrap(ErrDuplicate, string(reg.name))
		}
		known[reg.name] = true
	}
	var missing []string
	for _, reg := range r.registrations {
		for _, n := range reg.deps {
			if !known[n] {
				missing = append(missing, string(reg.name)+" needs "+string(n))
			}
		}
	}
	if len(missing) > 0 {
		return errors.Wrap(ErrNotRegistered, strings.Join(missing, ", "))
	}
	return nil
}

// unplaced lists the names of the registrations that order could not place.
func (r *Registrar) unplaced(placed map[Name]bool) string {
	var names []string
	for _, reg := range r.registrations {
		if !placed[reg.name] {
			names = append(names, string(reg.name))
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
