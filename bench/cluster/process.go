package cluster

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Process is a child process of the bench, which signals it by its process ID.
type Process struct {
	command *exec.Cmd
	done    chan struct{}
	err     error
}

func startProcess(e *Entry) (runner, error) {
	notice := e.cluster.options.DrainNotice.String()
	command := exec.Command(e.cluster.options.Binary, "run", "--settings", e.settingsFile, "--drain-notice", notice)
	command.Env = append(os.Environ(), e.cluster.options.Environment...)
	return StartProcess(command, e.LogFile())
}

// StartProcess starts a command and appends its output to a file. The kernel kills the process when the
// bench ends.
func StartProcess(command *exec.Cmd, logFile string) (*Process, error) {
	log, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	command.Stdout = log
	command.Stderr = log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return nil, err
	}
	p := &Process{command: command, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		p.err = command.Wait()
	}()
	return p, nil
}

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

func (p *Process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Signal sends a signal to the process. It returns ErrNotRunning if the process has ended.
func (p *Process) Signal(s syscall.Signal) error {
	if !p.running() {
		return ErrNotRunning
	}
	return p.command.Process.Signal(s)
}

func (p *Process) terminate() error { return p.Signal(syscall.SIGTERM) }
func (p *Process) stop() error      { return p.Signal(syscall.SIGSTOP) }
func (p *Process) resume() error    { return p.Signal(syscall.SIGCONT) }
func (p *Process) kill() error      { return p.Signal(syscall.SIGKILL) }
func (p *Process) pid() int         { return p.command.Process.Pid }

// wait waits for the process to end. An end by SIGKILL is no error, as the bench itself sends it.
func (p *Process) wait(ctx context.Context) error {
	select {
	case <-p.done:
	case <-ctx.Done():
		return ctx.Err()
	}
	status, ok := p.command.ProcessState.Sys().(syscall.WaitStatus)
	if ok && status.Signaled() && status.Signal() == syscall.SIGKILL {
		return nil
	}
	return p.err
}

// clockTicksPerSecond is the unit of the times in /proc/PID/stat.
const clockTicksPerSecond = 100

// CPUTime returns the user and system CPU time that the entry's process has used.
func (e *Entry) CPUTime() (time.Duration, error) {
	if e.runner == nil {
		return 0, ErrNotRunning
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", e.runner.pid()))
	if err != nil {
		return 0, err
	}
	// The process name, in parentheses, may contain spaces. The indexes count from the field after it,
	// the process state.
	const userField, systemField = 11, 12
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	user, _ := strconv.ParseInt(fields[userField], 10, 64)
	system, _ := strconv.ParseInt(fields[systemField], 10, 64)
	return time.Duration(user+system) * time.Second / clockTicksPerSecond, nil
}

const bytesPerKiB = 1024

// ResidentBytes returns the resident memory of the entry's process.
func (e *Entry) ResidentBytes() (int64, error) {
	if e.runner == nil {
		return 0, ErrNotRunning
	}
	kib, err := procValue(e.runner.pid(), "status", "VmRSS")
	return kib * bytesPerKiB, err
}

// MaxResidentBytes returns the most resident memory that the process has had.
func (p *Process) MaxResidentBytes() (int64, error) {
	kib, err := p.ProcValue("status", "VmHWM")
	return kib * bytesPerKiB, err
}

// ProcValue returns the number after a key in a file of the process in /proc.
func (p *Process) ProcValue(file, key string) (int64, error) { return procValue(p.pid(), file, key) }

func procValue(pid int, file, key string) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, file))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if rest, found := strings.CutPrefix(line, key+":"); found {
			return strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
		}
	}
	return 0, fmt.Errorf("no %s in %s of process %d", key, file, pid)
}
