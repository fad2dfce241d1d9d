package launcher

import (
	"bufio"
	"context"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// startTimeout bounds the wait for a started process to log its listen addresses.
const startTimeout = 20 * time.Second

const (
	startPollInterval = 10 * time.Millisecond
	maxStartLogBytes  = 1 << 20
)

// listeningMarker identifies the log line with the listen addresses of a process.
const listeningMarker = "msg=listening "

type (
	// Process is a child process started by this package.
	Process struct {
		Name string

		command      []string
		dir          string
		cmd          *exec.Cmd
		done         chan struct{}
		exitCode     int
		listenFields []logField
	}

	logField struct {
		key   string
		value string
	}
)

// start runs a program and waits until it has logged its listen addresses. Its
// output is appended to NAME.log in dir.
func start(ctx context.Context, dir, name string, command ...string) (*Process, error) {
	p := &Process{Name: name, command: command, dir: dir, done: make(chan struct{})}
	p.cmd = exec.Command(command[0], command[1:]...)
	// A process group of its own keeps the terminal's SIGINT from the child. The
	// kernel kills it when its parent ends.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	file, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_RDWR, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "opening the log file")
	}
	defer func() { _ = file.Close() }()
	offset, err := file.Seek(0, io.SeekEnd)
	if err != nil {
		return nil, errors.Wrap(err, "finding the end of the log file")
	}
	p.cmd.Stdout = file
	p.cmd.Stderr = file
	if err := p.cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "starting %s", name)
	}
	go p.waitForExit()
	if err := p.waitForListening(ctx, file, offset); err != nil {
		p.Kill()
		return nil, errors.Wrapf(err, "starting %s", name)
	}
	return p, nil
}

// Address returns the listen address that the process logged under a key, or ""
// if there is none.
func (p *Process) Address(key string) string {
	for _, kv := range p.listenFields {
		if kv.key == key {
			return kv.value
		}
	}
	return ""
}

// Kill sends SIGKILL and waits until the process has ended.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// Freeze suspends the process with SIGSTOP.
func (p *Process) Freeze() { p.signal(syscall.SIGSTOP) }

// Resume continues a suspended process with SIGCONT.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Terminate sends SIGTERM, which begins a graceful shutdown.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// Wait waits until the process has ended and returns its exit code.
func (p *Process) Wait() int {
	<-p.done
	return p.exitCode
}

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

func (p *Process) signal(s syscall.Signal) {
	select {
	case <-p.done:
		return
	default:
	}
	_ = p.cmd.Process.Signal(s)
}

// waitForExit waits for the process to end and records its exit code.
func (p *Process) waitForExit() {
	_ = p.cmd.Wait()
	p.exitCode = p.cmd.ProcessState.ExitCode()
	close(p.done)
}

// waitForListening polls the log until it has the line with the listen
// addresses. The log is a file and not a pipe, so that a process that logs much
// needs no reader that keeps up with it.
func (p *Process) waitForListening(ctx context.Context, file io.ReaderAt, offset int64) error {
	deadline := time.After(startTimeout)
	for {
		if p.findListening(io.NewSectionReader(file, offset, maxStartLogBytes)) {
			return nil
		}
		select {
		case <-time.After(startPollInterval):
		case <-p.done:
			return errors.New("the process ended during its start; see its log file")
		case <-deadline:
			return errors.New("the process did not log its listen addresses in time")
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (p *Process) findListening(log io.Reader) bool {
	lines := bufio.NewReader(log)
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			return false
		}
		if _, rest, ok := strings.Cut(line, listeningMarker); ok {
			for _, field := range strings.Fields(rest) {
				key, value, _ := strings.Cut(field, "=")
				p.listenFields = append(p.listenFields, logField{key: key, value: value})
			}
			return true
		}
	}
}
