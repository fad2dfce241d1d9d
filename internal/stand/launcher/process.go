package launcher

import (
	"bufio"
	"context"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// startTime bounds the wait for a process to say where it listens.
const startTime = 20 * time.Second

// listening marks the log line in which a process says where it listens.
const listening = "msg=listening "

type (
	// Process is a process that this launcher started.
	Process struct {
		Name string

		command []string
		dir     string
		cmd     *exec.Cmd
		ready   chan struct{}
		ended   chan struct{}
		code    int

		mu     sync.Mutex
		listen []pair
	}

	pair struct {
		key   string
		value string
	}
)

// start runs a program and waits until it says where it listens. Its log goes
// to a file named after it.
func start(ctx context.Context, dir, name string, command ...string) (*Process, error) {
	p := &Process{Name: name, command: command, dir: dir, ready: make(chan struct{}), ended: make(chan struct{})}
	p.cmd = exec.Command(command[0], command[1:]...)
	// A group of its own keeps the terminal's interrupt from it; it ends with
	// its parent in any case.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	stderr, err := p.cmd.StderrPipe()
	if err != nil {
		return nil, errors.Wrap(err, "opening a pipe")
	}
	file, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "opening a log")
	}
	if err := p.cmd.Start(); err != nil {
		_ = file.Close()
		return nil, errors.Wrapf(err, "starting %s", name)
	}
	go p.follow(stderr, file)
	select {
	case <-p.ready:
		return p, nil
	case <-p.ended:
		return nil, errors.Newf("%s ended at its start, see its log", name)
	case <-time.After(startTime):
	case <-ctx.Done():
	}
	p.Kill()
	return nil, errors.Newf("%s did not start in time", name)
}

// Address returns where the process listens, by the key of its log line.
func (p *Process) Address(key string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, kv := range p.listen {
		if kv.key == key {
			return kv.value
		}
	}
	return ""
}

// Kill ends the process at once.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// Freeze stops the process without ending it.
func (p *Process) Freeze() { p.signal(syscall.SIGSTOP) }

// Resume lets a frozen process go on.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Terminate begins the process's planned stop.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// Wait returns the process's exit code once it has ended.
func (p *Process) Wait() int {
	<-p.ended
	return p.code
}

// Ended is closed when the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

func (p *Process) signal(s syscall.Signal) {
	select {
	case <-p.ended:
		return
	default:
	}
	_ = p.cmd.Process.Signal(s)
}

// follow copies the log and looks for the line that says where the process
// listens. It reaps the process at the end.
func (p *Process) follow(from io.Reader, to io.WriteCloser) {
	reader := bufio.NewReader(from)
	for {
		line, err := reader.ReadString('\n')
		_, _ = io.WriteString(to, line)
		if _, rest, ok := strings.Cut(line, listening); ok {
			p.noteListening(rest)
		}
		if err != nil {
			break
		}
	}
	_ = to.Close()
	_ = p.cmd.Wait()
	p.code = p.cmd.ProcessState.ExitCode()
	close(p.ended)
}

func (p *Process) noteListening(rest string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listen != nil {
		return
	}
	for _, field := range strings.Fields(rest) {
		key, value, _ := strings.Cut(field, "=")
		p.listen = append(p.listen, pair{key: key, value: value})
	}
	close(p.ready)
}
