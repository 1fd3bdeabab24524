package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// memoryMB is limits.memory_mb of the users' sheet; the platform kills a process that exceeds it (DEPLOY.md).
const memoryMB = 284

// machine is a machine of the deployment with the process of the deploy file's role on it.
type machine struct {
	name     string
	front    string
	ready    string
	metrics  string
	settings string
	command  *exec.Cmd
	exited   chan struct{}
	state    string
	output   *bytes.Buffer
}

func freePort() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// newMachine writes the settings of a machine, filled in as deploy/settings.yaml is for a small deployment.
func newMachine(dir, name, storeAddress string, seeds []string, control string) (*machine, error) {
	m := &machine{name: name, front: freePort(), ready: freePort(), metrics: freePort(), output: &bytes.Buffer{}}
	quoted := make([]string, len(seeds))
	for i, s := range seeds {
		quoted[i] = strconv.Quote(s)
	}
	text := fmt.Sprintf(`instance: %s
region: bc-south
zone: bc-south-a
caller: %s
ready: %s
directory: %s
peer: %s
metrics: %s
seeds: [%s]
store:
  address: %s
  lease: 1000ms
apply: 2000ms
drain:
  grace: 8s
retry:
  window: 10s
  ratio: 0.2
  slack: 54
machine:
  cores: 0.4
  link: 1000.0
  memory: %d
  descriptors: 4100
`, name, m.front, m.ready, freePort(), control, m.metrics, strings.Join(quoted, ","), storeAddress, memoryMB)
	m.settings = filepath.Join(dir, name+".yaml")
	return m, os.WriteFile(m.settings, []byte(text), 0o600)
}

// start starts the process with the command of the deploy file.
func (m *machine) start() error {
	m.command = exec.Command("target/platform", "run")
	m.command.Env = append(os.Environ(), "LACEWINGCOVE_SETTINGS="+m.settings)
	m.command.Stdout, m.command.Stderr = m.output, m.output
	m.exited = make(chan struct{})
	m.state = "running"
	if err := m.command.Start(); err != nil {
		return err
	}
	exited := m.exited
	go func() {
		m.command.Wait()
		m.state = m.command.ProcessState.String()
		close(exited)
	}()
	return nil
}

// awaitReady waits until the readiness check answers 200.
func (m *machine) awaitReady() error {
	for range 100 {
		if m.isReady() {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready", m.name)
}

func (m *machine) isReady() bool {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get("http://" + m.ready + "/lacewingcove/readyz")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == 200
}

func (m *machine) running() bool {
	select {
	case <-m.exited:
		return false
	default:
		return true
	}
}

// peakMB returns the largest memory of a process that has ended.
func (m *machine) peakMB() float64 {
	if u, ok := m.command.ProcessState.SysUsage().(*syscall.Rusage); ok {
		return float64(u.Maxrss) * 1024 / 1e6
	}
	return 0
}

func (m *machine) kill() {
	if m.command == nil || m.command.Process == nil {
		return
	}
	if m.running() {
		m.command.Process.Kill()
		<-m.exited
	}
}
