package laceprocess

import (
	"context"
	"os"
	"os/exec"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Process is a child process.
type Process struct {
	command *exec.Cmd
	log     *os.File
	done    chan struct{}
	err     error
}

// Start starts a program whose output is appended to a log file.
func Start(logPath, program string, args ...string) (*Process, error) {
	f, err := os.OpenFile(logPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "process")
	}
	// Only Stop and Kill terminate the process, through its pid; a cancelable context would be a third way.
	c := exec.CommandContext(context.Background(), program, args...)
	c.Stdout, c.Stderr = f, f
	// A separate process group keeps a terminal interrupt from terminating the process before the tool does.
	c.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := c.Start(); err != nil {
		_ = f.Close()
		return nil, errors.Wrap(err, "process")
	}
	p := &Process{
		command: c,
		log:     f,
		done:    make(chan struct{}),
	}
	go p.wait()
	return p, nil
}

func (p *Process) wait() {
	defer close(p.done)
	p.err = p.command.Wait()
	_ = p.log.Close()
}

// PID returns the process id.
func (p *Process) PID() int { return p.command.Process.Pid }

// Done returns a channel that is closed after the process has exited.
func (p *Process) Done() <-chan struct{} { return p.done }

// Kill kills the process with SIGKILL and waits for its exit.
func (p *Process) Kill() {
	_ = p.command.Process.Kill() // Fails only if the process has exited.
	<-p.done
}

// Stop sends SIGTERM, waits for the exit of the process and kills it after the timeout.
func (p *Process) Stop(timeout time.Duration) {
	_ = p.command.Process.Signal(syscall.SIGTERM) // Fails only if the process has exited.
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-p.done:
	case <-timer.C:
		p.Kill()
	}
}

// Freeze suspends the process with SIGSTOP.
func (p *Process) Freeze() error { return p.signal(syscall.SIGSTOP) }

// Resume continues a frozen process with SIGCONT.
func (p *Process) Resume() error { return p.signal(syscall.SIGCONT) }

// Hangup sends SIGHUP, upon which the process reloads its settings.
func (p *Process) Hangup() error { return p.signal(syscall.SIGHUP) }

// signal fails with os.ErrProcessDone after the process has been reaped, so that a process with a reused pid is never
// signaled.
func (p *Process) signal(s os.Signal) error {
	return errors.Wrap(p.command.Process.Signal(s), "process")
}
