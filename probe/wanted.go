package probe

import "time"

// Config holds the ages at which information from ordinary answers counts as too old. A probe
// or a load query is then needed. A field that is zero or negative takes its default.
type Config struct {
	ServerAge time.Duration // a node probes its backend server when the last answer is at least this old
	ReportAge time.Duration // a load query is sent when a server's newest load report is at least this old
}

// Defaults of Config.
const (
	DefaultServerAge = 2 * time.Second
	DefaultReportAge = time.Second
)

// WithDefaults returns c with the defaults in place of fields that are zero or negative.
func (c Config) WithDefaults() Config {
	if c.ServerAge <= 0 {
		c.ServerAge = DefaultServerAge
	}
	if c.ReportAge <= 0 {
		c.ReportAge = DefaultReportAge
	}
	return c
}

// ProbeNeeded reports whether a node should probe its backend server, given the time of the
// server's last answer. An answer to an ordinary request serves as a probe, so that a busy
// server is never probed.
func (c Config) ProbeNeeded(now, lastAnswer time.Time) bool {
	return now.Sub(lastAnswer) >= c.ServerAge
}

// LoadQueryNeeded reports whether a selecting node should send a load query about a server.
// reportAge is the age of the server's newest load report; negative: there is none. lastUse is
// the time since the node last used the server's service; negative: never. A service that
// was not used within ReportAge needs no queries.
func (c Config) LoadQueryNeeded(reportAge, lastUse time.Duration) bool {
	if lastUse < 0 || lastUse > c.ReportAge {
		return false
	}
	return reportAge < 0 || reportAge >= c.ReportAge
}
