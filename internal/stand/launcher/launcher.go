// Package launcher starts a whole deployment as processes on loopback: the
// stand-in platform, the upstreams of a steering document, and its daemons.
// Every port is taken from the kernel, so two deployments don't disturb each
// other. It ends what it started, by id.
//
// # Usage
//
//	fleet, cleanup, err := launcher.Launch(ctx, launcher.Spec{Programs: "bin", Example: "examples/lonestar"})
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
	// Token is the bearer token of the operator whom the daemons know.
	Token = "stand-operator"
	// TokenHash is its SHA-256 in hex.
	TokenHash = "0562408876f7c0b29261917d41827a57e689bc57140e3b6b9b434099b2fdd8ce"

	// Key is the shared key of the daemons.
	Key = "a shared key of the stand"

	readyTime  = 40 * time.Second
	readyPause = 50 * time.Millisecond
	anyPort    = "127.0.0.1:0"
)

type (
	// Spec says what to start. Work is how long an upstream works on one
	// request. Level is the daemons' log level.
	Spec struct {
		Programs string
		Example  string
		Dir      string
		PerZone  int
		Work     time.Duration
		Level    string
		Timing   Timing
		// Relays puts a relay before every daemon's listener for peers, so
		// that Link can slow and cut what travels between two daemons.
		Relays bool
	}

	// Timing is the daemons' intervals; zero values leave the defaults.
	Timing struct {
		Heartbeat time.Duration
		Suspect   time.Duration
		Dead      time.Duration
		Poll      time.Duration
	}

	// Daemon is a daemon with its place.
	Daemon struct {
		*Process
		VM     namer.VM
		Zone   namer.Zone
		Region namer.Region

		cutter *cutter.Cutter
		seeds  []string
	}

	// Upstream is an upstream with what the document says of it.
	Upstream struct {
		*Process
		parser.Upstream
	}

	// Fleet is a deployment.
	Fleet struct {
		Spec      Spec
		Platform  *Process
		Upstreams []*Upstream
		Daemons   []*Daemon
		Document  *parser.Document
		// Sources are loopback addresses of callers, one in each zone's block.
		Sources []string

		sources  parser.Sources
		others   []*Process
		cleanups []func()
	}
)

// WriteExample writes a steering document into a folder, for a Spec to name.
// The sections but services and places are empty.
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

// Launch starts a deployment and waits until every daemon is ready and holds
// its share. The clean-up ends all of it.
func Launch(ctx context.Context, spec Spec) (*Fleet, func(), error) {
	f := &Fleet{Spec: spec}
	if err := f.launch(ctx); err != nil {
		f.stop()
		return nil, nil, err
	}
	return f, f.stop, nil
}

// Ctl returns a client of a daemon's operators' listener.
func (f *Fleet) Ctl(d *Daemon) *requester.Requester {
	return requester.New(d.Address("operators"), Token)
}

// Entries returns where the daemons answer callers.
func (f *Fleet) Entries() []string {
	entries := make([]string, len(f.Daemons))
	for i, d := range f.Daemons {
		entries[i] = d.Address("callers")
	}
	return entries
}

// Start runs another program of this deployment's, ended by its clean-up.
func (f *Fleet) Start(ctx context.Context, name string, command ...string) (*Process, error) {
	p, err := start(ctx, f.Spec.Dir, name, command...)
	if err == nil {
		f.others = append(f.others, p)
	}
	return p, err
}

// Program returns the path of a program.
func (f *Fleet) Program(name string) string {
	return filepath.Join(f.Spec.Programs, name)
}

// Restart starts an ended daemon again, on the addresses that it had.
func (f *Fleet) Restart(ctx context.Context, d *Daemon) error {
	file := filepath.Join(f.Spec.Dir, string(d.VM)+".ini")
	settings := f.settings(d, d.Address("callers"), d.Address("operators"), d.Address("peers"))
	if err := os.WriteFile(file, settings, 0o600); err != nil {
		return errors.Wrap(err, "writing settings")
	}
	p, err := start(ctx, f.Spec.Dir, string(d.VM), d.command...)
	if err == nil {
		d.Process = p
	}
	return err
}

// Link sets what happens between two daemons: a delay each way, and a cut of
// what travels from a to b and from b to a.
func (f *Fleet) Link(a, b *Daemon, delay time.Duration, cutAB, cutBA bool) {
	b.cutter.SetRule(a.VM, cutter.Rule{Delay: delay, CutToward: cutAB, CutBack: cutBA})
	a.cutter.SetRule(b.VM, cutter.Rule{Delay: delay, CutToward: cutBA, CutBack: cutAB})
}

// Add starts one more daemon in a zone, with every other as its seeds. The
// platform's list does not have it until List is called.
func (f *Fleet) Add(ctx context.Context, z parser.Zone, vm namer.VM) (*Daemon, error) {
	d := &Daemon{VM: vm, Zone: z.Name, Region: z.Region}
	for _, other := range f.Daemons {
		d.seeds = append(d.seeds, other.Peers())
	}
	if err := f.startDaemon(ctx, d); err != nil {
		return nil, err
	}
	f.Daemons = append(f.Daemons, d)
	return d, nil
}

// Apply edits a section through a daemon.
func (f *Fleet) Apply(ctx context.Context, d *Daemon, s parser.Section, text []byte) (namer.Generation, error) {
	ctl := f.Ctl(d)
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
	if err := f.read(); err != nil {
		return err
	}
	var err error
	f.Platform, err = start(ctx, f.Spec.Dir, "platform", f.Program("waxwingstand"), "platform", "-listen", anyPort)
	if err != nil {
		return err
	}
	if err := f.startUpstreams(ctx); err != nil {
		return err
	}
	if err := f.startDaemons(ctx); err != nil {
		return err
	}
	if err := f.List(ctx); err != nil {
		return err
	}
	for _, section := range parser.Sections() {
		if _, err := f.Apply(ctx, f.Daemons[0], section, f.sources.Of(section)); err != nil {
			return err
		}
	}
	return f.AwaitShares(ctx)
}

// read takes the example's sections.
func (f *Fleet) read() error {
	for _, section := range parser.Sections() {
		text, err := os.ReadFile(filepath.Join(f.Spec.Example, string(section)+".ini"))
		if err != nil {
			return errors.Wrap(err, "reading the example")
		}
		f.sources = append(f.sources, parser.Source{Section: section, Text: text})
	}
	doc, err := parser.Parse(f.sources)
	f.Document = doc
	return err
}

// startUpstreams starts the upstreams, and writes where they listen and where
// callers are into the places, which name addresses of a real deployment.
func (f *Fleet) startUpstreams(ctx context.Context) error {
	places, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, f.sources.Of(parser.Places))
	if err != nil {
		return errors.Wrap(err, "reading places")
	}
	for _, u := range f.Document.Upstreams {
		p, err := start(ctx, f.Spec.Dir, string(u.Name), f.Program("waxwingstand"), "upstream",
			"-listen", anyPort, "-name", string(u.Name), "-slots", strconv.Itoa(int(u.Slots)), "-work", f.Spec.Work.String())
		if err != nil {
			return err
		}
		f.Upstreams = append(f.Upstreams, &Upstream{Process: p, Upstream: u})
		places.Section("upstream " + string(u.Name)).Key("address").SetValue(p.Address("address"))
	}
	for i, z := range f.Document.Zones {
		f.Sources = append(f.Sources, fmt.Sprintf("127.%d.0.1", i+11))
		places.Section("zone " + string(z.Name)).Key("vms").SetValue(strconv.Itoa(f.Spec.PerZone))
	}
	for _, b := range f.Document.Blocks {
		places.Section("block " + b.Name).Key("net").SetValue(f.block(b.Zone))
	}
	var text bytes.Buffer
	if _, err := places.WriteTo(&text); err != nil {
		return errors.Wrap(err, "writing places")
	}
	f.sources = f.sources.With(parser.Places, text.Bytes())
	f.Document, err = parser.Parse(f.sources)
	return err
}

func (f *Fleet) block(zone namer.Zone) string {
	for i, z := range f.Document.Zones {
		if z.Name == zone {
			return fmt.Sprintf("127.%d.0.0/16", i+11)
		}
	}
	return ""
}

func (f *Fleet) startDaemons(ctx context.Context) error {
	if err := os.WriteFile(filepath.Join(f.Spec.Dir, "key"), []byte(Key), 0o600); err != nil {
		return errors.Wrap(err, "writing the key")
	}
	for n := range f.Spec.PerZone {
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
	if f.Spec.Relays {
		c, cleanup, err := cutter.New()
		if err != nil {
			return err
		}
		f.cleanups = append(f.cleanups, cleanup)
		d.cutter = c
	}
	file := filepath.Join(f.Spec.Dir, string(d.VM)+".ini")
	if err := os.WriteFile(file, f.settings(d, anyPort, anyPort, anyPort), 0o600); err != nil {
		return errors.Wrap(err, "writing settings")
	}
	p, err := start(ctx, f.Spec.Dir, string(d.VM), f.Program("waxwingd"), "serve", "-settings", file)
	d.Process = p
	if err == nil && d.cutter != nil {
		d.cutter.SetTarget(p.Address("peers"))
	}
	return err
}

func (f *Fleet) settings(d *Daemon, callers, operators, peers string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "[vm]\nname = %s\nzone = %s\nregion = %s\n", d.VM, d.Zone, d.Region)
	fmt.Fprintf(&b, "[listen]\ncallers = %s\noperators = %s\npeers = %s\n", callers, operators, peers)
	fmt.Fprintf(&b, "[platform]\naddress = %s\n", f.Platform.Address("address"))
	fmt.Fprintf(&b, "[peers]\nkey = %s\n", filepath.Join(f.Spec.Dir, "key"))
	if d.cutter != nil {
		fmt.Fprintf(&b, "advertise = %s\n", d.cutter.Address())
	}
	if len(d.seeds) > 0 {
		fmt.Fprintf(&b, "seeds = %s\n", strings.Join(d.seeds, ", "))
	}
	fmt.Fprintf(&b, "[log]\nlevel = %s\n[limits]\n[timing]\n", f.Spec.Level)
	for _, kv := range []struct {
		key   string
		value time.Duration
	}{
		{"heartbeat", f.Spec.Timing.Heartbeat},
		{"suspect", f.Spec.Timing.Suspect},
		{"dead", f.Spec.Timing.Dead},
		{"poll", f.Spec.Timing.Poll},
	} {
		if kv.value > 0 {
			fmt.Fprintf(&b, "%s = %s\n", kv.key, kv.value)
		}
	}
	fmt.Fprintf(&b, "[owner stand]\nhash = %s\nsections = services, places, drains, limits, exceptions\n", TokenHash)
	return b.Bytes()
}

// List tells the platform which daemons are there.
func (f *Fleet) List(ctx context.Context) error {
	var vms []storer.ListedVM
	for _, d := range f.Daemons {
		select {
		case <-d.Ended():
			continue
		default:
		}
		vms = append(vms, storer.ListedVM{VM: d.VM, Zone: d.Zone, PeerAddress: d.Peers()})
	}
	return Put(ctx, f.Platform.Address("address"), "/stand/vms", vms)
}

// Peers returns where other daemons reach this one.
func (d *Daemon) Peers() string {
	if d.cutter != nil {
		return d.cutter.Address()
	}
	return d.Address("peers")
}

// AwaitShares waits until every daemon has a share of every service that its
// zone serves, and sees every other daemon.
func (f *Fleet) AwaitShares(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	for _, d := range f.Daemons {
		for {
			err := f.hasShare(ctx, d)
			if err == nil {
				break
			}
			select {
			case <-time.After(readyPause):
			case <-ctx.Done():
				return errors.Wrapf(err, "waiting for %s", d.VM)
			}
		}
	}
	return nil
}

func (f *Fleet) hasShare(ctx context.Context, d *Daemon) error {
	var vars struct {
		Use []struct {
			Service string
			Whole   int
		} `json:"use"`
	}
	if err := f.Ctl(d).Metrics(ctx, &vars); err != nil {
		return err
	}
	whole := 0
	for _, u := range vars.Use {
		whole += u.Whole
	}
	if whole == 0 {
		return errors.New("it has no share yet")
	}
	rows, err := f.Ctl(d).Status(ctx)
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
		return errors.Newf("it sees %d of %d entry VMs", alive, len(f.Daemons))
	}
	return nil
}

// stop ends every process, callers first and the platform last.
func (f *Fleet) stop() {
	for _, p := range f.processes() {
		p.Kill()
	}
	for _, cleanup := range f.cleanups {
		cleanup()
	}
}

func (f *Fleet) processes() []*Process {
	all := append([]*Process{}, f.others...)
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
