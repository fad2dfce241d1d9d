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

// startTime bounds the wait for a process to say where it listens.
const startTime = 20 * time.Second

const (
	startPause  = 10 * time.Millisecond
	maxStartLog = 1 << 20
)

// listening marks the log line in which a process says where it listens.
const listening = "msg=listening "

type (
	// Process is a process that this launcher started.
	Process struct {
		Name string

		command []string
		dir     string
		cmd     *exec.Cmd
		ended   chan struct{}
		code    int
		listen  []pair
	}

	pair struct {
		key   string
		value string
	}
)

// start runs a program and waits until it says where it listens. Its log goes
// to a file named after it.
func start(ctx context.Context, dir, name string, command ...string) (*Process, error) {
	p := &Process{Name: name, command: command, dir: dir, ended: make(chan struct{})}
	p.cmd = exec.Command(command[0], command[1:]...)
	// A group of its own keeps the terminal's interrupt from it; it ends with
	// its parent in any case.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	file, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_RDWR, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "opening a log")
	}
	defer func() { _ = file.Close() }()
	begin, err := file.Seek(0, io.SeekEnd)
	if err != nil {
		return nil, errors.Wrap(err, "opening a log")
	}
	p.cmd.Stdout = file
	p.cmd.Stderr = file
	if err := p.cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "starting %s", name)
	}
	go p.reap()
	if err := p.awaitListening(ctx, file, begin); err != nil {
		p.Kill()
		return nil, errors.Wrapf(err, "starting %s", name)
	}
	return p, nil
}

// Address returns where the process listens, by the key of its log line.
func (p *Process) Address(key string) string {
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

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.ended }

func (p *Process) signal(s syscall.Signal) {
	select {
	case <-p.ended:
		return
	default:
	}
	_ = p.cmd.Process.Signal(s)
}

// reap notes how the process ended.
func (p *Process) reap() {
	_ = p.cmd.Wait()
	p.code = p.cmd.ProcessState.ExitCode()
	close(p.ended)
}

// awaitListening reads the log until the line that says where the process
// listens. The log is a file, so that a busy process costs its reader nothing.
func (p *Process) awaitListening(ctx context.Context, file io.ReaderAt, begin int64) error {
	deadline := time.After(startTime)
	for {
		if p.findListening(io.NewSectionReader(file, begin, maxStartLog)) {
			return nil
		}
		select {
		case <-time.After(startPause):
		case <-p.ended:
			return errors.New("it ended at its start, see its log")
		case <-deadline:
			return errors.New("it did not say in time where it listens")
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
		if _, rest, ok := strings.Cut(line, listening); ok {
			for _, field := range strings.Fields(rest) {
				key, value, _ := strings.Cut(field, "=")
				p.listen = append(p.listen, pair{key: key, value: value})
			}
			return true
		}
	}
}
