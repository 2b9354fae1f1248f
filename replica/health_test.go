package replica

import (
	"errors"
	"strings"
	"testing"

	"bramleymill/errkind"
	"bramleymill/fleet"
	"bramleymill/transport"
)

// Guards against a stalled disk that is not reported to other processes, and against
// reporting problems to processes without the control role.
func TestProblemsReportStalledDisk(t *testing.T) {
	c, disks := newFaultyCluster(t)
	leader := c.leader()
	if p := c.processes[leader].host.Problems(); len(p) != 0 {
		t.Fatalf("problems of a healthy process = %q, want no problems", p)
	}
	c.stallSyncs(disks[leader])
	c.propose(leader, "one")
	remoteHost := NewHost(transport.NewMux(), &client{n: c.network, address: "x", role: fleet.RoleControl})
	defer remoteHost.Close()
	got, err := remoteHost.ProblemsAt(c.context(), leader)
	c.noError(err)
	if len(got) != 1 || !strings.Contains(got[0], "group 1") || !strings.Contains(got[0], ErrDiskStalled.Error()) {
		t.Fatalf("problems of a process with a stalled disk = %q, want one that names group 1 and ErrDiskStalled", got)
	}
	var rejection *errkind.Error
	err = (&client{n: c.network, address: "y", role: fleet.RoleNode}).Call(c.context(), leader, kindHealth, &healthRequest{}, &healthReply{})
	if !errors.As(err, &rejection) || rejection.Kind != errkind.Unauthorized {
		t.Fatalf("health request without the control role: error %v, want error kind Unauthorized", err)
	}
}
