package namer

// Headers names the headers that callers of routes, entry VMs and discovered
// upstreams use.
type Headers struct {
	// Attempt identifies one attempt of a caller; upstreams send it back.
	Attempt string
	// Remaining is the time that the sender still waits, in milliseconds.
	Remaining string
	// Affinity names the object that a request is about.
	Affinity string
	// Signature marks an answer as an upstream's own.
	Signature string
	// Expect names the upstream that is meant; any other refuses.
	Expect string
	// Load is an upstream's running requests, waiting requests and slots.
	Load string
	// Refused says that an upstream did not run the request.
	Refused string
}

// OwnHeaders returns the names of the project's own interface.
func OwnHeaders() Headers {
	return Headers{
		Attempt:   "Waxwing-Attempt",
		Remaining: "Waxwing-Timeout",
		Affinity:  "Waxwing-Object",
		Signature: "Waxwing-Signature",
		Expect:    "Waxwing-Expect",
		Load:      "Waxwing-Load",
		Refused:   "Waxwing-Refused",
	}
}
