package e2e

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"bramleymill/faultlink"
	"bramleymill/freeport"
)

// waitTimeout bounds how long a test waits for a state that must come. It is no
// requirement on speed.
const waitTimeout = 30 * time.Second

// slots is the number of slots of each backend server.
const slots = 10

// serviceToken proves calls of the backend servers that belong to no request.
const serviceToken = "service-token-of-the-test"

var binaries string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "bramleymill-e2e-")
	if err != nil {
		panic(err)
	}
	binaries = folder
	build := exec.Command("go", "build", "-o", folder+"/", "../cmd/...")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build commands:", err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(folder)
	os.Exit(code)
}

// instance is one node with its backend server.
type instance struct {
	name    string
	service string
	zone    string
	control bool
	keys    string            // folder of its keys
	noLoad  bool              // callers send it no load
	address map[string]string // by kind of listener
	link    *faultlink.Link   // nil unless the fleet has links
	node    *process
	backend *process
}

// fleetOptions describe a fleet.
type fleetOptions struct {
	controls int
	plain    int
	links    bool
	services []string          // given to the instances in turn; default shop
	zones    int               // availability zones that the instances are in, in turn; default one for each
	classes  string            // class document with one place for a latency target; default classes
	calls    map[string]string // by service: path that its backend servers call
	backend  []string          // further flags of the stand-ins
}

// fleet runs processes in a folder of the test.
type fleet struct {
	t         *testing.T
	dir       string
	options   fleetOptions
	instances []*instance
}

func newFleet(t *testing.T, o fleetOptions) *fleet {
	t.Helper()
	if len(o.services) == 0 {
		o.services = []string{"shop"}
	}
	if o.zones == 0 {
		o.zones = o.controls + o.plain
	}
	if o.classes == "" {
		o.classes = defaultClasses
	}
	f := &fleet{t: t, dir: t.TempDir(), options: o}
	if err := os.WriteFile(f.path("service-token"), []byte(serviceToken), 0o600); err != nil {
		t.Fatal(err)
	}
	names := []string{"op:operator"}
	for i := range o.controls + o.plain {
		in := &instance{name: fmt.Sprintf("shop-%d", i+1), service: o.services[i%len(o.services)],
			zone: fmt.Sprintf("z%d", i%o.zones+1), control: i < o.controls, keys: "keys", address: map[string]string{}}
		for _, kind := range []string{"caller", "service", "peer", "admin", "metrics", "backend"} {
			in.address[kind] = freeAddress(t)
		}
		in.address["advertised"] = in.address["peer"]
		role := "node"
		if in.control {
			role = "control"
		}
		names = append(names, in.name+":"+role)
		f.instances = append(f.instances, in)
	}
	f.run("bramleymillctl", append([]string{"keys", "fleet", "--folder", f.path("keys")}, names...)...)
	f.addLinks()
	for _, in := range f.instances {
		f.writeSettings(in)
		f.startBackend(in)
		f.startNode(in)
	}
	t.Cleanup(f.killAll)
	return f
}

func (f *fleet) path(parts ...string) string {
	return filepath.Join(append([]string{f.dir}, parts...)...)
}

func freeAddress(t *testing.T) string {
	t.Helper()
	a, err := freeport.Address()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func (f *fleet) addLinks() {
	if !f.options.links {
		return
	}
	for i, in := range f.instances {
		l, err := faultlink.Open(freeAddress(f.t), in.address["peer"], uint64(i+1))
		if err != nil {
			f.t.Fatal(err)
		}
		f.t.Cleanup(func() { l.Close() })
		in.link, in.address["advertised"] = l, l.Address()
	}
}

func (f *fleet) writeSettings(in *instance) {
	f.t.Helper()
	var seeds []string
	for _, c := range f.instances {
		if c.control {
			seeds = append(seeds, c.address["advertised"])
		}
	}
	s := map[string]any{
		"node": in.name, "region": "r", "zone": in.zone,
		"caller_address": in.address["caller"], "service_address": in.address["service"], "peer_address": in.address["peer"],
		"advertised_address": in.address["advertised"], "admin_address": in.address["admin"], "metrics_address": in.address["metrics"],
		"backend": map[string]any{"service": in.service, "address": in.address["backend"], "slots": slots, "connections": 250,
			"service_token_file": f.path("service-token")},
		"seeds": seeds,
		"keys": map[string]any{"authority": f.path(in.keys, "authority.pem"), "certificate": f.path(in.keys, in.name+".pem"),
			"private_key": f.path(in.keys, in.name+".key")},
	}
	if in.control {
		s["control"] = map[string]any{"data_folder": f.path("data", in.name), "snapshot_interval": 200}
	}
	b, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		f.t.Fatal(err)
	}
	if err := os.WriteFile(f.path(in.name+".json"), b, 0o644); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) startNode(in *instance) {
	f.t.Helper()
	in.node = f.start(in.name+"-node.log", "bramleymill", "node", "--settings", f.path(in.name+".json"))
}

func (f *fleet) startBackend(in *instance) {
	f.t.Helper()
	args := append([]string{"--address", in.address["backend"], "--service", in.service, "--service-time", "2ms",
		"--record-file", f.path(in.name + ".records")}, f.options.backend...)
	if path := f.options.calls[in.service]; path != "" {
		args = append(args, "--call-url", "http://"+in.address["service"]+path)
	}
	in.backend = f.start(in.name+"-backend.log", "millstandin", args...)
}

// process is a started command.
type process struct {
	command *exec.Cmd
	done    chan struct{} // closed when the process has ended
	err     error
}

func (f *fleet) start(log, name string, args ...string) *process {
	f.t.Helper()
	out, err := os.OpenFile(f.path(log), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		f.t.Fatal(err)
	}
	defer out.Close()
	c := exec.Command(filepath.Join(binaries, name), args...)
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		f.t.Fatal(err)
	}
	p := &process{command: c, done: make(chan struct{})}
	go func() {
		p.err = c.Wait()
		close(p.done)
	}()
	return p
}

func (p *process) signal(s syscall.Signal) { p.command.Process.Signal(s) }

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.done
}

func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

func (f *fleet) killAll() {
	for _, in := range f.instances {
		in.node.kill()
		in.backend.kill()
	}
	if f.t.Failed() {
		f.printLogs()
	}
}

// printLogs shows the end of each log of a failed test.
func (f *fleet) printLogs() {
	logs, _ := filepath.Glob(f.path("*-node.log"))
	for _, name := range logs {
		b, err := os.ReadFile(name)
		if err != nil {
			continue
		}
		lines := strings.Split(strings.TrimSpace(string(b)), "\n")
		f.t.Logf("%s:\n%s", filepath.Base(name), strings.Join(lines[max(0, len(lines)-15):], "\n"))
	}
}

// run executes a command that must succeed and returns its output.
func (f *fleet) run(name string, args ...string) string {
	f.t.Helper()
	out, code := f.runWithStatus(name, args...)
	if code != 0 {
		f.t.Fatalf("%s %s: exit status %d\n%s", name, strings.Join(args, " "), code, out)
	}
	return out
}

// runWithStatus executes a command and returns its output and exit status.
func (f *fleet) runWithStatus(name string, args ...string) (string, int) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*waitTimeout)
	defer cancel()
	out, err := exec.CommandContext(ctx, filepath.Join(binaries, name), args...).CombinedOutput()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		f.t.Fatalf("%s: %v", name, err)
	}
	if exit != nil {
		return string(out), exit.ExitCode()
	}
	return string(out), 0
}

// operatorArgs returns the arguments of bramleymillctl with the connection flags for
// every control instance.
func (f *fleet) operatorArgs(args ...string) []string {
	args = f.withOperatorKeys(args)
	for _, in := range f.instances {
		if in.control {
			args = append(args, "--address", in.address["admin"])
		}
	}
	return args
}

// operatorArgsAt is like operate for one instance.
func (f *fleet) operatorArgsAt(in *instance, args ...string) []string {
	return append(f.withOperatorKeys(args), "--address", in.address["admin"])
}

func (f *fleet) withOperatorKeys(args []string) []string {
	return append(args, "--authority", f.path("keys", "authority.pem"),
		"--certificate", f.path("keys", "op.pem"), "--private-key", f.path("keys", "op.key"))
}

// ctl runs an operator's command that must succeed.
func (f *fleet) ctl(args ...string) string {
	f.t.Helper()
	return f.run("bramleymillctl", f.operatorArgs(args...)...)
}

func (f *fleet) await(what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(waitTimeout); !ok(); {
		if time.Now().After(end) {
			f.t.Fatalf("not reached: %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}
