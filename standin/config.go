package standin

import (
	"fmt"
	"time"
)

// Config describes the behaviour of one stand-in.
type Config struct {
	Address       string
	Service       string
	Slots         int           // concurrent executions
	Connections   int           // open connections; further ones are closed at once
	OpenDelay     time.Duration // time to open a connection
	ServiceTime   time.Duration // mean execution time
	Spread        float64       // standard deviation of the logarithm of the execution time
	SwingFactor   float64       // peak multiple of the execution time during a swing
	SwingPeriod   time.Duration // period of the swings; zero disables them
	ColdStart     time.Duration // time during which executions take longer
	ColdFactor    float64       // multiple of the execution time at the start of ColdStart
	ReportLag     time.Duration // age of what the health and load endpoints tell
	ReportIdle    bool          // the load endpoint always reports an idle server
	ReportDelay   time.Duration // time to answer a health or load request
	ShedAbove     int           // waiting requests above which new ones are shed; zero: never shed
	AnswerBytes   int           // body size of an answer
	FailFast      bool          // answer every request with 500 at once
	CallURL       string        // URL called during every execution that is not GET or HEAD
	DirectCallURL string        // used instead of CallURL for requests that came without a node
	RecordFile    string        // execution records, one JSON object a line
	Seed          uint64        // seed of the execution times
	AllowCrash    bool          // obey the crash header
	DrainTimeout  time.Duration // bound of a graceful stop
	IgnoreContext bool          // keep executing after the caller has gone
}

// DefaultConfig returns the behaviour of a healthy backend server.
func DefaultConfig() Config {
	return Config{
		Address:      "127.0.0.1:0",
		Service:      "service",
		Slots:        10,
		Connections:  250,
		OpenDelay:    time.Millisecond,
		ServiceTime:  5 * time.Millisecond,
		Spread:       0.4,
		SwingFactor:  1,
		ColdFactor:   1,
		AnswerBytes:  512,
		AllowCrash:   true,
		DrainTimeout: 10 * time.Second,
	}
}

// Validate returns an error that names the first impossible value.
func (c Config) Validate() error {
	switch {
	case c.Slots < 1:
		return fmt.Errorf("slots %d: use at least 1", c.Slots)
	case c.Connections < 1:
		return fmt.Errorf("connections %d: use at least 1", c.Connections)
	case c.ServiceTime < 0 || c.OpenDelay < 0 || c.ReportLag < 0 || c.ReportDelay < 0 || c.ColdStart < 0:
		return fmt.Errorf("times must not be negative")
	case c.Spread < 0 || c.Spread > 3:
		return fmt.Errorf("spread %v: use 0 to 3", c.Spread)
	case c.SwingFactor < 1 || c.ColdFactor < 1:
		return fmt.Errorf("swing and cold factors must be at least 1")
	case c.AnswerBytes < 0 || c.AnswerBytes > 16<<20:
		return fmt.Errorf("answer bytes %d: use 0 to 16777216", c.AnswerBytes)
	}
	return nil
}
