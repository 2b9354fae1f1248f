package proxy

import (
	"testing"

	"bramleymill/class"
)

// Guards against a node that meets a later configuration in the messages of
// another node and does not fetch it.
func TestLaterConfigurationIsReported(t *testing.T) {
	c := newCluster(t)
	var seen []uint64
	c.node("entry", nil)
	server := c.node("server", answer("hello"), func(c *Config) {
		c.ConfigSeen = func(v uint64) { seen = append(seen, v) }
	})
	server.configSeen(c.Current().Version)
	server.configSeen(c.Current().Version + 1)
	if len(seen) != 1 || seen[0] != c.Current().Version+1 {
		t.Errorf("noticed %v, the own version is %d", seen, c.Current().Version)
	}
}

// olderConfiguration is a node's view that lags behind the others.
type olderConfiguration struct{ *cluster }

func (c olderConfiguration) Current() *class.Set {
	return class.NewSet(c.cluster.Current().Version-1, c.cluster.Current().Document())
}

// Guards against a forwarded call or its answer that passes a lagging node
// without telling it that it lags.
func TestLaggingNodeLearnsFromCalls(t *testing.T) {
	c := newCluster(t)
	seen := make(chan uint64, 10)
	entry := c.node("entry", nil, func(config *Config) {
		config.Configuration = olderConfiguration{c}
		config.ConfigSeen = func(v uint64) { seen <- v }
	})
	c.node("server", answer("hello"))
	expect(t, 200, "", "hello", "GET", entry.caller.URL+"/x")
	if len(seen) == 0 || <-seen != c.Current().Version {
		t.Error("the entry node did not learn the version from the answer")
	}
}

// Guards against attempts that are refused for ever, because the fleet knows the
// node by a higher incarnation than its clock gave it.
func TestRaisedIncarnationIsAccepted(t *testing.T) {
	c := newCluster(t)
	entry := c.node("entry", nil)
	server := c.node("server", answer("hello"))
	server.SetIncarnation(9)
	if got := server.LoadReport().Incarnation; got != 9 {
		t.Errorf("load report of incarnation %d, want 9", got)
	}
	expect(t, 503, "stale_target", "", "POST", entry.caller.URL+"/x")
	server.config.Incarnation = 9 // announced by the membership
	expect(t, 200, "", "hello", "POST", entry.caller.URL+"/x")
}
