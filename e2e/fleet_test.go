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

// waitTimeout bounds how long a test waits for an expected state. It is generous, because the
// tests do not check how fast a state is reached.
const waitTimeout = 30 * time.Second

// slots is the number of slots of each backend server.
const slots = 10

// serviceToken authenticates calls that a backend server makes outside the execution of a request.
const serviceToken = "service-token-of-the-test"

// binaries is the folder with the commands that TestMain builds.
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

// instance is a node together with its backend server.
type instance struct {
	name    string
	service string
	zone    string
	control bool
	keys    string            // folder of the key files of the node, relative to fleet.dir
	noLoad  bool              // sendLoad leaves this instance out
	address map[string]string // address by kind of listener
	link    *faultlink.Link   // proxy for peer traffic that can inject faults; nil unless fleetOptions.links is set
	node    *process
	backend *process
}

// fleetOptions configure a fleet.
type fleetOptions struct {
	controls int               // number of control instances
	plain    int               // number of instances without the control role
	links    bool              // whether peer traffic goes through links that can inject faults
	services []string          // services, assigned to the instances in turn; default only shop
	zones    int               // number of availability zones, assigned to the instances in turn; default one for each instance
	classes  string            // class document with one %s for a latency target; default defaultClasses
	calls    map[string]string // path that the backend servers of a service call, by service
	backend  []string          // additional flags of the stand-ins
}

// fleet runs the processes of a test. Their files are in dir.
type fleet struct {
	t         *testing.T
	dir       string
	options   fleetOptions
	instances []*instance
}

// newFleet creates keys and settings for the instances and starts their processes, which end
// with the test. The fleet does not serve until bootstrap is called.
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

// addLinks puts a link in front of the peer listener of each instance.
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

// process is a running or ended command.
type process struct {
	command *exec.Cmd
	done    chan struct{} // closed when the process has ended
	err     error         // result of Wait, valid once done is closed
}

// start starts a command and appends its output to a log file.
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

// kill terminates the process immediately, even if SIGSTOP has suspended it, and waits for
// its end.
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

// printLogs prints the last lines of each node log of a failed test.
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

// run executes a command and returns its output. The test fails if the command fails.
func (f *fleet) run(name string, args ...string) string {
	f.t.Helper()
	out, code := f.runWithStatus(name, args...)
	if code != 0 {
		f.t.Fatalf("%s %s: exit status %d\n%s", name, strings.Join(args, " "), code, out)
	}
	return out
}

// runWithStatus executes a command, which may fail, and returns its output and exit status.
func (f *fleet) runWithStatus(name string, args ...string) (string, int) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*waitTimeout)
	defer cancel()
	out, err := exec.CommandContext(ctx, filepath.Join(binaries, name), args...).CombinedOutput()
	var exitErr *exec.ExitError
	if err != nil && !errors.As(err, &exitErr) {
		f.t.Fatalf("%s: %v", name, err)
	}
	if exitErr != nil {
		return string(out), exitErr.ExitCode()
	}
	return string(out), 0
}

// operatorArgs adds the operator's keys and the addresses of all control instances to the
// arguments of bramleymillctl.
func (f *fleet) operatorArgs(args ...string) []string {
	args = f.withOperatorKeys(args)
	for _, in := range f.instances {
		if in.control {
			args = append(args, "--address", in.address["admin"])
		}
	}
	return args
}

// operatorArgsAt is like operatorArgs with the address of one instance only.
func (f *fleet) operatorArgsAt(in *instance, args ...string) []string {
	return append(f.withOperatorKeys(args), "--address", in.address["admin"])
}

func (f *fleet) withOperatorKeys(args []string) []string {
	return append(args, "--authority", f.path("keys", "authority.pem"),
		"--certificate", f.path("keys", "op.pem"), "--private-key", f.path("keys", "op.key"))
}

// ctl runs bramleymillctl as the operator with the addresses of all control instances. The test
// fails if the command fails.
func (f *fleet) ctl(args ...string) string {
	f.t.Helper()
	return f.run("bramleymillctl", f.operatorArgs(args...)...)
}

// await polls until ok returns true. The test fails after waitTimeout. expected names the awaited
// state in the failure message.
func (f *fleet) await(expected string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(waitTimeout); !ok(); {
		if time.Now().After(end) {
			f.t.Fatalf("timed out waiting for: %s", expected)
		}
		time.Sleep(20 * time.Millisecond)
	}
}
