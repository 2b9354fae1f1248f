package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// program is the program of the deploy file, relative to the root of the repository.
const program = "target/bramleymill"

// controlInstances is the number of control instances of the deployment.
const controlInstances = 5

// restartDelay is the time after which the platform starts a process again that has ended.
const restartDelay = 300 * time.Millisecond

// ports are the ports that every machine uses on its own loopback address.
type ports struct{ Inbound, Outbound, Ready, Control, App, Internal, InternalEnd int }

// machine is a machine with its own loopback address that runs one process.
type machine struct {
	fleet     *fleet
	Name      string
	IP        string
	Zone      string
	Core      bool
	Service   string // service of the backend server; empty on a control instance
	Bootstrap bool

	in atomic.Bool // the platform lets clients send new work to the machine

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	ownEnds int  // number of times that the process ended by itself
	stopped bool // the case ends the process; it is not started again
}

// Ports, Seeds and DataDir are used by the template of the settings file.

// Ports returns the ports of the machine.
func (m *machine) Ports() ports { return m.fleet.ports }

// Seeds returns the control addresses of three control instances.
func (m *machine) Seeds() []string {
	var out []string
	for _, c := range m.fleet.core[:3] {
		out = append(out, c.address(m.fleet.ports.Control))
	}
	return out
}

// DataDir returns the data folder of a control instance.
func (m *machine) DataDir() string { return filepath.Join(m.fleet.folder, m.Name+"-data") }

func (m *machine) address(port int) string { return net.JoinHostPort(m.IP, strconv.Itoa(port)) }

// fleet is a small deployment.
type fleet struct {
	rec    *recorder
	folder string
	subnet string
	ports  ports
	core   []*machine
	sides  []*machine
	book   *book
	client *http.Client // for calls of the operator and the platform
	done   chan struct{}

	mu       sync.Mutex
	backends []*backend
}

func newFleet(rec *recorder) (*fleet, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("build the programs first: %w", err)
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, folder: folder, book: newBook(), done: make(chan struct{}),
		client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	if err := f.choosePorts(); err != nil {
		return nil, errors.Join(err, os.RemoveAll(folder))
	}
	for i := range controlInstances {
		f.core = append(f.core, &machine{fleet: f, Name: fmt.Sprintf("core-%d", i+1), IP: fmt.Sprintf("%s.%d", f.subnet, i+1), Zone: zoneOf(i), Core: true, Bootstrap: true})
	}
	return f, nil
}

func zoneOf(i int) string { return []string{"nitra-a", "nitra-b", "trnava-c"}[i%3] }

// choosePorts selects a loopback subnet and ports that are free on its first address.
func (f *fleet) choosePorts() error {
	for range 50 {
		f.subnet = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		base := 15000 + 20*rand.IntN(800)
		p := ports{Inbound: base, Outbound: base + 1, Ready: base + 2, Control: base + 3, App: base + 4, Internal: base + 5, InternalEnd: base + 19}
		if f.free(base, base+19) {
			f.ports = p
			return nil
		}
	}
	return errors.New("no free ports found")
}

func (f *fleet) free(first, last int) bool {
	for port := first; port <= last; port++ {
		l, err := net.Listen("tcp", net.JoinHostPort(f.subnet+".1", strconv.Itoa(port)))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// addSide adds a machine with a backend server of a service.
func (f *fleet) addSide(service string, c backendConfig) (*machine, *backend, error) {
	i := len(f.sides)
	m := &machine{fleet: f, Name: fmt.Sprintf("side-%d", i+1), IP: fmt.Sprintf("%s.%d", f.subnet, 101+i), Zone: zoneOf(i), Service: service, Bootstrap: true}
	f.sides = append(f.sides, m)
	b, err := f.startBackend(m, service, c)
	return m, b, err
}

func (f *fleet) machines() []*machine { return append(append([]*machine{}, f.core...), f.sides...) }

// start starts all processes, applies the first configuration and waits until the nodes are
// ready.
func (f *fleet) start(patch string) error {
	for _, m := range f.machines() {
		if err := m.start(); err != nil {
			return err
		}
	}
	for _, m := range f.sides {
		go m.pollReadiness()
	}
	if !f.change(patch, 20*time.Second) {
		return errors.New("the first configuration was not acknowledged")
	}
	for _, m := range f.machines() {
		m.Bootstrap = false
	}
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		ready := true
		for _, m := range f.sides {
			ready = ready && m.in.Load()
		}
		if ready {
			break
		}
		if time.Now().After(end) {
			return errors.New("the nodes are not ready")
		}
	}
	time.Sleep(3 * time.Second) // the nodes and the backend servers find each other
	f.rec.add("traffic begins")
	return nil
}

func (f *fleet) stop() {
	close(f.done)
	for _, m := range f.machines() {
		m.kill()
	}
	f.mu.Lock()
	for _, b := range f.backends {
		b.close()
	}
	f.mu.Unlock()
	if err := os.RemoveAll(f.folder); err != nil {
		f.rec.add("cannot remove the temporary folder: %v", err)
	}
}

// writeSettings writes the settings file of the platform.
func (m *machine) writeSettings() error {
	return os.WriteFile(m.settingsPath(), []byte(render("settings.tmpl", m)+"\n"), 0o644)
}

func (m *machine) settingsPath() string { return filepath.Join(m.fleet.folder, m.Name+".yaml") }

// start starts the process. A process that ends by itself is started again, unless the case has
// ended it in the meantime.
func (m *machine) start() error {
	if err := m.writeSettings(); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(m.fleet.folder, m.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	c := exec.Command(program, "platform")
	c.Env = []string{names.BootEnv + "=" + m.settingsPath(), "PATH=" + os.Getenv("PATH"), "HOME=" + m.fleet.folder}
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return err
	}
	m.command, m.ended = c, make(chan struct{})
	go m.await(c, log, m.ended)
	return nil
}

func (m *machine) await(c *exec.Cmd, log *os.File, ended chan struct{}) {
	err := c.Wait()
	_ = log.Close() // the process has written it
	m.mu.Lock()
	byItself := !m.stopped
	if byItself {
		m.ownEnds++
		m.fleet.rec.add("the process of %s ended by itself: %v", m.Name, err)
	}
	m.mu.Unlock()
	close(ended)
	if !byItself {
		return
	}
	time.Sleep(restartDelay)
	if err := m.start(); err != nil {
		m.fleet.rec.add("cannot start %s again: %v", m.Name, err)
	}
}

func (m *machine) signal(s syscall.Signal, ending bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if ending {
		m.stopped = true
	}
	if m.command != nil {
		_ = m.command.Process.Signal(s) // the process may have ended already
	}
}

// kill sends SIGKILL and waits for the end of the process.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL, true)
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// pollReadiness asks the node once per second whether it is ready. After two misses clients
// send no new work to the machine until it answers 200 again.
func (m *machine) pollReadiness() {
	misses := 0
	for {
		status, _ := m.fleet.call("GET", "http://"+m.address(m.fleet.ports.Ready)+"/v1/readiness", "")
		if status == http.StatusOK {
			misses = 0
			m.in.Store(true)
		} else if misses++; misses >= 2 {
			m.in.Store(false)
		}
		select {
		case <-m.fleet.done:
			return
		case <-time.After(time.Second):
		}
	}
}
