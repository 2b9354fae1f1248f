package e2e

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"bramleymill/keys"
	"bramleymill/operator"
)

// changesBeforeReturn is the number of changes made while one control instance is down.
const changesBeforeReturn = 1000

// Guards against a control instance that does not catch up after it has missed a thousand
// changes, and against a fleet that accepts no changes after its leader was killed. The test
// logs how long both take and sets no limit on the times.
func TestCatchUpAndNewLeaderAfterManyChanges(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetOptions{controls: 3, plain: 1})
	f.bootstrap()
	f.awaitVoters(3)
	stopped := f.instances[2]
	stopped.node.kill()
	version := f.applyChanges(f.instances[:2], 1, changesBeforeReturn)

	start := time.Now()
	f.startNode(stopped)
	client := f.operatorClient(stopped)
	f.await("the restarted instance confirming the newest version", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		s, err := client.Status(ctx)
		return err == nil && s.Confirmed && s.Version == version
	})
	t.Logf("start and catch-up after %d missed changes took %v", changesBeforeReturn, time.Since(start).Round(time.Millisecond))

	f.awaitInForce(version, len(f.instances))
	for range 3 {
		leader := f.leader()
		var others []*instance
		for _, in := range f.instances[:3] {
			if in != leader {
				others = append(others, in)
			}
		}
		start = time.Now()
		leader.node.kill()
		version = f.applyChanges(others, version, 1)
		t.Logf("acceptance of a change after the leader was killed took %v", time.Since(start).Round(time.Millisecond))
		f.startNode(leader)
		f.awaitInForce(version, len(f.instances))
	}
	f.ctl("history", "--verify")
}

// leader returns the control instance that, according to the node logs, became leader of the
// configuration group most recently.
func (f *fleet) leader() *instance {
	f.t.Helper()
	var last string
	var leader *instance
	for _, in := range f.instances {
		for line := range strings.Lines(f.log(in)) {
			// Log lines begin with a timestamp, so their order as strings is their order in time.
			if strings.Contains(line, `msg="role changed"`) && strings.Contains(line, "group=0 role=leader") && line > last {
				last, leader = line, in
			}
		}
	}
	if leader == nil {
		f.t.Fatal("no node log reports a leader of the configuration group")
	}
	return leader
}

// applyChanges applies n changes through the given control instances. version is the version of
// the configuration before the first change. It returns the version of the last change. The test
// fails if a change does not get the next version.
func (f *fleet) applyChanges(instances []*instance, version uint64, n int) uint64 {
	f.t.Helper()
	client := f.operatorClient(instances...)
	for range n {
		document := fmt.Sprintf(f.options.classes, fmt.Sprintf("%dms", 1000+version))
		q := operator.ApplyRequest{ChangeID: fmt.Sprint("change-", version), ExpectedVersion: version, Document: document}
		f.await(q.ChangeID, func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
			defer cancel()
			r, err := client.Apply(ctx, q)
			if err == nil && r.Version != version+1 {
				f.t.Fatalf("version = %d after a change of version %d, want the next version", r.Version, version)
			}
			return err == nil
		})
		version++
	}
	return version
}

// operatorClient returns a client for the admin listeners of instances. It uses the keys of the
// operator.
func (f *fleet) operatorClient(instances ...*instance) *operator.Client {
	f.t.Helper()
	store, err := keys.Load(keys.Config{Files: keys.FilesOf(f.path("keys"), "op")})
	if err != nil {
		f.t.Fatal(err)
	}
	var addresses []string
	for _, in := range instances {
		addresses = append(addresses, in.address["admin"])
	}
	return operator.NewClient(&http.Client{Transport: &http.Transport{TLSClientConfig: store.AdminClient()}}, addresses)
}
