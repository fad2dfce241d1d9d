package namer

// HeaderNames names the headers that callers of routes, entry VMs and discovered
// upstreams use.
type HeaderNames struct {
	// AttemptID identifies one attempt of a caller; upstreams send it back.
	AttemptID string
	// RemainingMs is the time that the sender still waits, in milliseconds.
	RemainingMs string
	// AffinityKey names the object that a request is about.
	AffinityKey string
	// Signature marks an answer as an upstream's own.
	Signature string
	// ExpectedUpstream names the upstream that is meant; any other refuses.
	ExpectedUpstream string
	// Load is an upstream's running requests, waiting requests and slots.
	Load string
	// NotRun says that an upstream did not run the request.
	NotRun string
}

// WaxwingHeaderNames returns the names of the project's own interface.
func WaxwingHeaderNames() HeaderNames {
	return HeaderNames{
		AttemptID:        "Waxwing-Attempt",
		RemainingMs:      "Waxwing-Timeout",
		AffinityKey:      "Waxwing-Object",
		Signature:        "Waxwing-Signature",
		ExpectedUpstream: "Waxwing-Expect",
		Load:             "Waxwing-Load",
		NotRun:           "Waxwing-Refused",
	}
}
