package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

type (
	// daemon is a process of the system, started as the deploy file says.
	daemon struct {
		name                        string
		front, ready, lookup, peers string
		metrics                     string
		settings                    string
		cmd                         *exec.Cmd
		log                         *os.File
		done                        chan struct{}
	}

	// terms are the bounds that the settings file states.
	terms struct {
		grace, apply, drain string
		revoke              string
		memoryMB            int
		peers               []string
	}
)

// usualTerms are those of the deployments in demands/.
var usualTerms = terms{grace: "6s", apply: "3000ms", drain: "3000ms", memoryMB: 384}

// freeAddress returns a loopback address whose port was free.
func freeAddress() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// newDaemon returns a daemon of zone z1 in region r1 with its settings file, made after the
// template of the deploy file.
func newDaemon(dir, name, storeAddress string, t terms) (*daemon, error) {
	d := &daemon{
		name: name, front: freeAddress(), ready: freeAddress(), lookup: freeAddress(), peers: freeAddress(), metrics: freeAddress(),
		settings: filepath.Join(dir, name+".ini"),
	}
	seeds := append([]string{d.peers}, t.peers...)
	text := fmt.Sprintf("[vm]\nname = %s\nzone = z1\nregion = r1\n[listen]\ncallers = %s\noperators = %s\npeers = %s\n[platform]\naddress = %s\nbeat = 1500ms\n"+
		"[peers]\nkey = deploy/peers.key\nseeds = %s\n[limits]\nmemory = %d\ndescriptors = 8192\n[timing]\nheartbeat = 500ms\nsuspect = 1500ms\ndead = 5s\npoll = 10s\n"+
		"[routing]\nready = %s\nlookup = %s\ngrace = %s\napply = %s\ndrain = %s\nwindow = 10s\nresend = 0.2\n",
		name, d.front, d.metrics, d.peers, storeAddress, strings.Join(seeds, ","), t.memoryMB, d.ready, d.lookup, t.grace, t.apply, t.drain)
	if t.revoke != "" {
		text += "[accounts]\nrevoke = " + t.revoke + "\nwindow = 5s\noverage = 0.1\nslack = 20\n"
	}
	text += "[zone z1]\nregion = r1\n[zone z2]\nregion = r2\n"
	return d, os.WriteFile(d.settings, []byte(text), 0o600)
}

// start starts the process with the command of the deploy file.
func (d *daemon) start(dir string) error {
	var err error
	if d.log, err = os.Create(filepath.Join(dir, d.name+".log")); err != nil {
		return err
	}
	d.cmd = exec.Command("target/waxwingd", "serve", "-settings", d.settings)
	d.cmd.Env = append(os.Environ(), "GOGC=200")
	d.cmd.Stdout, d.cmd.Stderr = d.log, d.log
	if err := d.cmd.Start(); err != nil {
		return err
	}
	d.done = make(chan struct{})
	go func() {
		_ = d.cmd.Wait()
		close(d.done)
	}()
	return nil
}

// awaitReady waits until the readiness check is good.
func (d *daemon) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + d.ready + "/waxwingloom/readyz")
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s did not become ready", d.name)
}

func (d *daemon) signal(s syscall.Signal) {
	_ = d.cmd.Process.Signal(s)
}

// end kills the process if it still runs.
func (d *daemon) end() {
	if d.cmd == nil || d.cmd.Process == nil {
		return
	}
	select {
	case <-d.done:
	default:
		_ = d.cmd.Process.Kill()
		<-d.done
	}
	_ = d.log.Close()
}
