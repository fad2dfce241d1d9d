package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingloom/waxwingloom/internal/stand/storekeeper"
	"github.com/waxwingloom/waxwingloom/platform"
)

const (
	// daemonProgram is what deploy/system.toml builds and runs.
	daemonProgram = "target/waxwingd"
	// settingsTemplate is the template of the settings that deploy/system.toml names.
	settingsTemplate = "deploy/waxwingd.ini"
	// restartDelay is the short delay after which the platform restarts a process.
	restartDelay = 500 * time.Millisecond
	// grace is the bound of the same name on the page of the sites.
	grace        = 6 * time.Second
	readyTimeout = 20 * time.Second
	// machineMemoryMB and machineDescriptors are those of a machine on the page of the sites.
	machineMemoryMB    = 284
	machineDescriptors = 4100
)

type (
	// location is a zone with its region.
	location struct{ zone, region string }

	// vm is an entry VM and its process.
	vm struct {
		name   string
		place  location
		front  string
		ready  string
		lookup string

		deployment *deployment
		settings   string

		mu      sync.Mutex
		cmd     *exec.Cmd
		started time.Time
		exited  chan struct{}
		stopped bool
		peakKB  int64
	}

	// deployment is a store, upstreams and daemons on loopback addresses.
	deployment struct {
		record    *record
		store     *storekeeper.Storekeeper
		storeAddr string
		dir       string
		host      string
		places    []location
		vms       []*vm
		closers   []func()
	}
)

// newDeployment starts the store.
func newDeployment(r *record, places []location) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	d := &deployment{
		record: r, store: storekeeper.New(clockwork.NewRealClock()), dir: dir, places: places,
		host: fmt.Sprintf("127.%d.%d.1", 1+pid%200, 1+pid/200%200),
	}
	d.closers = append(d.closers, func() { _ = os.RemoveAll(dir) })
	d.storeAddr, err = d.serve(d.store.Handler())
	return d, err
}

// serve serves HTTP at a free port and returns the address.
func (d *deployment) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(d.host, "0"))
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	d.closers = append(d.closers, func() { _ = server.Close() })
	return l.Addr().String(), nil
}

// freeAddress returns an address that nothing listens on.
func (d *deployment) freeAddress() (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(d.host, "0"))
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// configure writes a configuration to the store, as the operator does.
func (d *deployment) configure(config any) error {
	d.record.note("operator writes a configuration")
	return d.store.Write(platform.ConfigKind, platform.ConfigName, config)
}

// addVM renders the settings of a VM and starts its process.
func (d *deployment) addVM(name string, place location, seeds *[]string) (*vm, error) {
	v := &vm{name: name, place: place, deployment: d, settings: filepath.Join(d.dir, name+".conf")}
	var peers, operators string
	for _, address := range []*string{&v.front, &v.ready, &v.lookup, &peers, &operators} {
		var err error
		if *address, err = d.freeAddress(); err != nil {
			return nil, err
		}
	}
	*seeds = append(*seeds, peers)
	text, err := d.render(v, peers, operators, strings.Join(*seeds, ","))
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	d.vms = append(d.vms, v)
	return v, v.start()
}

// render fills in the template of the settings. The platform gives all VMs the same ports
// and addresses of their own; here the VMs share an address, so the operators' port is
// replaced too.
func (d *deployment) render(v *vm, peers, operators, seeds string) (string, error) {
	raw, err := os.ReadFile(settingsTemplate)
	if err != nil {
		return "", err
	}
	var zones strings.Builder
	for _, p := range d.places {
		fmt.Fprintf(&zones, "[zone %s]\nregion = %s\n", p.zone, p.region)
	}
	text := regexp.MustCompile(`(?s)\{\{#zones\}\}.*\{\{/zones\}\}`).ReplaceAllString(string(raw), zones.String())
	text = sectionOf("limits.memoryMb").ReplaceAllString(text, fmt.Sprintf("memory = %d\n", machineMemoryMB))
	text = sectionOf("limits.maxFds").ReplaceAllString(text, fmt.Sprintf("descriptors = %d\n", machineDescriptors))
	// The deployment of the cases has no client accounts.
	text = sectionOf(`bounds\.\w+`).ReplaceAllString(text, "")
	text = strings.NewReplacer(
		"{{nodeName}}", v.name, "{{zone}}", v.place.zone, "{{region}}", v.place.region,
		"{{listenAddrs.front}}", v.front, "{{ip}}:9600", operators, "{{listenAddrs.control}}", peers,
		"{{platform.address}}", d.storeAddr, "{{heartbeat}}", "1500ms", "{{seedNodes}}", seeds,
		"{{listenAddrs.ready}}", v.ready, "{{listenAddrs.directory}}", v.lookup,
		"{{bounds.grace}}", grace.String(), "{{bounds.configApply}}", "2000ms", "{{bounds.drainTimeout}}", "2000ms",
		"{{bounds.budgetWindow}}", "10s", "{{bounds.retryBudgetRatio}}", "0.2",
	).Replace(text)
	if at := strings.Index(text, "{{"); at >= 0 {
		return "", fmt.Errorf("the template has an unknown placeholder: %s", text[at:min(len(text), at+40)])
	}
	return text, nil
}

// sectionOf returns an expression for the sections of the template with a name.
func sectionOf(name string) *regexp.Regexp {
	return regexp.MustCompile(`(?s)\{\{#` + name + `\}\}.*?\{\{/` + name + `\}\}`)
}

// start starts the process as deploy/system.toml says.
func (v *vm) start() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.stopped {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(v.deployment.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(daemonProgram, "serve", "-settings", v.settings)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GOGC=200"}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	v.cmd, v.exited, v.started = cmd, exited, time.Now()
	v.deployment.record.note("%s: process %d started", v.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		v.deployment.record.note("%s: process %d ended: %v", v.name, cmd.Process.Pid, err)
		close(exited)
		time.Sleep(restartDelay)
		if err := v.start(); err != nil {
			v.deployment.record.note("%s: not started again: %v", v.name, err)
		}
	}()
	return nil
}

// signal sends a signal to the process.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.deployment.record.note("%s: process %d gets signal %s", v.name, v.cmd.Process.Pid, s)
	_ = v.cmd.Process.Signal(s)
}

// process returns the ID of the running process and a channel that is closed when it ends.
func (v *vm) process() (int, <-chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.cmd.Process.Pid, v.exited
}

// waitReady waits until the readiness check of every VM succeeds.
func (d *deployment) waitReady() error {
	end := time.Now().Add(readyTimeout)
	for _, v := range d.vms {
		for !v.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", v.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (v *vm) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + v.ready + platform.ReadyPath)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}

// resolve asks the VM's directory for the addresses that a client of its zone uses.
func (v *vm) resolve(host string) ([]string, error) {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(fmt.Sprintf("http://%s%s?name=%s&region=%s&zone=%s", v.lookup, platform.LookupPath, host, v.place.region, v.place.zone))
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	err = json.NewDecoder(resp.Body).Decode(&answer)
	return answer.Addresses, err
}

// enforceMemory kills each process whose anonymous memory exceeds a limit, as the platform
// does. Mapped files and unread bytes in the kernel are not counted, which favours the daemon.
func (d *deployment) enforceMemory(ctx context.Context, limitKB int64) {
	for ctx.Err() == nil {
		for _, v := range d.vms {
			pid, _ := v.process()
			used := anonymousKB(pid)
			v.mu.Lock()
			v.peakKB = max(v.peakKB, used)
			v.mu.Unlock()
			if used > limitKB {
				d.record.note("%s: process %d uses %d MiB, over the limit of %d MiB; the platform kills it", v.name, pid, used>>10, limitKB>>10)
				_ = syscall.Kill(pid, syscall.SIGKILL)
				_, exited := v.process()
				select {
				case <-exited:
				case <-time.After(time.Second):
				}
			}
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// anonymousKB returns the resident anonymous memory of a process.
func anonymousKB(pid int) int64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			n, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
			return n
		}
	}
	return 0
}

// close ends all processes and servers.
func (d *deployment) close() {
	for _, v := range d.vms {
		v.mu.Lock()
		v.stopped = true
		cmd, exited := v.cmd, v.exited
		v.mu.Unlock()
		if cmd == nil {
			continue
		}
		_ = cmd.Process.Kill()
		<-exited
	}
	for i := len(d.closers) - 1; i >= 0; i-- {
		d.closers[i]()
	}
}
