// Command _stand plays the cases of the review: each one starts a small deployment of the
// project's daemon on loopback addresses, with stand-ins of the store, the upstreams and the
// clients.
//
// # Usage
//
//	review-stand CASE FOLDER
//
// It exits with 0 if the rule held, with 1 if it was broken, and with 2 if the case could not
// run. TROUBLE=0 in the environment leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases maps a name to a function that plays the case, and reports whether the rule held.
var cases = map[string]func(r *record, trouble bool) (bool, error){
	"uploads":  playUploads,
	"unframed": playUnframed,
	"stalled":  playStalled,
	"slow":     playSlowAnswer,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-stand CASE FOLDER")
		return exitFailed
	}
	r, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer r.close()
	trouble := os.Getenv("TROUBLE") != "0"
	r.say("case %s, disruption %v", os.Args[1], trouble)
	held, err := cases[os.Args[1]](r, trouble)
	switch {
	case err != nil:
		r.say("the case could not run: %v", err)
		return exitFailed
	case held:
		r.say("the rule held")
		return exitHeld
	}
	r.say("the rule was broken")
	return exitBroken
}
