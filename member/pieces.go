package member

import (
	"bytes"
	"compress/flate"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
)

// A document that does not fit into a reply to a heartbeat is distributed in pieces that are
// named by their content. The boundaries of the pieces depend on the content alone, so that a
// small change of a large document leaves most pieces as they are, and a child fetches only
// the others. What it has fetched stays useful when a later version replaces the one that it
// is fetching, or when it changes its parent.

const (
	minPieceBytes = 2 << 10
	maxPieceBytes = 16 << 10
	// pieceBits is the number of zero bits of the rolling hash at a boundary. A piece has
	// about minPieceBytes + 1<<pieceBits bytes.
	pieceBits = 13
	// hashWindow is the number of bytes on which the rolling hash depends.
	hashWindow = 64
)

// pieceID identifies a piece by a hash of its content.
type pieceID [16]byte

func idOf(piece []byte) pieceID {
	sum := sha256.Sum256(piece)
	return pieceID(sum[:len(pieceID{})])
}

// gear has a random number for each byte value. All members must use the same numbers.
var gear = func() (table [256]uint64) {
	random := rand.New(rand.NewPCG(0x9e3779b97f4a7c15, 0xbf58476d1ce4e5b9))
	for i := range table {
		table[i] = random.Uint64()
	}
	return table
}()

// pieceLength returns the length of the first piece of a document.
func pieceLength(document []byte) int {
	end := min(len(document), maxPieceBytes)
	var hash uint64
	for i := minPieceBytes - hashWindow; i < end; i++ {
		hash = hash<<1 + gear[document[i]]
		if i+1 >= minPieceBytes && hash>>(64-pieceBits) == 0 {
			return i + 1
		}
	}
	return end
}

// pieces is a document that consists of pieces.
type pieces struct {
	ids      []pieceID
	content  map[pieceID][]byte
	deflated map[pieceID][]byte // pieces that were sent, as they are sent
}

func split(document []byte) *pieces {
	p := &pieces{content: map[pieceID][]byte{}}
	for len(document) > 0 {
		n := pieceLength(document)
		id := idOf(document[:n])
		p.ids = append(p.ids, id)
		p.content[id] = document[:n]
		document = document[n:]
	}
	return p
}

// take makes p reuse what was deflated for an earlier version of the document.
func (p *pieces) take(earlier *pieces) {
	p.deflated = map[pieceID][]byte{}
	if earlier == nil {
		return
	}
	for id, b := range earlier.deflated {
		if _, ok := p.content[id]; ok {
			p.deflated[id] = b
		}
	}
}

// deflate returns a piece as it is sent, or nil if p does not have it.
func (p *pieces) deflate(id pieceID) []byte {
	if b, ok := p.deflated[id]; ok {
		return b
	}
	content, ok := p.content[id]
	if !ok {
		return nil
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.DefaultCompression)
	if err != nil {
		return nil
	}
	_, _ = w.Write(content) // a bytes.Buffer returns no error
	_ = w.Close()
	p.deflated[id] = out.Bytes()
	return p.deflated[id]
}

// inflate returns the content of a piece that was sent, and its id.
func inflate(deflated []byte) ([]byte, pieceID, error) {
	r := flate.NewReader(bytes.NewReader(deflated))
	defer r.Close()
	content, err := io.ReadAll(io.LimitReader(r, maxPieceBytes+1))
	if err != nil {
		return nil, pieceID{}, fmt.Errorf("piece of a document: %w", err)
	}
	if len(content) > maxPieceBytes {
		return nil, pieceID{}, errors.New("piece of a document: too large")
	}
	return content, idOf(content), nil
}

// maxManifestIDs is the largest number of pieces of a document that is distributed.
const maxManifestIDs = MaxDocumentBytes/minPieceBytes + 1

// encodeIDs and decodeIDs convert ids to and from their form in messages.
func encodeIDs(ids []pieceID) []byte {
	out := make([]byte, 0, len(ids)*len(pieceID{}))
	for _, id := range ids {
		out = append(out, id[:]...)
	}
	return out
}

func decodeIDs(b []byte) ([]pieceID, error) {
	const size = len(pieceID{})
	if len(b)%size != 0 || len(b)/size > maxManifestIDs {
		return nil, fmt.Errorf("list of pieces has %d bytes", len(b))
	}
	out := make([]pieceID, 0, len(b)/size)
	for ; len(b) > 0; b = b[size:] {
		out = append(out, pieceID(b[:size]))
	}
	return out, nil
}
