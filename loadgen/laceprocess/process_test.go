package laceprocess

import (
	"errors"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"
)

func start(t *testing.T, script string) (*Process, string) {
	t.Helper()
	log := filepath.Join(t.TempDir(), "log")
	p, err := Start(log, "/bin/sh", "-c", script)
	if err != nil {
		t.Fatal(err)
	}
	return p, log
}

// Guards against processes that outlive the tool: one that ends when asked, one that does not, and one that is killed.
func TestNoProcessIsLeft(t *testing.T) {
	for name, c := range map[string]struct {
		script string
		end    func(p *Process)
	}{
		"asked":    {script: "exec sleep 60", end: func(p *Process) { p.Stop(time.Minute) }},
		"stubborn": {script: "trap '' TERM; while :; do sleep 0.01; done", end: func(p *Process) { p.Stop(50 * time.Millisecond) }},
		"killed":   {script: "exec sleep 60", end: (*Process).Kill},
		"ended":    {script: "exit 3", end: func(p *Process) { p.Stop(time.Minute) }},
	} {
		t.Run(name, func(t *testing.T) {
			p, _ := start(t, c.script)
			c.end(p)
			if _, err := os.Stat("/proc/" + strconv.Itoa(p.PID())); err == nil {
				t.Error("the process is still there")
			}
		})
	}
}

// Guards against output that is lost.
func TestOutputIsKept(t *testing.T) {
	p, log := start(t, "echo out; echo err >&2")
	<-p.Done()
	text, err := os.ReadFile(log)
	if err != nil || string(text) != "out\nerr\n" {
		t.Errorf("%q, %v", text, err)
	}
}

// Guards against a frozen process that goes on, and one that stays frozen.
func TestFrozenProcessesWait(t *testing.T) {
	p, _ := start(t, "trap 'exit 3' HUP; while :; do sleep 0.01; done")
	defer p.Kill()
	state := func(want bool) {
		ticker := time.NewTicker(time.Millisecond)
		defer ticker.Stop()
		for range 2000 {
			text, err := os.ReadFile("/proc/" + strconv.Itoa(p.PID()) + "/stat")
			if err != nil {
				t.Fatal(err)
			}
			if strings.Contains(string(text), ") T ") == want {
				return
			}
			<-ticker.C
		}
		t.Fatalf("stopped is not %t", want)
	}
	if err := p.Freeze(); err != nil {
		t.Fatal(err)
	}
	state(true)
	if err := p.Resume(); err != nil {
		t.Fatal(err)
	}
	state(false)
	if err := p.Hangup(); err != nil {
		t.Fatal(err)
	}
	<-p.Done()
	if err := p.Hangup(); !errors.Is(err, os.ErrProcessDone) {
		t.Errorf("a signal to an ended process gives %v", err)
	}
}
