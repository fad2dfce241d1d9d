// Command sim starts a small deployment for a case of the review: processes of the system, and
// stand-ins of the platform's store, of backends and of clients in this process. It exits with 1
// if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// lead is the time between the start of the machines and the traffic.
const lead = 10 * time.Second

// maxTime is the longest time of a case.
const maxTime = 110 * time.Second

// errNotRun is returned by a case that couldn't run.
var errNotRun = errors.New("the case could not run")

type (
	// world is what a case runs in. Trouble is whether the disruption happens.
	world struct {
		trouble bool
		dir     string
		record  *record
		store   *store

		mu    sync.Mutex
		ended bool
		ends  []func()
	}

	// play runs a case, and returns whether the rule was broken.
	play func(w *world) (broken bool, err error)
)

var plays = map[string]play{}

func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: sim CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(plays[os.Args[1]], os.Args[2]))
}

func run(p play, path string) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.file.Close()
	dir, err := os.MkdirTemp("", "sim")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	w := &world{trouble: os.Getenv("TROUBLE") != "0", dir: dir, record: rec}
	defer w.end()
	// A script that is told to stop, or takes too long, ends what it started too.
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stop:
		case <-time.After(maxTime):
		}
		w.end()
		os.Exit(exitNotRun)
	}()
	if w.store, err = newStore(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	rec.add("trouble: %v", w.trouble)
	broken, err := p(w)
	if err != nil {
		rec.add("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	rec.add("rule broken: %v", broken)
	fmt.Println("rule broken:", broken)
	if broken {
		return exitBroken
	}
	return exitHeld
}

// atEnd adds what is done at the end of the case.
func (w *world) atEnd(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		f()
		return
	}
	w.ends = append(w.ends, f)
}

// end ends what the case has started.
func (w *world) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	w.ended = true
	for i := len(w.ends) - 1; i >= 0; i-- {
		w.ends[i]()
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.Rename(w.dir, keep)
	}
	_ = os.RemoveAll(w.dir)
}

// daemon starts a process of the system that ends with the case.
func (w *world) daemon(name string, t terms) (*daemon, error) {
	d, err := newDaemon(w.dir, name, w.store.address, t)
	if err != nil {
		return nil, err
	}
	if err := d.start(w.dir); err != nil {
		return nil, err
	}
	w.atEnd(d.end)
	return d, nil
}

// readyDaemon starts a process of the system, and returns when it is ready and the lead before
// the traffic is over.
func (w *world) readyDaemon(t terms) (*daemon, error) {
	d, err := w.daemon("edge-z1-1", t)
	if err != nil {
		return nil, err
	}
	if err := d.awaitReady(20 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(lead)
	return d, nil
}

// backend starts a backend that ends with the case.
func (w *world) backend(id, service string, plan func(path string) job) error {
	b, err := startBackend(w.store, w.record, id, service, "z1", func(r *httpRequest) job { return plan(r.URL.Path) })
	if err != nil {
		return err
	}
	w.atEnd(b.close)
	return nil
}

// logHas reports whether a process has logged a text.
func (w *world) logHas(d *daemon, text string) bool {
	raw, err := os.ReadFile(filepath.Join(w.dir, d.name+".log"))
	return err == nil && strings.Contains(string(raw), text)
}
