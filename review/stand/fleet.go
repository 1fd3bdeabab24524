package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// heartbeat is how often a server writes its entry, as in the settings of the deployment.
const heartbeat = 1200 * time.Millisecond

// fleet is a small deployment: a store, servers and instances, each server and instance a process of its own.
type fleet struct {
	dir    string
	store  *store
	record *recorder

	mu        sync.Mutex
	processes []*os.Process
	instances []*instance
	closed    bool
}

// instance is a process of the system under test.
type instance struct {
	name     string
	caller   string
	ready    string
	settings string

	mu      sync.Mutex
	process *os.Process
}

// serverProcess is a backend server with its entry in the store.
type serverProcess struct {
	fleet   *fleet
	options serverOptions
	service string
	zone    string
	born    int64

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	state   string
	seq     int64
	noEntry bool
}

// recorder writes record.txt.
type recorder struct {
	mu  sync.Mutex
	out *os.File
}

func (r *recorder) line(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%d %s\n", time.Now().UnixMilli(), fmt.Sprintf(format, a...))
}

func newFleet(recordPath string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "stand")
	if err != nil {
		return nil, err
	}
	out, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	s, err := newStore()
	return &fleet{dir: dir, store: s, record: &recorder{out: out}}, err
}

const (
	// firstPort and portCount are a range outside of that from which the system takes the ports of outgoing connections.
	firstPort = 20000
	portCount = 12000
	// portBlock is how many ports each process of this program uses, so that cases that run side by side don't collide.
	portBlock = 64
)

var (
	portMutex sync.Mutex
	portsUsed int
)

// freeAddress returns a loopback address that is free now and that no earlier call has returned.
func freeAddress() string {
	portMutex.Lock()
	defer portMutex.Unlock()
	for {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+(os.Getpid()*portBlock+portsUsed)%portCount)
		portsUsed++
		if l, err := net.Listen("tcp", address); err == nil {
			l.Close()
			return address
		}
	}
}

func (f *fleet) start(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return fmt.Errorf("fleet is closed")
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	f.processes = append(f.processes, cmd.Process)
	return nil
}

// close ends all processes that were started and removes the temporary folder.
func (f *fleet) close() {
	f.mu.Lock()
	f.closed = true
	for _, p := range f.processes {
		_ = p.Kill()
	}
	f.mu.Unlock()
	time.Sleep(100 * time.Millisecond)
	_ = os.RemoveAll(f.dir)
}

// startInstances starts instances with the command of the deploy file and waits until they are ready.
func (f *fleet) startInstances(count int) error {
	for i := range count {
		f.instances = append(f.instances, &instance{
			name:   fmt.Sprintf("edge-%d", i+1),
			caller: freeAddress(),
			ready:  freeAddress(),
		})
	}
	peers := make([]string, count)
	for i := range peers {
		peers[i] = freeAddress()
	}
	for i, x := range f.instances {
		path := filepath.Join(f.dir, x.name+".yaml")
		text := fmt.Sprintf("instance: %s\nregion: r\nzone: z\ncaller: %s\nready: %s\ndirectory: %s\npeer: %s\n"+
			"metrics: %s\nseeds: [\"%s\"]\nstore:\n  address: %s\n  lease: 1000ms\napply: 2000ms\ndrain:\n  grace: 8s\n"+
			"retry:\n  window: 10s\n  ratio: 0.2\n  slack: 54\nmachine:\n  cores: 0.4\n  link: 1000\n",
			x.name, x.caller, x.ready, freeAddress(), peers[i], freeAddress(), strings.Join(peers, `","`), f.store.address)
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			return err
		}
		x.settings = path
		if err := f.startInstance(x); err != nil {
			return err
		}
	}
	for _, x := range f.instances {
		for deadline := time.Now().Add(15 * time.Second); !isReady(x.ready); time.Sleep(100 * time.Millisecond) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", x.name)
			}
		}
	}
	return nil
}

// startInstance starts the process of an instance.
func (f *fleet) startInstance(x *instance) error {
	log, err := os.OpenFile(filepath.Join(f.dir, x.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/platform", "run")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "LACEWINGCOVE_SETTINGS=" + x.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := f.start(cmd); err != nil {
		return err
	}
	x.mu.Lock()
	x.process = cmd.Process
	x.mu.Unlock()
	go func() { _ = cmd.Wait() }()
	return nil
}

// killInstances kills instances at the same moment and starts them again after a time.
func (f *fleet) killInstances(list []*instance, after time.Duration) {
	for _, x := range list {
		x.mu.Lock()
		_ = x.process.Kill()
		x.process = nil
		x.mu.Unlock()
		f.record.line("instance %s is killed", x.name)
	}
	time.Sleep(after)
	for _, x := range list {
		if err := f.startInstance(x); err != nil {
			f.record.line("%v", err)
		}
	}
}

// running reports whether the instance has a process.
func (x *instance) running() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.process != nil
}

func isReady(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/lacewingcove/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// logLines returns the lines of the logs of all servers.
func (f *fleet) logLines() []string {
	text, _ := os.ReadFile(filepath.Join(f.dir, "servers.log"))
	return strings.Split(strings.TrimSpace(string(text)), "\n")
}

// startServer starts a server and keeps its entry in the store up to date.
func (f *fleet) startServer(service string, o serverOptions) (*serverProcess, error) {
	if o.address == "" {
		o.address = freeAddress()
	}
	o.log = filepath.Join(f.dir, "servers.log")
	p := &serverProcess{fleet: f, options: o, service: service, zone: "z", state: "ready"}
	return p, p.launch()
}

// launch starts the process of the server and registers it once it listens.
func (p *serverProcess) launch() error {
	cmd := exec.Command(os.Args[0], p.options.arguments()...)
	cmd.Stderr = os.Stderr
	if err := p.fleet.start(cmd); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if c, err := net.Dial("tcp", p.options.address); err == nil {
			c.Close()
			break
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s does not listen", p.options.id)
		}
	}
	p.mu.Lock()
	p.cmd, p.exited, p.born, p.state, p.seq = cmd, exited, time.Now().UnixMilli(), "ready", 0
	p.mu.Unlock()
	p.beat()
	go p.beatUntilExit(exited)
	return nil
}

// beat writes the entry.
func (p *serverProcess) beat() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.noEntry {
		return
	}
	p.seq++
	p.fleet.store.put("servers/"+p.options.id, map[string]any{
		"service": p.service, "address": p.options.address, "zone": p.zone, "version": "v1", "slots": p.options.slots,
		"state": p.state, "cold_ms": 0, "seq": p.seq, "born": p.born,
	})
}

// beatUntilExit writes the entry at intervals. After the end of the process, it is removed after three intervals,
// unless a new process has been started under the id.
func (p *serverProcess) beatUntilExit(exited chan struct{}) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.beat()
			continue
		case <-exited:
		}
		break
	}
	p.fleet.record.line("server %s has ended", p.options.id)
	time.Sleep(3 * heartbeat)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.exited == exited {
		p.fleet.store.remove("servers/" + p.options.id)
	}
}

// drain reports that the server is leaving.
func (p *serverProcess) drain() {
	p.mu.Lock()
	p.state = "draining"
	p.mu.Unlock()
	p.beat()
	p.fleet.record.line("server %s reports draining", p.options.id)
}

// kill ends the process.
func (p *serverProcess) kill() {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	_ = cmd.Process.Kill()
}

// keepRunning starts the server again some seconds after each end of its process. A new id is used if rename is not nil.
func (p *serverProcess) keepRunning(after time.Duration, rename func() string) {
	for {
		p.mu.Lock()
		exited := p.exited
		p.mu.Unlock()
		<-exited
		time.Sleep(after)
		if rename != nil {
			next := &serverProcess{fleet: p.fleet, options: p.options, service: p.service, zone: p.zone}
			next.options.id = rename()
			p = next
		}
		if p.launch() != nil {
			return
		}
	}
}
