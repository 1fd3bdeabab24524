package laceprocess

import (
	"context"
	"os"
	"os/exec"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Process is a program that was started by this one.
type Process struct {
	command *exec.Cmd
	log     *os.File
	ended   chan struct{}
	err     error
}

// Start runs a program with its output in a file, to which it appends.
func Start(log, path string, args ...string) (*Process, error) {
	f, err := os.OpenFile(log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "process")
	}
	// Stop and Kill end the process; a context would add a third way without the pid.
	c := exec.CommandContext(context.Background(), path, args...)
	c.Stdout, c.Stderr = f, f
	// A group of its own keeps an interrupt of the terminal from ending the processes before the tool does.
	c.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := c.Start(); err != nil {
		_ = f.Close()
		return nil, errors.Wrap(err, "process")
	}
	p := &Process{
		command: c,
		log:     f,
		ended:   make(chan struct{}),
	}
	go p.wait()
	return p, nil
}

func (p *Process) wait() {
	defer close(p.ended)
	p.err = p.command.Wait()
	_ = p.log.Close()
}

// PID returns the process id.
func (p *Process) PID() int { return p.command.Process.Pid }

// Ended is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.ended }

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	_ = p.command.Process.Kill() // Fails only when the process has ended.
	<-p.ended
}

// Stop asks the process to end, and kills it after a time.
func (p *Process) Stop(patience time.Duration) {
	_ = p.command.Process.Signal(syscall.SIGTERM) // Fails only when the process has ended.
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case <-p.ended:
	case <-timer.C:
		p.Kill()
	}
}

// Freeze stops the process without ending it.
func (p *Process) Freeze() error { return p.signal(syscall.SIGSTOP) }

// Wake lets a frozen process go on.
func (p *Process) Resume() error { return p.signal(syscall.SIGCONT) }

// Hangup tells the process that its settings have changed.
func (p *Process) Hangup() error { return p.signal(syscall.SIGHUP) }

// signal fails with os.ErrProcessDone once the process has been waited for, so that a pid that is used again is not met.
func (p *Process) signal(s os.Signal) error {
	return errors.Wrap(p.command.Process.Signal(s), "process")
}
