package loader

import (
	"time"

	"github.com/waxwingloom/waxwingloom/internal/config/checker"
)

// Schema returns the table of all sections and keys that the settings file may have.
func Schema() checker.Schema {
	return checker.Schema{Groups: []checker.Group{
		vmGroup(), listenGroup(), platformGroup(), peersGroup(), logGroup(), limitsGroup(), timingGroup(), ownerGroup(), routingGroup(), accountsGroup(), zoneGroup(),
	}}
}

func vmGroup() checker.Group {
	return checker.Group{Kind: "vm", Required: true, Doc: "who this daemon is", Keys: []checker.Key{
		{Name: "name", Kind: checker.Text, Required: true, Doc: "the VM's name, never used again once the VM is gone"},
		{Name: "zone", Kind: checker.Text, Required: true, Doc: "the VM's availability zone"},
		{Name: "region", Kind: checker.Text, Required: true, Doc: "the zone's region"},
	}}
}

func listenGroup() checker.Group {
	return checker.Group{Kind: "listen", Required: true, Doc: "the daemon's own addresses; port 0 takes a free one", Keys: []checker.Key{
		{Name: "callers", Kind: checker.Address, Required: true, Doc: "the listener for callers"},
		{Name: "operators", Kind: checker.Address, Required: true, Doc: "the listener for operators"},
		{Name: "peers", Kind: checker.Address, Required: true, Doc: "the listener for other entry VMs"},
	}}
}

func platformGroup() checker.Group {
	return checker.Group{Kind: "platform", Required: true, Doc: "the platform's object API", Keys: []checker.Key{
		{Name: "address", Kind: checker.Address, Required: true, Doc: "where the object API answers"},
		{Name: "beat", Kind: checker.Duration, Default: "1s", Min: int64(10 * time.Millisecond), Max: int64(time.Minute), Doc: "the interval at which upstreams report there; an entry outlives the loss of two reports"},
	}}
}

func peersGroup() checker.Group {
	return checker.Group{Kind: "peers", Required: true, Doc: "what entry VMs prove to each other", Keys: []checker.Key{
		{Name: "key", Kind: checker.Text, Required: true, Doc: "the file of the shared key, which this daemon uses itself; a relative path starts at the working folder, or else the settings' folder, or else the folder above the program's"},
		{Name: "seeds", Kind: checker.Text, Doc: "peers' addresses, separated by commas, to ask while the platform's list can't be read"},
		{Name: "advertise", Kind: checker.Address, Doc: "where peers reach this daemon, when that is not the address it listens on"},
		{Name: "next", Kind: checker.Text, Doc: "the file of a second key that is accepted while keys are changed; found like that of key"},
	}}
}

func logGroup() checker.Group {
	return checker.Group{Kind: "log", Doc: "the log on standard error", Keys: []checker.Key{
		{Name: "level", Kind: checker.Choice, Default: "info", Choices: []string{"debug", "info", "warn", "error"}, Doc: "the least level that is written"},
	}}
}

func limitsGroup() checker.Group {
	return checker.Group{Kind: "limits", Doc: "what callers may use of this daemon", Keys: []checker.Key{
		{Name: "head", Kind: checker.Number, Default: "16384", Min: 1024, Max: 1 << 20, Unit: "bytes", Doc: "the largest request head; above it 431"},
		{Name: "body", Kind: checker.Number, Default: "262144", Min: 1024, Max: 64 << 20, Unit: "bytes", Doc: "the largest request body; above it 413"},
		{Name: "answer", Kind: checker.Number, Default: "65536", Min: 0, Max: 1 << 20, Unit: "bytes", Doc: "the largest answer to a once-only request that is kept for a retry"},
		{Name: "read", Kind: checker.Duration, Default: "5s", Min: int64(10 * time.Millisecond), Max: int64(time.Minute), Doc: "the time within which a request must have been read; above it 408"},
		{Name: "bodies", Kind: checker.Number, Default: "0", Min: 0, Max: 1 << 40, Unit: "bytes", Doc: "the request bodies held at once for routes, above it 503, and as many of response bodies, above it streamed, or left out of answers to once-only requests; 0 sets no limit beside that of memory, and 67108864 for answers to once-only requests"},
		{Name: "memory", Kind: checker.Number, Default: "0", Min: 0, Max: 1 << 30, Unit: "MB", Doc: "the machine's memory in 10^6 bytes, half of which callers' connections and requests may take, above it 503 or a closed connection; the Go runtime keeps to three quarters of it; 0 takes GOMEMLIMIT, or what the operating system reports, and leaves the runtime as it is"},
		{Name: "descriptors", Kind: checker.Number, Default: "0", Min: 0, Max: 1 << 30, Unit: "descriptors", Doc: "the files and sockets that this process may open; 0 takes the limit of the operating system"},
		{Name: "connections", Kind: checker.Number, Default: "0", Min: 0, Max: 1 << 30, Unit: "connections", Doc: "callers' open connections, above it the one is closed that has stood still longest and holds most; 0 takes half of the descriptors"},
		{Name: "percaller", Kind: checker.Number, Default: "0", Min: 0, Max: 1 << 30, Unit: "connections", Doc: "open connections from one caller's address, above it the one of them is closed that has stood still longest and holds most; 0 takes three quarters of connections"},
		{Name: "requests", Kind: checker.Number, Default: "1024", Min: 1, Max: 1 << 20, Unit: "requests", Doc: "the requests in progress; above it 503"},
		{Name: "upstream", Kind: checker.Number, Default: "268435456", Min: 0, Max: 1 << 40, Unit: "bytes", Doc: "the requests that this VM has in progress at one upstream together; above it they go to another one, or 503; one request of any size may be there; 0 sets no limit"},
		{Name: "ahead", Kind: checker.Number, Default: "16", Min: 0, Max: 1024, Unit: "requests", Doc: "the requests of routes that are not once-only that are handled on a connection beside those before them; more wait; 0 handles one after the other"},
		{Name: "aheadbytes", Kind: checker.Number, Default: "65536", Min: 0, Max: 1 << 24, Unit: "bytes", Doc: "the bytes of these requests; more wait"},
		{Name: "tokens", Kind: checker.Number, Default: "100000", Min: 1, Max: 1 << 24, Unit: "tokens", Doc: "the once-only tokens remembered as owner, and as many as witness"},
	}}
}

func routingGroup() checker.Group {
	return checker.Group{Kind: "routing", Doc: "steering by routes with discovered upstreams; a daemon with addresses here serves routes in place of the once-only interface", Keys: []checker.Key{
		{Name: "ready", Kind: checker.Address, Doc: "the listener for checks of readiness"},
		{Name: "lookup", Kind: checker.Address, Doc: "the listener for callers' look-ups"},
		{Name: "ttl", Kind: checker.Duration, Default: "2s", Min: int64(100 * time.Millisecond), Max: int64(time.Hour), Doc: "how long callers may keep a look-up's answer"},
		{Name: "grace", Kind: checker.Duration, Default: "6s", Min: int64(100 * time.Millisecond), Max: int64(time.Hour), Doc: "the time between the signal to stop and a kill"},
		{Name: "apply", Kind: checker.Duration, Default: "2s", Min: int64(100 * time.Millisecond), Max: int64(time.Hour), Doc: "the time within which a change of the platform's configuration must be in force"},
		{Name: "drain", Kind: checker.Duration, Default: "2s", Min: int64(100 * time.Millisecond), Max: int64(time.Hour), Doc: "the time within which a draining upstream must get nothing more"},
		{Name: "resend", Kind: checker.Ratio, Default: "0.1", Doc: "second sends as a part of callers' requests"},
		{Name: "window", Kind: checker.Duration, Default: "10s", Min: int64(time.Second), Max: int64(time.Hour), Doc: "the time over which second sends are counted"},
	}}
}

func accountsGroup() checker.Group {
	return checker.Group{Kind: "accounts", Doc: "the terms of client accounts; they take effect where the document has accounts", Keys: []checker.Key{
		{Name: "revoke", Kind: checker.Duration, Default: "0s", Min: 0, Max: int64(time.Hour), Doc: "the time after which a withdrawn key must run nowhere, also at VMs out of touch; 0s means that only VMs in touch are bound"},
		{Name: "window", Kind: checker.Duration, Default: "5s", Min: int64(100 * time.Millisecond), Max: int64(time.Hour), Doc: "the time over which an account's requests are counted against its limit"},
		{Name: "overage", Kind: checker.Ratio, Default: "0", Doc: "how far all VMs together may exceed an account's limit in a window, as a part of it"},
		{Name: "slack", Kind: checker.Number, Default: "0", Min: 0, Max: 1000000, Unit: "requests", Doc: "how many requests they may exceed it by in addition"},
	}}
}

func zoneGroup() checker.Group {
	return checker.Group{Kind: "zone", Named: true, Doc: "an availability zone of the deployment, for steering by routes", Keys: []checker.Key{
		{Name: "region", Kind: checker.Text, Required: true, Doc: "the zone's region"},
	}}
}

func timingGroup() checker.Group {
	return checker.Group{Kind: "timing", Doc: "the daemon's intervals", Keys: []checker.Key{
		{Name: "heartbeat", Kind: checker.Duration, Default: "500ms", Min: int64(10 * time.Millisecond), Max: int64(time.Minute), Doc: "the interval between heartbeats to a peer"},
		{Name: "suspect", Kind: checker.Duration, Default: "1500ms", Min: int64(20 * time.Millisecond), Max: int64(time.Minute), Doc: "the silence after which a peer is suspect"},
		{Name: "dead", Kind: checker.Duration, Default: "5s", Min: int64(50 * time.Millisecond), Max: int64(time.Hour), Doc: "the silence after which a peer is dead"},
		{Name: "poll", Kind: checker.Duration, Default: "2s", Min: int64(50 * time.Millisecond), Max: int64(time.Minute), Doc: "the interval between reads of the platform's list of VMs"},
		{Name: "token", Kind: checker.Duration, Default: "2m", Min: int64(time.Second), Max: int64(time.Hour), Doc: "the time for which a token may be used"},
	}}
}

func ownerGroup() checker.Group {
	return checker.Group{Kind: "owner", Named: true, Doc: "an operator who may edit sections of the document", Keys: []checker.Key{
		{Name: "hash", Kind: checker.Text, Required: true, Doc: "the SHA-256 of the operator's bearer token, in hex"},
		{Name: "sections", Kind: checker.Text, Required: true, Doc: "the sections that this operator may edit, separated by commas"},
	}}
}
