package member

import (
	"bytes"
	"time"
)

const (
	// inlineDocumentBytes is the largest document that is sent with a reply to a heartbeat.
	// A larger one would make the reply arrive after heartbeatTimeout when a relay sends it
	// to all its children on a slow link.
	inlineDocumentBytes = 16 << 10
	// replyPieceBytes is the size from which a reply gets no further piece, so that the
	// heartbeats beside it are not delayed for long.
	replyPieceBytes = 16 << 10
	// maxWantedPieces bounds the pieces that one request names.
	maxWantedPieces = 256
	documentTimeout = 3 * time.Second
	fetchRetryDelay = 100 * time.Millisecond
)

// documentRequest requests pieces of the parent's document.
type documentRequest struct {
	Version uint64 `cbor:"1,keyasint"`           // version whose list of pieces the sender has; zero: none
	Wanted  []byte `cbor:"2,keyasint,omitempty"` // ids of pieces that the sender lacks
}

// documentReply has the list of pieces if Version differs from that of the request, and
// otherwise the first of the wanted pieces, as many as fit.
type documentReply struct {
	Version   uint64        `cbor:"1,keyasint"`
	Manifest  []byte        `cbor:"2,keyasint,omitempty"` // ids of all pieces of the document, in their order
	Pieces    [][]byte      `cbor:"3,keyasint,omitempty"` // deflated
	Confirmed bool          `cbor:"4,keyasint,omitempty"` // Version has a confirmation, and Age is set
	Age       time.Duration `cbor:"5,keyasint,omitempty"` // age of the confirmation of Version
}

// sendDocumentRequest is an action.
type sendDocumentRequest struct {
	address string
	request *documentRequest
	sent    time.Time // clock reading from before the request is encoded
}

func (sendDocumentRequest) isAction() {}

// fetch is the state of fetching a document in pieces from the parent.
type fetch struct {
	target      uint64 // newest version that the parent has and has not sent inline
	version     uint64 // version of ids; zero: none
	ids         []pieceID
	content     map[pieceID][]byte // pieces that have arrived or that the document in force has
	confirmed   bool
	confirmedAt time.Time // when version was the newest one
	inFlight    bool
	next        time.Time // no request before this time
}

// announceDocument adds the document to a reply if it is small. A child fetches a larger one.
func (k *core) announceDocument(reply *heartbeatReply) {
	if len(k.conf.document) <= inlineDocumentBytes {
		reply.Document = k.conf.document
		return
	}
	reply.DocumentBytes = uint64(len(k.conf.document))
}

// noticeDocument records whether the parent has a document that must be fetched.
func (k *core) noticeDocument(reply *heartbeatReply) {
	k.fetch.target = 0
	if reply.DocumentBytes > 0 && reply.DocumentBytes <= MaxDocumentBytes {
		k.fetch.target = reply.Version
	}
}

// fetching reports whether a document has to be fetched from the parent.
func (k *core) fetching() bool {
	return k.source == nil && k.up.address != "" && k.fetch.target > k.conf.version
}

// dueFetch sends the next request for a document.
func (k *core) dueFetch(out []action, now time.Time) []action {
	f := &k.fetch
	if !k.fetching() || f.inFlight || now.Before(f.next) {
		return out
	}
	f.inFlight = true
	r := &documentRequest{Version: f.version}
	if f.version > 0 {
		r.Wanted = encodeIDs(f.missing())
	}
	return append(out, sendDocumentRequest{address: k.up.address, request: r, sent: now})
}

// missing returns the ids of the first pieces that have not arrived.
func (f *fetch) missing() []pieceID {
	var out []pieceID
	listed := map[pieceID]bool{}
	for _, id := range f.ids {
		if _, ok := f.content[id]; ok || listed[id] {
			continue
		}
		listed[id] = true
		if out = append(out, id); len(out) == maxWantedPieces {
			break
		}
	}
	return out
}

// onDocumentRequest answers the request of a child.
func (k *core) onDocumentRequest(r *documentRequest, now time.Time) *documentReply {
	k.readSource(now)
	reply := &documentReply{Version: k.conf.version}
	if k.conf.version == 0 {
		return reply
	}
	if k.conf.confirmed {
		reply.Confirmed, reply.Age = true, k.conf.age(now)
	}
	p := k.conf.split()
	if r.Version != k.conf.version {
		reply.Manifest = encodeIDs(p.ids)
		return reply
	}
	wanted, err := decodeIDs(r.Wanted)
	if err != nil {
		return reply
	}
	size := 0
	for _, id := range wanted {
		b := p.deflate(id)
		if b == nil || size > 0 && size+len(b) > replyPieceBytes {
			break
		}
		size += len(b)
		reply.Pieces = append(reply.Pieces, b)
	}
	return reply
}

// documentDone handles the reply to a request for a document or its failure.
func (k *core) documentDone(a sendDocumentRequest, reply *documentReply, err error, now time.Time) {
	f := &k.fetch
	f.inFlight, f.next = false, now
	progress := false
	if err == nil && a.address == k.up.address {
		reply.Age = max(reply.Age, 0)
		progress = k.applyDocumentReply(a, reply)
	}
	if !progress {
		k.stats.DocumentRequestsFailed++
		f.next = now.Add(k.jitter(fetchRetryDelay, 0.5))
		return
	}
	if f.version > 0 && len(f.missing()) == 0 {
		k.completeFetch(now)
	}
}

// applyDocumentReply reports whether the reply brought anything new.
func (k *core) applyDocumentReply(a sendDocumentRequest, reply *documentReply) bool {
	f := &k.fetch
	if len(reply.Manifest) > 0 {
		ids, err := decodeIDs(reply.Manifest)
		if err != nil || reply.Version <= k.conf.version {
			return false
		}
		arrived, current := f.content, k.conf.split().content
		f.content = map[pieceID][]byte{}
		for _, id := range ids {
			if b, ok := arrived[id]; ok {
				f.content[id] = b
			} else if b, ok := current[id]; ok {
				f.content[id] = b
			}
		}
		f.version, f.ids, f.target = reply.Version, ids, max(f.target, reply.Version)
		f.confirmed, f.confirmedAt = reply.Confirmed, a.sent.Add(-reply.Age)
		return true
	}
	if reply.Version != f.version || a.request.Version != f.version {
		f.version = 0 // the list of pieces is requested again
		return false
	}
	if reply.Confirmed {
		f.confirmed, f.confirmedAt = true, a.sent.Add(-reply.Age)
	}
	listed := map[pieceID]bool{}
	for _, id := range f.ids {
		listed[id] = true
	}
	progress := len(f.missing()) == 0 // the list was all that was new
	for _, b := range reply.Pieces {
		content, id, err := inflate(b)
		if _, have := f.content[id]; err != nil || have || !listed[id] {
			continue
		}
		f.content[id] = content
		progress = true
	}
	if !progress {
		f.version = 0
	}
	return progress
}

// completeFetch puts the fetched document in force.
func (k *core) completeFetch(now time.Time) {
	f := &k.fetch
	size := 0
	for _, id := range f.ids {
		if size += len(f.content[id]); size > MaxDocumentBytes {
			k.stats.DocumentsTooLarge++
			k.fetch = fetch{next: now.Add(ConfirmationBound)}
			return
		}
	}
	var document bytes.Buffer
	document.Grow(size)
	for _, id := range f.ids {
		document.Write(f.content[id])
	}
	k.adopt(f.version, document.Bytes(), now.Sub(f.confirmedAt), f.confirmed)
	if k.conf.version < f.version {
		// The first document of a process needs a recent confirmation, which comes with the
		// list of pieces.
		f.version, f.next = 0, now.Add(fetchRetryDelay)
		return
	}
	if f.confirmed {
		k.conf.confirm(f.version, f.confirmedAt)
	}
	k.fetch = fetch{target: f.target}
}
