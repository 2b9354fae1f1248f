package replica

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"bramleymill/clock"
	"bramleymill/errkind"
	"bramleymill/fleet"
	"bramleymill/raft"
	"bramleymill/transport"
)

const (
	// sendTimeout bounds one call to another replica. It is shorter than the time
	// after which a leader without a majority steps down, so that a lost call does
	// not block the messages behind it for that long.
	sendTimeout = 300 * time.Millisecond
	// maxConcurrentSends bounds the concurrent calls to one address. It is more than
	// one so that a heartbeat does not wait until the receiver has synced an Append.
	maxConcurrentSends = 4
	// maxQueuedMessages bounds the messages queued for one address. The oldest are
	// dropped first; the raft core resends what is still needed.
	maxQueuedMessages = 256
	// heartbeatDelay is how long a heartbeat is delayed so that the heartbeats of all
	// groups, which are due at the same time, are sent in one call.
	heartbeatDelay = time.Millisecond
	// maxBatchBytes keeps a batch below the size limit of the transport.
	maxBatchBytes = transport.MaxMessageBytes / 2
)

// Host exchanges the messages of all groups of one process with other processes. It
// combines messages to the same address into batches.
type Host struct {
	client transport.Client
	disk   *diskMonitor // shared by all groups, which are in one data folder

	mu             sync.Mutex
	origin         time.Time // zero point of the monotonic readings of all groups
	groups         map[uint32]*Group
	peers          map[string]*peer
	closed         bool
	flushScheduled bool   // a timer will flush the delayed heartbeats
	bootID         uint64 // random id of this process start, marks its proof tokens
	cancel         context.CancelFunc
	ctx            context.Context
}

// peer holds the messages that wait to be sent to one address.
type peer struct {
	queue             []groupMessage
	senders           int    // goroutines that send or are about to start
	heartbeatsDelayed bool   // one sender waits for the timer that flushes heartbeats
	localAddress      string // address of this process, sent to the peer in each batch
	tokens            tokens // received from the peer
}

// NewHost returns a Host and registers its handlers on m.
func NewHost(m *transport.Mux, client transport.Client) *Host {
	h := &Host{client: client, groups: map[uint32]*Group{}, peers: map[string]*peer{}, bootID: newRandomID()}
	h.disk = newDiskMonitor(h.onDiskEvent)
	h.ctx, h.cancel = context.WithCancel(context.Background())
	transport.Handle(m, kindBatch, h.onBatch)
	transport.Handle(m, kindPropose, h.onPropose)
	transport.Handle(m, kindReadIndex, h.onReadIndex)
	transport.Handle(m, kindLocate, h.onLocate)
	transport.Handle(m, kindJoin, h.onJoin)
	transport.Handle(m, kindHealth, h.onHealth)
	transport.Handle(m, kindRetire, h.onRetire)
	transport.Handle(m, kindFounding, h.onFounding)
	return h
}

// Close stops sending. All groups must be closed before the Host.
func (h *Host) Close() {
	h.mu.Lock()
	h.closed = true
	h.mu.Unlock()
	h.cancel()
}

func (h *Host) add(g *Group) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, ok := h.groups[g.config.Group]; ok {
		return errkind.New(errkind.BadRequest, "group %d is already open", g.config.Group)
	}
	h.groups[g.config.Group] = g
	return nil
}

// monotonicOrigin returns the origin of the monotonic clock of this process: the reading
// of c at the first call. All groups of the process use the same origin.
func (h *Host) monotonicOrigin(c clock.Clock) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.origin.IsZero() {
		h.origin = c.Now()
	}
	return h.origin
}

func (h *Host) remove(g *Group) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.groups[g.config.Group] == g {
		delete(h.groups, g.config.Group)
	}
}

// group returns an open group. Its error proves that the request had no effect.
func (h *Host) group(number uint32) (*Group, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	g, ok := h.groups[number]
	if !ok {
		return nil, errkind.New(errkind.ControlUnavailable, "group %d is not open in this process", number)
	}
	return g, nil
}

// send queues a Raft message of g for an address. It never blocks.
func (h *Host) send(g *Group, address string, m raft.Message) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return
	}
	p := h.peerAt(address)
	p.localAddress = g.config.Address
	if len(p.queue) >= maxQueuedMessages {
		p.queue = append(p.queue[:0], p.queue[1:]...)
	}
	p.queue = append(p.queue, groupMessage{g.config.Group, m})
	switch {
	case p.senders >= maxConcurrentSends:
	case m.Kind != raft.Heartbeat:
		p.senders++
		go h.sendQueued(address, p)
	case !p.heartbeatsDelayed:
		p.heartbeatsDelayed = true
		p.senders++
		if !h.flushScheduled {
			h.flushScheduled = true
			time.AfterFunc(heartbeatDelay, h.flushHeartbeats)
		}
	}
}

// peerAt returns the peer with the given address and creates it if it does not exist.
// The caller holds h.mu.
func (h *Host) peerAt(address string) *peer {
	p := h.peers[address]
	if p == nil {
		p = &peer{}
		h.peers[address] = p
	}
	return p
}

// flushHeartbeats starts sending the delayed heartbeats to all addresses.
func (h *Host) flushHeartbeats() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.flushScheduled = false
	for address, p := range h.peers {
		if p.heartbeatsDelayed {
			p.heartbeatsDelayed = false
			go h.sendQueued(address, p)
		}
	}
}

// sendQueued sends the queued messages of p in batches until the queue is empty.
func (h *Host) sendQueued(address string, p *peer) {
	for {
		out := h.nextBatch(p)
		if len(out.Messages) == 0 {
			return
		}
		out.Proofs = h.proofsFor(p, &out)
		ctx, cancel := context.WithTimeout(h.ctx, sendTimeout)
		var reply batch
		err := h.client.Call(ctx, address, kindBatch, &out, &reply)
		cancel()
		if err != nil {
			slog.Debug("sending raft messages failed", "address", address, "error", err)
			continue
		}
		h.deliverReply(address, &reply)
	}
}

// nextBatch removes messages of up to maxBatchBytes from the queue of p. If the queue
// is empty, it returns an empty batch, and the caller no longer counts as a sender.
func (h *Host) nextBatch(p *peer) batch {
	h.mu.Lock()
	defer h.mu.Unlock()
	size, n := 0, 0
	for n < len(p.queue) {
		size += messageBytes(p.queue[n].Message)
		if size > maxBatchBytes && n > 0 {
			break
		}
		n++
	}
	out := batch{Address: p.localAddress, Messages: append([]groupMessage(nil), p.queue[:n]...)}
	clear(p.queue[:n])
	p.queue = p.queue[n:]
	if len(p.queue) == 0 || h.closed {
		p.queue = nil
	}
	if n == 0 {
		p.senders--
	}
	return out
}

// messageBytes returns an upper estimate of the encoded size of a message.
func messageBytes(m raft.Message) int {
	const base, entry, member = 256, 64, 256
	size := base
	for _, e := range m.Entries {
		size += entry + len(e.Data)
		if e.Configuration != nil {
			size += member * (len(e.Configuration.Voters) + len(e.Configuration.Learners))
		}
	}
	if m.Chunk != nil {
		size += len(m.Chunk.Data) + member*(raft.MaxVoters+1+len(m.Chunk.Meta.Configuration.Learners))
	}
	return size
}

// onBatch passes messages to their groups and returns the replies that the groups
// produce while they handle them.
func (h *Host) onBatch(ctx context.Context, from transport.Peer, b *batch) (*batch, error) {
	if err := requireControlRole(from); err != nil {
		return nil, err
	}
	for _, m := range b.Messages {
		if err := checkSender(from, m.Message.From); err != nil {
			return nil, err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	collectors := make([]*replyCollector, 0, 2)
	for number, messages := range byGroup(b) {
		if g, err := h.group(number); err == nil {
			s := newReplyCollector(g)
			g.receive(ctx, b.Address, messages, h.proofFor(b, number), s)
			collectors = append(collectors, s)
		}
	}
	// The token is created before the replies are collected, so that a proof with this
	// token never seems newer than it is.
	out := &batch{Token: h.token()}
	for _, s := range collectors {
		for _, m := range s.wait(ctx) {
			out.Messages = append(out.Messages, groupMessage{s.group.config.Group, m})
		}
	}
	return out, nil
}

func byGroup(b *batch) map[uint32][]raft.Message {
	out := map[uint32][]raft.Message{}
	for _, m := range b.Messages {
		out[m.Group] = append(out[m.Group], m.Message)
	}
	return out
}

// deliverReply passes the replies of a peer to their groups.
func (h *Host) deliverReply(address string, b *batch) {
	h.recordToken(address, b.Token)
	for number, messages := range byGroup(b) {
		if g, err := h.group(number); err == nil {
			g.receive(h.ctx, address, messages, nil, nil)
		}
	}
}

func requireControlRole(from transport.Peer) error {
	if from.Role != fleet.RoleControl {
		return errkind.New(errkind.Unauthorized, "%s lacks the control role", from.Node)
	}
	return nil
}

func (h *Host) onPropose(ctx context.Context, from transport.Peer, r *proposeRequest) (*proposeReply, error) {
	g, err := h.group(r.Group)
	if err != nil {
		return nil, err
	}
	if g.config.ControlOnly {
		if err := requireControlRole(from); err != nil {
			return nil, err
		}
	}
	// ctx does not necessarily end when the caller disconnects, so the wait is
	// bounded here as well.
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	result, err := g.proposeAsLeader(ctx, r.Command)
	if err != nil {
		if e := errkind.Of(err); e.Kind == errkind.ControlUnavailable {
			return &proposeReply{Leader: g.Status().LeaderAddress, Reason: err.Error()}, nil
		}
		return nil, err
	}
	return &proposeReply{Accepted: true, Result: result}, nil
}

func (h *Host) onReadIndex(ctx context.Context, from transport.Peer, r *readIndexRequest) (*readIndexReply, error) {
	if err := requireControlRole(from); err != nil {
		return nil, err
	}
	g, err := h.group(r.Group)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	read, err := g.readIndexAsLeader(ctx)
	if err != nil {
		return &readIndexReply{}, nil
	}
	return &readIndexReply{Confirmed: true, Index: read.Index, LogTerm: read.LogTerm}, nil
}

func (h *Host) onLocate(_ context.Context, _ transport.Peer, r *locateRequest) (*locateReply, error) {
	g, err := h.group(r.Group)
	if err != nil {
		return nil, err
	}
	s := g.Status()
	return &locateReply{Leader: s.LeaderAddress, Term: s.Term}, nil
}

func (h *Host) onJoin(ctx context.Context, from transport.Peer, r *joinRequest) (*joinReply, error) {
	if err := requireControlRole(from); err != nil {
		return nil, err
	}
	if err := checkSender(from, r.Member.ID); err != nil {
		return nil, err
	}
	g, err := h.group(r.Group)
	if err != nil {
		return nil, err
	}
	return g.admit(ctx, r), nil
}
