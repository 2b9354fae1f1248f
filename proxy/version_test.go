package proxy

import (
	"testing"

	"bramleymill/class"
)

// A node fetches a later configuration only after the proxy has reported that another
// node has it. Guards against a missing report.
func TestLaterConfigurationIsReported(t *testing.T) {
	c := newCluster(t)
	var seen []uint64
	c.node("entry", nil)
	server := c.node("server", answer("hello"), func(c *Config) {
		c.OnLaterConfig = func(v uint64) { seen = append(seen, v) }
	})
	server.reportLaterConfig(c.Current().Version)
	server.reportLaterConfig(c.Current().Version + 1)
	if len(seen) != 1 || seen[0] != c.Current().Version+1 {
		t.Errorf("versions reported as later = %v, want only the one that follows the current version %d", seen, c.Current().Version)
	}
}

// olderConfiguration is the configuration of a node that is one version behind the
// others.
type olderConfiguration struct{ *cluster }

func (c olderConfiguration) Current() *class.Set {
	return class.NewSet(c.cluster.Current().Version-1, c.cluster.Current().Document())
}

// Guards against a node with an older configuration that ignores the later version in the
// answers to the calls that it forwards.
func TestLaggingNodeLearnsFromCalls(t *testing.T) {
	c := newCluster(t)
	seen := make(chan uint64, 10)
	entry := c.node("entry", nil, func(config *Config) {
		config.Configuration = olderConfiguration{c}
		config.OnLaterConfig = func(v uint64) { seen <- v }
	})
	c.node("server", answer("hello"))
	expect(t, 200, "", "hello", "GET", entry.caller.URL+"/x")
	if len(seen) == 0 || <-seen != c.Current().Version {
		t.Error("entry node with an older configuration: the configuration version in the answer was not the first version reported as later, want it reported first")
	}
}

// Guards against attempts that are refused permanently because the fleet knows a higher
// incarnation of the node than the one that the node derived from its clock.
func TestRaisedIncarnationIsAccepted(t *testing.T) {
	c := newCluster(t)
	entry := c.node("entry", nil)
	server := c.node("server", answer("hello"))
	server.SetIncarnation(9)
	if got := server.LoadReport().Incarnation; got != 9 {
		t.Errorf("incarnation in the load report after SetIncarnation(9) = %d, want 9", got)
	}
	expect(t, 503, "stale_target", "", "POST", entry.caller.URL+"/x")
	server.config.Incarnation = 9 // as the membership announces it
	expect(t, 200, "", "hello", "POST", entry.caller.URL+"/x")
}
