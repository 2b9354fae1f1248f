package probe

import "time"

// Config holds the ages from which information that arrived with ordinary answers is too old,
// so that a probe or a load query is needed. A field that is zero takes its default.
type Config struct {
	ServerAge time.Duration // since the last answer of the backend server to its own node
	ReportAge time.Duration // since the newest load report of another server of a service in use
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

// ProbeNeeded reports whether a node should probe its own backend server. An answer to an
// ordinary request serves as a probe, so a busy server is never probed.
func (c Config) ProbeNeeded(now, lastAnswer time.Time) bool {
	return now.Sub(lastAnswer) >= c.ServerAge
}

// LoadQueryNeeded reports whether a selecting node should send a load query for a server, given
// the age of its newest load report and the time since the node last used its service. A
// negative reportAge means that there is no report, a negative lastUse that the service
// was not used. A service that was not used within ReportAge needs no queries.
func (c Config) LoadQueryNeeded(reportAge, lastUse time.Duration) bool {
	if lastUse < 0 || lastUse > c.ReportAge {
		return false
	}
	return reportAge < 0 || reportAge >= c.ReportAge
}
