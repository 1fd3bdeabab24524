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
	logPath := filepath.Join(t.TempDir(), "log")
	p, err := Start(logPath, "/bin/sh", "-c", script)
	if err != nil {
		t.Fatal(err)
	}
	return p, logPath
}

// Guards against processes that outlive the tool: one that exits on SIGTERM, one that ignores it, one that is killed
// and one that exits by itself.
func TestStopAndKillLeaveNoProcess(t *testing.T) {
	for name, c := range map[string]struct {
		script    string
		terminate func(p *Process)
	}{
		"asked": {script: "exec sleep 60", terminate: func(p *Process) { p.Stop(time.Minute) }},
		"stubborn": {
			script:    "trap '' TERM; while :; do sleep 0.01; done",
			terminate: func(p *Process) { p.Stop(50 * time.Millisecond) },
		},
		"killed": {script: "exec sleep 60", terminate: (*Process).Kill},
		"ended":  {script: "exit 3", terminate: func(p *Process) { p.Stop(time.Minute) }},
	} {
		t.Run(name, func(t *testing.T) {
			p, _ := start(t, c.script)
			c.terminate(p)
			if _, err := os.Stat("/proc/" + strconv.Itoa(p.PID())); err == nil {
				t.Error("the process still exists")
			}
		})
	}
}

// Guards against the loss of output.
func TestOutputIsWrittenToTheLog(t *testing.T) {
	p, logPath := start(t, "echo out; echo err >&2")
	<-p.Done()
	text, err := os.ReadFile(logPath)
	if err != nil || string(text) != "out\nerr\n" {
		t.Errorf("%q, %v", text, err)
	}
}

// Guards against a frozen process that keeps running, and against one that remains frozen after Resume.
func TestFreezeResumeAndHangup(t *testing.T) {
	p, _ := start(t, "trap 'exit 3' HUP; while :; do sleep 0.01; done")
	defer p.Kill()
	waitStopped := func(want bool) {
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
	waitStopped(true)
	if err := p.Resume(); err != nil {
		t.Fatal(err)
	}
	waitStopped(false)
	if err := p.Hangup(); err != nil {
		t.Fatal(err)
	}
	<-p.Done()
	if err := p.Hangup(); !errors.Is(err, os.ErrProcessDone) {
		t.Errorf("a signal to an exited process returns %v", err)
	}
}
