package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	begun   time.Time
	runs    map[string]int
	replies map[string]bool
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, begun: time.Now(), runs: make(map[string]int), replies: make(map[string]bool)}, err
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// ran notes that a backend began to work on an attempt, and answered that it has sent its
// whole answer to the machine.
func (r *record) ran(attempt string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[attempt]++
}

func (r *record) answered(attempt string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replies[attempt] = true
}

func (r *record) runsOf(attempt string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[attempt]
}

func (r *record) wasAnswered(attempt string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.replies[attempt]
}
