package explain

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bramleymill/errkind"
	"bramleymill/fleet"
	"bramleymill/transport"
)

var start = time.Unix(1000, 0)

func add(s *Store, side Side, id string, targets ...fleet.NodeID) {
	r := NewRecord(side, id, start)
	for i, n := range targets {
		r.AddAttempt(Attempt{Number: uint32(i + 1), Target: n}, start, start.Add(time.Millisecond))
	}
	r.End(start.Add(2*time.Millisecond), 200)
	s.Add(r)
}

// Guards against a store or record that grows without limit or loses its newest entries.
func TestStoreIsBounded(t *testing.T) {
	s := NewStore("n", 4, 2)
	for i := range 10 {
		add(s, Entry, fmt.Sprint(i))
		s.AddEvent(start, Ejected, "m", "shop", fmt.Sprint(i))
	}
	if len(s.Find("5")) != 0 || len(s.Find("6")) != 1 || len(s.Recent("", 100)) != 4 || s.Recent("", 1)[0].RequestID != "9" {
		t.Errorf("records kept of ten in a store for four = %v, want those of the requests 9 to 6, newest first", s.Recent("", 100))
	}
	if e := s.Events(10); len(e) != 2 || e[0].Reason != "9" || e[1].Reason != "8" {
		t.Errorf("events kept of ten in a store for two = %v, want those with the reasons 9 and 8", e)
	}
	r := NewRecord(Entry, "x", start)
	for range 2 * MaxAttempts {
		r.AddAttempt(Attempt{}, start, start)
		r.AddCandidates(make([]Candidate, MaxCandidates/2+1))
	}
	r.Failed(errkind.Internal, errors.New(strings.Repeat("x", 10*maxReason)))
	if len(r.Attempts) != MaxAttempts || len(r.Candidates) > MaxCandidates || len(r.Reason) != maxReason {
		t.Errorf("record with too many entries: %d attempts, %d candidates, reason of %d bytes; want 6 (MaxAttempts), at most 32 (MaxCandidates), 200 (maxReason)", len(r.Attempts), len(r.Candidates), len(r.Reason))
	}
}

// Guards against data races between adding and looking up records.
func TestConcurrentUse(t *testing.T) {
	s := NewStore("n", 8, 8)
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() {
			for range 200 {
				add(s, Entry, fmt.Sprint(i))
				s.Find(fmt.Sprint(i))
				s.Events(4)
			}
		})
	}
	wg.Wait()
}

// muxes is a transport.Client that calls the message handlers of other nodes directly.
type muxes map[string]*transport.Mux

func (m muxes) Call(ctx context.Context, address string, k transport.Kind, request, reply any) error {
	mux, ok := m[address]
	if !ok {
		return errors.New("unreachable")
	}
	payload, err := cbor.Marshal(request)
	if err != nil {
		return err
	}
	out, err := mux.Dispatch(ctx, transport.Peer{}, k, payload)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(out, reply)
}

// Guards against an explanation that lacks the records of a node that took part, or that does
// not list a node that could not be queried.
func TestFindMergesEntryAndServerNodes(t *testing.T) {
	client := muxes{}
	stores := map[fleet.NodeID]*Store{}
	for _, n := range []fleet.NodeID{"entry", "a", "b", "other"} {
		stores[n] = NewStore(n, 16, 16)
		mux := transport.NewMux()
		Register(mux, stores[n])
		if n != "b" {
			client["at "+string(n)] = mux
		}
	}
	add(stores["entry"], Entry, "entry.1.1", "a", "b", "a", "gone")
	add(stores["a"], ServerSide, "entry.1.1")
	add(stores["a"], ServerSide, "entry.1.2")
	addresses := func(n fleet.NodeID) (string, bool) { return "at " + string(n), n != "gone" }
	entryNode := func(id string) (fleet.NodeID, bool) {
		name, _, ok := strings.Cut(id, ".")
		return fleet.NodeID(name), ok
	}
	f := NewFinder(stores["other"], client, addresses, entryNode)
	got, err := f.Find(t.Context(), "entry.1.1")
	if err != nil {
		t.Fatal(err)
	}
	if len(got.Records) != 2 || got.Records[0].Node != "entry" || got.Records[1].Node != "a" || len(got.Records[0].Attempts) != 4 || got.Records[0].Attempts[0].Duration != time.Millisecond {
		t.Errorf("records of the explanation = %+v, want that of node \"entry\" with four attempts and that of node \"a\"", got.Records)
	}
	if len(got.Missing) != 2 || got.Missing[0].Node != "b" || got.Missing[1].Node != "gone" {
		t.Errorf("nodes missing in the explanation = %+v, want \"b\" and \"gone\"", got.Missing)
	}
	for id, want := range map[string]errkind.Kind{"entry.1.9": errkind.NotFound, "nonsense": errkind.BadRequest} {
		if _, err := f.Find(t.Context(), id); errkind.Of(err).Kind != want {
			t.Errorf("Find(%q) error = %v, want error kind not_found for \"entry.1.9\" and bad_request for \"nonsense\"", id, err)
		}
	}
	var events EventsReply
	stores["a"].AddEvent(start, Ejected, "m", "shop", "r")
	if err := client.Call(t.Context(), "at a", KindEvents, &EventsRequest{Limit: 1 << 30}, &events); err != nil || len(events.Events) != 1 {
		t.Errorf("events of node a = %v, error = %v, want one event and no error", events, err)
	}
}

// BenchmarkRecord measures the cost of recording for a request with one attempt and three
// candidates.
func BenchmarkRecord(b *testing.B) {
	s := NewStore("n", DefaultRecords, DefaultEvents)
	b.ReportAllocs()
	for b.Loop() {
		r := NewRecord(Entry, "entry.1.1", start)
		r.AddCandidates(make([]Candidate, 3))
		r.AddAttempt(Attempt{Number: 1, Target: "a"}, start, start)
		r.End(start, 200)
		s.Add(r)
	}
}
