package replica

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bramleymill/clock"
	"bramleymill/fleet"
	"bramleymill/raft"
	"bramleymill/transport"
	"bramleymill/wal"
)

// network connects processes in memory and injects faults into their calls. A fault
// applies to one direction, given by the addresses of the caller and the called process.
type network struct {
	mu          sync.Mutex
	muxes       map[string]*transport.Mux
	partitioned map[[2]string]bool // messages in this direction are lost
	lostReplies map[[2]string]bool // the call is handled, but its reply is lost
	loss        float64            // share of the messages and replies that are lost
	delay       time.Duration      // largest delay of a message or reply, which reorders them
	random      *rand.Rand
	preVotes    map[string]int // requests for a pre-vote, by caller
}

// setDisorder makes the network lose and delay messages at random.
func (n *network) setDisorder(seed uint64, loss float64, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.random, n.loss, n.delay = rand.New(rand.NewPCG(seed, 7)), loss, delay
}

// disorder delays a message and reports whether it is lost.
func (n *network) disorder() bool {
	n.mu.Lock()
	if n.loss == 0 && n.delay == 0 {
		n.mu.Unlock()
		return false
	}
	lost, delay := n.random.Float64() < n.loss, time.Duration(n.random.Int64N(int64(n.delay)))
	n.mu.Unlock()
	time.Sleep(delay)
	return lost
}

func newNetwork() *network {
	return &network{preVotes: map[string]int{}, muxes: map[string]*transport.Mux{}, partitioned: map[[2]string]bool{}, lostReplies: map[[2]string]bool{}}
}

// setFault turns a fault, partitioned or lostReplies, on or off for one direction.
func (n *network) setFault(faults map[[2]string]bool, from, to string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	faults[[2]string{from, to}] = on
}

// isolate partitions a process from all others in both directions, or reconnects it.
func (n *network) isolate(address string, isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for other := range n.muxes {
		n.partitioned[[2]string{address, other}] = isolated
		n.partitioned[[2]string{other, address}] = isolated
	}
}

// reconnectAll ends every partition, also those of processes that are not running.
func (n *network) reconnectAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.partitioned)
}

// client is the transport.Client of one process. address and role identify the caller.
type client struct {
	n       *network
	address string
	role    fleet.Role

	namePrefix string // precedes the address in the name of the node
}

var errMessageLost = errors.New("network: message or reply lost")

func (c *client) Call(ctx context.Context, address string, k transport.Kind, request, reply any) error {
	payload, err := cbor.Marshal(request)
	if err != nil {
		return err
	}
	c.n.mu.Lock()
	if b, ok := request.(*batch); ok && slices.ContainsFunc(b.Messages, func(m groupMessage) bool { return m.Message.Kind == raft.PreVote }) {
		c.n.preVotes[c.address]++
	}
	mux := c.n.muxes[address]
	forward, backward := [2]string{c.address, address}, [2]string{address, c.address}
	cut, replyLost := c.n.partitioned[forward], c.n.lostReplies[forward] || c.n.partitioned[backward]
	c.n.mu.Unlock()
	if mux == nil || cut || c.n.disorder() {
		return errMessageLost
	}
	out, err := mux.Dispatch(ctx, transport.Peer{Node: fleet.NodeID(c.namePrefix + c.address), Role: c.role, Address: c.address}, k, payload)
	if replyLost || c.n.disorder() {
		return errMessageLost
	}
	if err != nil {
		return err
	}
	return cbor.Unmarshal(out, reply)
}

// recordingMachine is a state machine that records the commands.
type recordingMachine struct {
	mu       sync.Mutex
	discard  bool // record nothing, so that snapshots stay small
	Commands []string
	Times    []int64
}

func (j *recordingMachine) Apply(_ uint64, at time.Time, command []byte) []byte {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.discard {
		j.Commands = append(j.Commands, string(command))
		j.Times = append(j.Times, at.UnixNano())
	}
	return append([]byte("done "), command...)
}

func (j *recordingMachine) Snapshot() ([]byte, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return cbor.Marshal(j.Commands)
}

func (j *recordingMachine) Restore(b []byte) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.Commands = nil
	return cbor.Unmarshal(b, &j.Commands)
}

func (j *recordingMachine) commands() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]string(nil), j.Commands...)
}

// process simulates a process with a replica of group 1. Its address is its name.
type process struct {
	host    *Host
	group   *Group
	machine *recordingMachine
}

// cluster runs processes with a replica of group 1 each. The maps have the name of the
// process as key.
type cluster struct {
	t              testing.TB
	network        *network
	base           string
	foldersCreated int
	folders        map[string]string
	processes      map[string]*process
	files          map[string]wal.FS
	snapshotEvery  int           // Config.SnapshotEvery
	timing         raft.Timing   // Config.Timing
	discard        bool          // recordingMachine.discard
	minVoters      int           // Config.MinVoters
	replaceAfter   time.Duration // Config.ReplaceAfter
	namePrefix     string        // precedes the address of a process in the name of its node
	founders       []string      // addresses of the founders; empty: the group is bootstrapped
	onDiskEvent    atomic.Pointer[func(name string, e DiskEvent)]
}

type member = raft.Member

// testTiming has short election timeouts so that tests wait less.
var testTiming = raft.Timing{Heartbeat: 25 * time.Millisecond, ElectionMin: 150 * time.Millisecond, ElectionMax: 300 * time.Millisecond}

func newCluster(t testing.TB, names ...string) *cluster {
	c := &cluster{t: t}
	c.init()
	c.start(names...)
	return c
}

func (c *cluster) init() {
	c.network, c.timing = newNetwork(), testTiming
	c.base = c.t.TempDir() // the cleanup below stops the processes before it is removed
	c.folders, c.processes, c.files = map[string]string{}, map[string]*process{}, map[string]wal.FS{}
	c.t.Cleanup(func() {
		for name := range c.processes {
			c.stop(name)
		}
	})
}

// start creates a group: the first replica is bootstrapped, the others join it.
func (c *cluster) start(names ...string) {
	c.t.Helper()
	for i, name := range names {
		c.open(name)
		if i == 0 {
			c.noError(c.processes[name].group.Bootstrap(c.context()))
		}
	}
	c.waitVoters(names[0], len(names))
}

func (c *cluster) context() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	c.t.Cleanup(cancel)
	return ctx
}

func (c *cluster) noError(err error) {
	c.t.Helper()
	if err != nil {
		c.t.Fatal(err)
	}
}

// open starts a process on the folder that it used before, if any.
func (c *cluster) open(name string) *Group {
	c.t.Helper()
	if c.folders[name] == "" {
		c.foldersCreated++
		c.folders[name] = filepath.Join(c.base, fmt.Sprint(name, c.foldersCreated))
	}
	g, err := c.tryOpen(name)
	c.noError(err)
	return g
}

func (c *cluster) tryOpen(name string) (*Group, error) {
	mux := transport.NewMux()
	cl := &client{n: c.network, address: name, role: fleet.RoleControl, namePrefix: c.namePrefix}
	p := &process{host: NewHost(mux, cl), machine: &recordingMachine{discard: c.discard}}
	g, err := Open(Config{
		Group: 1, Node: fleet.NodeID(c.namePrefix + name), Address: name, Folder: c.folders[name], Machine: p.machine,
		Client: cl, Seed: uint64(len(name)) + uint64(name[0]), Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Seeds: []string{"a", "b", "c", "d", "e", "f"}, Host: p.host, Timing: c.timing,
		SnapshotEvery: c.snapshotEvery, Files: c.files[name], MinVoters: c.minVoters, ReplaceAfter: c.replaceAfter,
		Founding: slices.Contains(c.founders, name),
		OnDiskEvent: func(e DiskEvent) {
			if f := c.onDiskEvent.Load(); f != nil {
				(*f)(name, e)
			}
		},
	})
	if err != nil {
		p.host.Close()
		return nil, err
	}
	p.group = g
	c.processes[name] = p
	c.network.mu.Lock()
	c.network.muxes[name] = mux
	c.network.mu.Unlock()
	return g, nil
}

func (c *cluster) setOnDiskEvent(f func(name string, e DiskEvent)) { c.onDiskEvent.Store(&f) }

// stop ends a process. What it has synced stays on its disk.
func (c *cluster) stop(name string) {
	c.network.mu.Lock()
	delete(c.network.muxes, name)
	c.network.mu.Unlock()
	if p := c.processes[name]; p != nil {
		c.noError(p.group.Close())
		p.host.Close()
		delete(c.processes, name)
	}
}

// eventually waits for a condition. The time limit of 20 s only ends a test that would
// otherwise never end.
func (c *cluster) eventually(what string, f func() bool) {
	c.t.Helper()
	for ctx := c.context(); !f(); {
		if !clock.Sleep(ctx, 5*time.Millisecond) {
			c.t.Fatalf("timed out waiting for: %s\n%s", what, c.describe())
		}
	}
}

// describe returns the status of all running replicas.
func (c *cluster) describe() (out string) {
	for name, p := range c.processes {
		out += fmt.Sprintf("%s: %+v\n", name, p.group.Status())
	}
	return out
}

// waitVoters waits until the replica at a process knows n voters and no learner and has
// applied all committed entries.
func (c *cluster) waitVoters(at string, n int) {
	c.t.Helper()
	c.eventually(fmt.Sprintf("%d voters", n), func() bool {
		s := c.processes[at].group.Status()
		return len(s.Voters) == n && len(s.Learners) == 0 && s.Commit == s.Applied
	})
}

// leader waits until a running process is the leader and was recently confirmed by a
// majority, and returns its name.
func (c *cluster) leader() string {
	c.t.Helper()
	var leader string
	c.eventually("a leader", func() bool {
		for name, p := range c.processes {
			if age, ok := p.group.ConfirmationAge(); ok && age < testTiming.ElectionMin {
				leader = name
				return true
			}
		}
		return false
	})
	return leader
}

// propose proposes command at a process and requires that it is applied.
func (c *cluster) propose(at, command string) {
	c.t.Helper()
	result, err := c.processes[at].group.Propose(c.context(), []byte(command))
	if err != nil || string(result) != "done "+command {
		c.t.Fatalf("propose %s at %s: result %q, error %v, want \"done \" followed by the command, and no error\n%s", command, at, result, err, c.describe())
	}
}
