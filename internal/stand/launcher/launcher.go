// Package launcher starts a whole deployment as processes on loopback: a test
// double of the platform, one for each upstream of a steering document, and the
// daemons. The kernel chooses every port, so that deployments can run side by
// side. Only processes that the launcher started are ended, by process ID.
//
// # Usage
//
//	fleet, cleanup, err := launcher.Launch(ctx, launcher.Spec{ProgramDir: "bin", ExampleDir: "examples/lonestar"})
//	defer cleanup()
//	fleet.Daemons[0].Process.Kill()
package launcher

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"

	"github.com/waxwingloom/waxwingloom/internal/ctl/requester"
	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
	"github.com/waxwingloom/waxwingloom/internal/stand/cutter"
)

const (
	// OperatorToken is the bearer token of the only operator in the daemons' settings.
	OperatorToken = "stand-operator"
	// OperatorTokenHash is the SHA-256 of OperatorToken in hex.
	OperatorTokenHash = "0562408876f7c0b29261917d41827a57e689bc57140e3b6b9b434099b2fdd8ce"

	// PeerKey is the shared key that authenticates the daemons to each other.
	PeerKey = "a shared key of the stand"

	readyTimeout      = 40 * time.Second
	readyPollInterval = 50 * time.Millisecond
	anyPort           = "127.0.0.1:0"
)

type (
	// Spec describes a deployment. ProgramDir holds the programs and ExampleDir
	// the sections of the steering document. Settings and logs are written to
	// Dir. ProcessingTime is the time that an upstream takes for a request.
	Spec struct {
		ProgramDir     string
		ExampleDir     string
		Dir            string
		DaemonsPerZone int
		ProcessingTime time.Duration
		LogLevel       string
		Timing         Timing
		// PeerProxies puts a TCP proxy before every daemon's peer listener, so
		// that SetLink can delay or hold the traffic between two daemons.
		PeerProxies bool
	}

	// Timing overrides the daemons' intervals and timeouts. A zero value leaves
	// the default.
	Timing struct {
		HeartbeatInterval time.Duration
		SuspectTimeout    time.Duration
		DeadTimeout       time.Duration
		ListInterval      time.Duration
	}

	// Daemon is a daemon process with its VM name and location.
	Daemon struct {
		*Process
		VM     namer.VM
		Zone   namer.Zone
		Region namer.Region

		proxy *cutter.Cutter
		seeds []string
	}

	// Upstream is the process of an upstream with its entry in the document.
	Upstream struct {
		*Process
		parser.Upstream
	}

	// Fleet is a running deployment.
	Fleet struct {
		Spec      Spec
		Platform  *Process
		Upstreams []*Upstream
		Daemons   []*Daemon
		Document  *parser.Document
		// SourceAddresses are loopback addresses for callers, one in the network
		// block of each zone.
		SourceAddresses []string

		sources        parser.Sources
		otherProcesses []*Process
		cleanups       []func()
	}
)

// WriteExample writes a steering document to a folder, for use as
// Spec.ExampleDir. All sections except services and places are empty.
func WriteExample(dir, services, places string) error {
	for _, s := range parser.Sections() {
		text := ""
		switch s {
		case parser.Services:
			text = services
		case parser.Places:
			text = places
		case parser.Drains, parser.Limits, parser.Exceptions:
		}
		if err := os.WriteFile(filepath.Join(dir, string(s)+".ini"), []byte(text), 0o600); err != nil {
			return errors.Wrap(err, "writing a section")
		}
	}
	return nil
}

// Launch starts a deployment and waits until every daemon has a share of the
// upstreams and sees all others. The returned function kills all processes.
func Launch(ctx context.Context, spec Spec) (*Fleet, func(), error) {
	f := &Fleet{Spec: spec}
	if err := f.launch(ctx); err != nil {
		f.stop()
		return nil, nil, err
	}
	return f, f.stop, nil
}

// OperatorClient returns a client of a daemon's operator API.
func (f *Fleet) OperatorClient(d *Daemon) *requester.Requester {
	return requester.New(d.Address("operators"), OperatorToken)
}

// EntryAddresses returns the daemons' listen addresses for callers.
func (f *Fleet) EntryAddresses() []string {
	entries := make([]string, len(f.Daemons))
	for i, d := range f.Daemons {
		entries[i] = d.Address("callers")
	}
	return entries
}

// StartProgram runs a further program, which is killed with the deployment.
func (f *Fleet) StartProgram(ctx context.Context, name string, command ...string) (*Process, error) {
	p, err := start(ctx, f.Spec.Dir, name, command...)
	if err == nil {
		f.otherProcesses = append(f.otherProcesses, p)
	}
	return p, err
}

// ProgramPath returns the path of a program in Spec.ProgramDir.
func (f *Fleet) ProgramPath(name string) string {
	return filepath.Join(f.Spec.ProgramDir, name)
}

// Restart starts an ended daemon again with its previous listen addresses.
func (f *Fleet) Restart(ctx context.Context, d *Daemon) error {
	file := filepath.Join(f.Spec.Dir, string(d.VM)+".ini")
	settings := f.renderSettings(d, d.Address("callers"), d.Address("operators"), d.Address("peers"))
	if err := os.WriteFile(file, settings, 0o600); err != nil {
		return errors.Wrap(err, "writing settings")
	}
	p, err := start(ctx, f.Spec.Dir, string(d.VM), d.command...)
	if err == nil {
		d.Process = p
	}
	return err
}

// SetLink sets the delay of the traffic between two daemons, the same in each
// direction, and whether traffic from a to b and from b to a is held. It needs
// Spec.PeerProxies.
func (f *Fleet) SetLink(a, b *Daemon, delay time.Duration, holdAToB, holdBToA bool) {
	b.proxy.SetRule(a.VM, cutter.Rule{Delay: delay, HoldToDaemon: holdAToB, HoldFromDaemon: holdBToA})
	a.proxy.SetRule(b.VM, cutter.Rule{Delay: delay, HoldToDaemon: holdBToA, HoldFromDaemon: holdAToB})
}

// AddDaemon starts one more daemon in a zone, with all others as its seeds. The
// platform does not list it until PublishVMList is called.
func (f *Fleet) AddDaemon(ctx context.Context, z parser.Zone, vm namer.VM) (*Daemon, error) {
	d := &Daemon{VM: vm, Zone: z.Name, Region: z.Region}
	for _, other := range f.Daemons {
		d.seeds = append(d.seeds, other.PeerAddress())
	}
	if err := f.startDaemon(ctx, d); err != nil {
		return nil, err
	}
	f.Daemons = append(f.Daemons, d)
	return d, nil
}

// ApplySection replaces a section of the document through a daemon. It returns
// an error unless the edit is accepted.
func (f *Fleet) ApplySection(ctx context.Context, d *Daemon, s parser.Section, text []byte) (namer.Generation, error) {
	ctl := f.OperatorClient(d)
	base := namer.Generation(0)
	if sec, err := ctl.Section(ctx, s); err == nil {
		base = sec.Generation
	}
	id := fmt.Sprintf("%s-%d", s, time.Now().UnixNano())
	a, err := ctl.Apply(ctx, s, text, base, id)
	if err != nil {
		return 0, errors.Wrapf(err, "applying %s", s)
	}
	if a.Verdict != "accepted" {
		return 0, errors.Newf("applying %s: %s %s %s", s, a.Verdict, strings.Join(a.Problems, "; "), a.Reason)
	}
	return a.Generation, nil
}

func (f *Fleet) launch(ctx context.Context) error {
	if err := f.readExample(); err != nil {
		return err
	}
	var err error
	f.Platform, err = start(ctx, f.Spec.Dir, "platform", f.ProgramPath("waxwingstand"), "platform", "-listen", anyPort)
	if err != nil {
		return err
	}
	if err := f.startUpstreams(ctx); err != nil {
		return err
	}
	if err := f.startDaemons(ctx); err != nil {
		return err
	}
	if err := f.PublishVMList(ctx); err != nil {
		return err
	}
	for _, section := range parser.Sections() {
		if _, err := f.ApplySection(ctx, f.Daemons[0], section, f.sources.Text(section)); err != nil {
			return err
		}
	}
	return f.WaitUntilReady(ctx)
}

// readExample reads and parses the sections in Spec.ExampleDir.
func (f *Fleet) readExample() error {
	for _, section := range parser.Sections() {
		text, err := os.ReadFile(filepath.Join(f.Spec.ExampleDir, string(section)+".ini"))
		if err != nil {
			return errors.Wrap(err, "reading the example")
		}
		f.sources = append(f.sources, parser.Source{Section: section, Text: text})
	}
	doc, err := parser.Parse(f.sources)
	f.Document = doc
	return err
}

// startUpstreams starts the upstreams. The places section of the example has the
// addresses of a real deployment, so these are replaced by the upstreams' listen
// addresses, the loopback networks of the callers, and the number of VMs.
func (f *Fleet) startUpstreams(ctx context.Context) error {
	places, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, f.sources.Text(parser.Places))
	if err != nil {
		return errors.Wrap(err, "reading places")
	}
	for _, u := range f.Document.Upstreams {
		p, err := start(ctx, f.Spec.Dir, string(u.Name), f.ProgramPath("waxwingstand"), "upstream",
			"-listen", anyPort, "-name", string(u.Name), "-slots", strconv.Itoa(int(u.Slots)), "-work", f.Spec.ProcessingTime.String())
		if err != nil {
			return err
		}
		f.Upstreams = append(f.Upstreams, &Upstream{Process: p, Upstream: u})
		places.Section("upstream " + string(u.Name)).Key("address").SetValue(p.Address("address"))
	}
	for i, z := range f.Document.Zones {
		f.SourceAddresses = append(f.SourceAddresses, fmt.Sprintf("127.%d.0.1", i+11))
		places.Section("zone " + string(z.Name)).Key("vms").SetValue(strconv.Itoa(f.Spec.DaemonsPerZone))
	}
	for _, b := range f.Document.Blocks {
		places.Section("block " + b.Name).Key("net").SetValue(f.callerNetwork(b.Zone))
	}
	var text bytes.Buffer
	if _, err := places.WriteTo(&text); err != nil {
		return errors.Wrap(err, "writing places")
	}
	f.sources = f.sources.With(parser.Places, text.Bytes())
	f.Document, err = parser.Parse(f.sources)
	return err
}

func (f *Fleet) callerNetwork(zone namer.Zone) string {
	for i, z := range f.Document.Zones {
		if z.Name == zone {
			return fmt.Sprintf("127.%d.0.0/16", i+11)
		}
	}
	return ""
}

func (f *Fleet) startDaemons(ctx context.Context) error {
	if err := os.WriteFile(filepath.Join(f.Spec.Dir, "key"), []byte(PeerKey), 0o600); err != nil {
		return errors.Wrap(err, "writing the peer key")
	}
	for n := range f.Spec.DaemonsPerZone {
		for _, z := range f.Document.Zones {
			vm := namer.VM(fmt.Sprintf("%s-%d", z.Name, n+1))
			d := &Daemon{VM: vm, Zone: z.Name, Region: z.Region}
			if err := f.startDaemon(ctx, d); err != nil {
				return err
			}
			f.Daemons = append(f.Daemons, d)
		}
	}
	return nil
}

func (f *Fleet) startDaemon(ctx context.Context, d *Daemon) error {
	if f.Spec.PeerProxies {
		c, cleanup, err := cutter.New()
		if err != nil {
			return err
		}
		f.cleanups = append(f.cleanups, cleanup)
		d.proxy = c
	}
	file := filepath.Join(f.Spec.Dir, string(d.VM)+".ini")
	if err := os.WriteFile(file, f.renderSettings(d, anyPort, anyPort, anyPort), 0o600); err != nil {
		return errors.Wrap(err, "writing settings")
	}
	p, err := start(ctx, f.Spec.Dir, string(d.VM), f.ProgramPath("waxwingd"), "serve", "-settings", file)
	d.Process = p
	if err == nil && d.proxy != nil {
		d.proxy.SetTarget(p.Address("peers"))
	}
	return err
}

func (f *Fleet) renderSettings(d *Daemon, callers, operators, peers string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "[vm]\nname = %s\nzone = %s\nregion = %s\n", d.VM, d.Zone, d.Region)
	fmt.Fprintf(&b, "[listen]\ncallers = %s\noperators = %s\npeers = %s\n", callers, operators, peers)
	fmt.Fprintf(&b, "[platform]\naddress = %s\n", f.Platform.Address("address"))
	fmt.Fprintf(&b, "[peers]\nkey = %s\n", filepath.Join(f.Spec.Dir, "key"))
	if d.proxy != nil {
		fmt.Fprintf(&b, "advertise = %s\n", d.proxy.Address())
	}
	if len(d.seeds) > 0 {
		fmt.Fprintf(&b, "seeds = %s\n", strings.Join(d.seeds, ", "))
	}
	fmt.Fprintf(&b, "[log]\nlevel = %s\n[limits]\n[timing]\n", f.Spec.LogLevel)
	for _, kv := range []struct {
		key   string
		value time.Duration
	}{
		{"heartbeat", f.Spec.Timing.HeartbeatInterval},
		{"suspect", f.Spec.Timing.SuspectTimeout},
		{"dead", f.Spec.Timing.DeadTimeout},
		{"poll", f.Spec.Timing.ListInterval},
	} {
		if kv.value > 0 {
			fmt.Fprintf(&b, "%s = %s\n", kv.key, kv.value)
		}
	}
	fmt.Fprintf(&b, "[owner stand]\nhash = %s\nsections = services, places, drains, limits, exceptions\n", OperatorTokenHash)
	return b.Bytes()
}

// PublishVMList sets the platform's list of VMs to the daemons that are running.
func (f *Fleet) PublishVMList(ctx context.Context) error {
	var vms []storer.ListedVM
	for _, d := range f.Daemons {
		select {
		case <-d.Done():
			continue
		default:
		}
		vms = append(vms, storer.ListedVM{VM: d.VM, Zone: d.Zone, PeerAddress: d.PeerAddress()})
	}
	return Put(ctx, f.Platform.Address("address"), "/stand/vms", vms)
}

// PeerAddress returns the address at which other daemons connect to this one:
// its proxy's if it has one.
func (d *Daemon) PeerAddress() string {
	if d.proxy != nil {
		return d.proxy.Address()
	}
	return d.Address("peers")
}

// WaitUntilReady waits until every daemon has a share of upstreams and sees all
// other daemons as alive.
func (f *Fleet) WaitUntilReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, d := range f.Daemons {
		for {
			err := f.checkReady(ctx, d)
			if err == nil {
				break
			}
			select {
			case <-time.After(readyPollInterval):
			case <-ctx.Done():
				return errors.Wrapf(err, "waiting for %s", d.VM)
			}
		}
	}
	return nil
}

func (f *Fleet) checkReady(ctx context.Context, d *Daemon) error {
	var vars struct {
		Use []struct {
			Service string
			Whole   int
		} `json:"use"`
	}
	if err := f.OperatorClient(d).Metrics(ctx, &vars); err != nil {
		return err
	}
	whole := 0
	for _, u := range vars.Use {
		whole += u.Whole
	}
	if whole == 0 {
		return errors.New("the daemon has no share of any upstream yet")
	}
	rows, err := f.OperatorClient(d).Status(ctx)
	if err != nil {
		return err
	}
	alive := 0
	for _, r := range rows {
		if r.State == "alive" {
			alive++
		}
	}
	if alive < len(f.Daemons) {
		return errors.Newf("the daemon sees %d of %d entry VMs as alive", alive, len(f.Daemons))
	}
	return nil
}

// stop kills all processes. The platform comes last, after the programs that
// send requests, the daemons and the upstreams.
func (f *Fleet) stop() {
	for _, p := range f.processes() {
		p.Kill()
	}
	for _, cleanup := range f.cleanups {
		cleanup()
	}
}

func (f *Fleet) processes() []*Process {
	all := append([]*Process{}, f.otherProcesses...)
	for _, d := range f.Daemons {
		all = append(all, d.Process)
	}
	for _, u := range f.Upstreams {
		all = append(all, u.Process)
	}
	if f.Platform != nil {
		all = append(all, f.Platform)
	}
	return all
}
