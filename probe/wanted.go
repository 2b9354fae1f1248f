package probe

import "time"

// Config holds the ages at which piggybacked information is too old.
type Config struct {
	ServerAge time.Duration // since the backend server last answered its own node
	ReportAge time.Duration // since the newest load report of a server of interest
}

// Defaults of Config.
const (
	DefaultServerAge = 2 * time.Second
	DefaultReportAge = time.Second
)

// WithDefaults returns c with its zero fields set to the defaults.
func (c Config) WithDefaults() Config {
	if c.ServerAge <= 0 {
		c.ServerAge = DefaultServerAge
	}
	if c.ReportAge <= 0 {
		c.ReportAge = DefaultReportAge
	}
	return c
}

// ServerWanted decides whether the node beside a backend server wants to probe
// it. Answers to ordinary requests are as good as a probe, so that a busy server
// is never probed.
func (c Config) ServerWanted(now, lastAnswer time.Time) bool {
	return now.Sub(lastAnswer) >= c.ServerAge
}

// ReportWanted decides whether a selecting node wants to ask another node for
// its counters. It does so only for a service that it is using.
func (c Config) ReportWanted(reportAge, lastUse time.Duration) bool {
	if lastUse < 0 || lastUse > c.ReportAge {
		return false
	}
	return reportAge < 0 || reportAge >= c.ReportAge
}
