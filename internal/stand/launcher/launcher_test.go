package launcher_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/front/responder"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/stand/demonstrator"
	"github.com/waxwingloom/waxwingloom/internal/stand/driver"
	"github.com/waxwingloom/waxwingloom/internal/stand/launcher"
	"github.com/waxwingloom/waxwingloom/internal/stand/storekeeper"
	"github.com/waxwingloom/waxwingloom/internal/stand/worker"
)

const (
	// testTimeout only keeps a broken test from hanging, so it is long.
	testTimeout = 60 * time.Second
	// attemptTimeout must be longer than any planned pause of a healthy system.
	attemptTimeout = 5 * time.Second
)

// programDir holds the programs under test, built with the race detector.
var programDir string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "waxwing-programs-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	out, err := exec.Command("go", "build", "-race", "-o", dir+"/", "../../../cmd/...").CombinedOutput()
	if err != nil {
		fmt.Fprintln(os.Stderr, string(out))
		return 1
	}
	programDir = dir
	return m.Run()
}

const services = `[service desk]
ttl = 1s
refusal = 503
retry = 50
[class desk/stock]
path = /stock
deadline = 3s
[class desk/order]
method = POST
path = /orders
once = yes
deadline = 3s
`

// writeExample writes a document with two zones of two upstreams each and
// returns its folder.
func writeExample(t *testing.T) string {
	dir := t.TempDir()
	places := ""
	for _, z := range []string{"za", "zb"} {
		places += fmt.Sprintf("[zone %s]\nregion = r\nvms = 2\n[block %s]\nnet = 10.0.0.0/8\nzone = %s\n", z, z, z)
		for i := range 2 {
			places += fmt.Sprintf("[upstream %s%d]\nservice = desk\nzone = %s\naddress = 10.0.0.1:80\nslots = 6\nconns = 60\n", z, i, z)
		}
	}
	assert.NilError(t, launcher.WriteExample(dir, services, places))
	return dir
}

func launch(t *testing.T) (*launcher.Fleet, context.Context) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	fleet, cleanup, err := launcher.Launch(ctx, launcher.Spec{
		ProgramDir: programDir, ExampleDir: writeExample(t), Dir: t.TempDir(), DaemonsPerZone: 2, ProcessingTime: 5 * time.Millisecond, LogLevel: "info", PeerProxies: true,
		Timing: launcher.Timing{HeartbeatInterval: 100 * time.Millisecond, SuspectTimeout: time.Second, DeadTimeout: 3 * time.Second, ListInterval: 200 * time.Millisecond},
	})
	assert.NilError(t, err)
	t.Cleanup(cleanup)
	return fleet, ctx
}

// startLoad starts sending reads and orders for a time. The returned function
// waits for the end and returns the load generator's report.
func startLoad(ctx context.Context, t *testing.T, f *launcher.Fleet, d time.Duration) func() driver.Report {
	done := make(chan driver.Report, 1)
	go func() {
		r, err := driver.Run(ctx, driver.Plan{
			EntryAddresses: f.EntryAddresses(), SourceAddresses: f.SourceAddresses, Duration: d, AttemptTimeout: attemptTimeout, Seed: 1,
			Loads: []driver.Load{
				{Service: "desk", Class: "stock", Method: "GET", Path: "/stock", Weight: 1, RatePerSecond: 60, ResponseBytes: 2000},
				{Service: "desk", Class: "order", Method: "POST", Path: "/orders", OnceOnly: true, Weight: 1, RatePerSecond: 40, RequestBytes: 100},
			},
		})
		assert.Check(t, err == nil, "%v", err)
		done <- r
	}()
	return func() driver.Report { return <-done }
}

// checkOutcomes fails the test if an outcome that a caller got contradicts the
// upstreams' journals, if a caller got the response to another request, or if an
// upstream had more weight in flight than slots.
func checkOutcomes(ctx context.Context, t *testing.T, f *launcher.Fleet, r driver.Report) demonstrator.OutcomeCheck {
	journal, err := demonstrator.ReadJournals(ctx, f.Upstreams)
	assert.NilError(t, err)
	v := demonstrator.CheckOutcomes(r.TokenUses, journal)
	assert.Equal(t, v.Duplicated, 0)
	assert.Equal(t, v.FalseNotRun, 0)
	assert.Equal(t, v.FalseRan, 0)
	assert.Equal(t, r.Mismatched, 0)
	for _, u := range f.Upstreams {
		var s worker.Stats
		assert.NilError(t, launcher.Get(ctx, u.Process.Address("address"), "/stand/stats", &s))
		assert.Equal(t, s.OverSlots, 0, "%s was given %d of %d slots", u.Process.Name, s.MostUsed, s.Slots)
	}
	return v
}

// TestPlannedStop shuts down a daemon gracefully under load. Every request of
// the callers must be answered.
func TestPlannedStop(t *testing.T) {
	f, ctx := launch(t)
	report := startLoad(ctx, t, f, 5*time.Second)
	f.Daemons[0].Terminate()
	assert.Equal(t, f.Daemons[0].Wait(), 0)
	r := report()
	checkOutcomes(ctx, t, f, r)
	assert.Equal(t, r.Answered, r.Requests, "%+v", r.Reasons)
	assert.Equal(t, len(r.Reasons), 0, "%+v", r.Reasons)
}

// TestKillAndRestart kills a daemon under load and starts it again with the same
// addresses. Every read must be answered.
func TestKillAndRestart(t *testing.T) {
	f, ctx := launch(t)
	report := startLoad(ctx, t, f, 4*time.Second)
	time.Sleep(time.Second)
	f.Daemons[0].Kill()
	assert.NilError(t, f.Restart(ctx, f.Daemons[0]))
	r := report()
	checkOutcomes(ctx, t, f, r)
	assert.Equal(t, r.ReadsAnswered, r.Reads, "%+v", r.Reasons)
}

// TestFreeze suspends a daemon for longer than the timeouts of intents and
// heartbeats, then resumes it. Outcomes must still agree with the journals.
func TestFreeze(t *testing.T) {
	f, ctx := launch(t)
	report := startLoad(ctx, t, f, 6*time.Second)
	time.Sleep(500 * time.Millisecond)
	f.Daemons[1].Freeze()
	time.Sleep(4 * time.Second)
	f.Daemons[1].Resume()
	checkOutcomes(ctx, t, f, report())
}

// TestPlatformDown kills the platform before the load starts. All requests must
// be answered, and a new daemon must get the document from its peers.
func TestPlatformDown(t *testing.T) {
	f, ctx := launch(t)
	f.Platform.Kill()
	report := startLoad(ctx, t, f, 2*time.Second)
	added, err := f.AddDaemon(ctx, f.Document.Zones[0], "za-new")
	assert.NilError(t, err)
	waitFor(ctx, t, func() error {
		resp, err := http.Get("http://" + added.Address("callers") + "/v1/ready")
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("status %d", resp.StatusCode)
		}
		return nil
	})
	r := report()
	v := checkOutcomes(ctx, t, f, r)
	assert.Equal(t, r.Answered, r.Requests, "%+v", r.Reasons)
	assert.Equal(t, v.Ran, r.Requests-r.Reads)
}

// TestEditReachesAllDaemons applies an edit and then restores the platform from
// an older copy. Every daemon must apply the edit, and none may go back to the
// older generation.
func TestEditReachesAllDaemons(t *testing.T) {
	f, ctx := launch(t)
	platform := f.Platform.Address("address")
	assert.NilError(t, launcher.Post(ctx, platform, "/stand/save"))
	g, err := f.ApplySection(ctx, f.Daemons[2], parser.Drains, []byte("[drain d]\nkind = upstream\ntarget = za0\n"))
	assert.NilError(t, err)
	for _, d := range f.Daemons {
		waitFor(ctx, t, func() error { return checkGeneration(ctx, f, d, g) })
	}
	assert.NilError(t, launcher.Post(ctx, platform, "/stand/restore"))
	stale := 0
	waitFor(ctx, t, func() error {
		stale = 0
		for _, d := range f.Daemons {
			var vars struct{ Stale int }
			if err := f.OperatorClient(d).Metrics(ctx, &vars); err != nil {
				return err
			}
			stale += vars.Stale
		}
		if stale == 0 {
			return fmt.Errorf("no daemon has seen the older copy yet")
		}
		return nil
	})
	for _, d := range f.Daemons {
		assert.NilError(t, checkGeneration(ctx, f, d, g))
	}
}

// TestStoreOutageRefusesOnlyEdits starts a store outage. An edit must fail, and
// requests must still be answered by the document in force.
func TestStoreOutageRefusesOnlyEdits(t *testing.T) {
	f, ctx := launch(t)
	assert.NilError(t, launcher.Put(ctx, f.Platform.Address("address"), "/stand/faults", storekeeper.Faults{Outage: true}))
	_, err := f.ApplySection(ctx, f.Daemons[0], parser.Drains, []byte("# none\n"))
	assert.ErrorContains(t, err, "failed")
	r := startLoad(ctx, t, f, time.Second)()
	checkOutcomes(ctx, t, f, r)
	assert.Equal(t, r.Answered, r.Requests, "%+v", r.Reasons)
}

func checkGeneration(ctx context.Context, f *launcher.Fleet, d *launcher.Daemon, g namer.Generation) error {
	var vars struct{ Generation namer.Generation }
	if err := f.OperatorClient(d).Metrics(ctx, &vars); err != nil {
		return err
	}
	if vars.Generation != g {
		return fmt.Errorf("%s has generation %d, not %d", d.VM, vars.Generation, g)
	}
	return nil
}

func waitFor(ctx context.Context, t *testing.T, check func() error) {
	for {
		err := check()
		if err == nil {
			return
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
			t.Fatal(err)
		}
	}
}

// TestPlannedStopWithSpills shuts down a daemon while it serves long requests
// spilled from another zone, whose upstreams are all drained. None may be broken
// off. There are as many requests as one daemon has slots, so that none waits for
// a slot until its deadline, whichever daemon gets them.
func TestPlannedStopWithSpills(t *testing.T) {
	f, ctx := launch(t)
	drains := "[drain a]\nkind = upstream\ntarget = za0\n[drain b]\nkind = upstream\ntarget = za1\n"
	g, err := f.ApplySection(ctx, f.Daemons[0], parser.Drains, []byte(drains))
	assert.NilError(t, err)
	for _, d := range f.Daemons {
		waitFor(ctx, t, func() error { return checkGeneration(ctx, f, d, g) })
	}
	for _, u := range f.Upstreams {
		assert.NilError(t, launcher.Put(ctx, u.Process.Address("address"), "/stand/faults", worker.Faults{Work: 2200 * time.Millisecond}))
	}
	outcomes := make(chan string, 6)
	for range cap(outcomes) {
		go func() { outcomes <- sendOrder(ctx, f.Daemons[0]) }()
	}
	var stopped *launcher.Daemon
	waitFor(ctx, t, func() error {
		stopped = f.Daemons[1]
		if checkInFlight(ctx, f, stopped) == nil {
			return nil
		}
		stopped = f.Daemons[3]
		return checkInFlight(ctx, f, stopped)
	})
	stopped.Terminate()
	assert.Equal(t, stopped.Wait(), 0)
	for range cap(outcomes) {
		outcome := <-outcomes
		assert.Check(t, outcome == "ran", "outcome %s", outcome)
	}
}

// sendOrder gets a token from a daemon, sends an order with it to the same
// daemon, and returns the outcome or the error's text.
func sendOrder(ctx context.Context, d *launcher.Daemon) string {
	base := "http://" + d.Address("callers") + "/v1/"
	resp, err := post(ctx, base+"tokens?service=desk", "")
	if err != nil {
		return err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	var a responder.TokensResponse
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil || len(a.Tokens) != 1 {
		return "no token"
	}
	resp, err = post(ctx, base+"s/desk/orders", a.Tokens[0])
	if err != nil {
		return err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.Header.Get(responder.OutcomeHeader)
}

func post(ctx context.Context, target, token string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set(responder.TokenHeader, token)
	return http.DefaultClient.Do(req)
}

// checkInFlight returns an error if a daemon has nothing in flight.
func checkInFlight(ctx context.Context, f *launcher.Fleet, d *launcher.Daemon) error {
	var vars struct{ Use []struct{ InFlight int } }
	if err := f.OperatorClient(d).Metrics(ctx, &vars); err != nil {
		return err
	}
	if vars.Use[0].InFlight == 0 {
		return fmt.Errorf("%s has nothing in flight", d.VM)
	}
	return nil
}

// TestZonePartition cuts the zones off from each other and from the platform.
// Each zone must answer orders and reads, and must get an edit after the
// partition has healed.
func TestZonePartition(t *testing.T) {
	f, ctx := launch(t)
	platform := f.Platform.Address("address")
	partition := func(off bool) {
		for _, a := range f.Daemons {
			for _, b := range f.Daemons {
				if a.Zone < b.Zone {
					f.SetLink(a, b, 0, off, off)
				}
			}
		}
		assert.NilError(t, launcher.Put(ctx, platform, "/stand/faults", storekeeper.Faults{Outage: off}))
	}
	partition(true)
	for _, d := range f.Daemons {
		waitFor(ctx, t, func() error { return checkSeesOnlyOwnZone(ctx, f, d) })
	}
	r := startLoad(ctx, t, f, 2*time.Second)()
	v := checkOutcomes(ctx, t, f, r)
	assert.Equal(t, r.Answered, r.Requests, "%+v", r.Reasons)
	assert.Equal(t, v.Ran, r.Requests-r.Reads)
	partition(false)
	g, err := f.ApplySection(ctx, f.Daemons[0], parser.Exceptions, []byte("# healed\n"))
	assert.NilError(t, err)
	for _, d := range f.Daemons {
		waitFor(ctx, t, func() error { return checkGeneration(ctx, f, d, g) })
	}
}

// checkSeesOnlyOwnZone returns an error unless a daemon sees exactly the VMs of
// its own zone as alive.
func checkSeesOnlyOwnZone(ctx context.Context, f *launcher.Fleet, d *launcher.Daemon) error {
	rows, err := f.OperatorClient(d).Status(ctx)
	if err != nil {
		return err
	}
	for _, r := range rows {
		if (r.Zone == d.Zone) != (r.State == "alive") {
			return fmt.Errorf("%s sees %s as %s", d.VM, r.VM, r.State)
		}
	}
	return nil
}
