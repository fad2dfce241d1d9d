// Package crowder holds the tests in which crowds of callers that stay inside no limit press
// on the daemon as a process of its own. They check what does not depend on the speed of the
// machine: that the process lives, that its memory and its descriptors stay under a bound,
// and that an ordinary request is answered meanwhile. They run one after the other.
//
// # Usage
//
//	go test -race ./internal/stand/crowder
package crowder
