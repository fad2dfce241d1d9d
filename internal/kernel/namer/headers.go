package namer

// HeaderNames holds the names of the HTTP headers that callers of routes, entry VMs and
// discovered upstreams exchange.
type HeaderNames struct {
	// AttemptID identifies one attempt of a caller. Upstreams return it in the response.
	AttemptID string
	// RemainingMs is the time until the sender's deadline, in milliseconds.
	RemainingMs string
	// AffinityKey names the object that a request concerns.
	AffinityKey string
	// Signature marks a response as sent by an upstream itself.
	Signature string
	// ExpectedUpstream names the upstream that the request is for. Any other upstream
	// refuses it.
	ExpectedUpstream string
	// Load is the number of an upstream's running requests, its waiting requests and its
	// slots.
	Load string
	// NotRun states that the upstream did not run the request.
	NotRun string
	// Leaving is 1 in the responses of an upstream that is about to shut down.
	Leaving string
	// Account tells the upstream the account of a request. Callers can't set it.
	Account string
}

// WaxwingHeaderNames returns the header names of the project's own interface.
func WaxwingHeaderNames() HeaderNames {
	return HeaderNames{
		AttemptID:        "Waxwing-Attempt",
		RemainingMs:      "Waxwing-Timeout",
		AffinityKey:      "Waxwing-Object",
		Signature:        "Waxwing-Signature",
		ExpectedUpstream: "Waxwing-Expect",
		Load:             "Waxwing-Load",
		NotRun:           "Waxwing-Refused",
		Leaving:          "Waxwing-Leaving",
		Account:          "Waxwing-Account",
	}
}
