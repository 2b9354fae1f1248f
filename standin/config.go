package standin

import (
	"fmt"
	"time"
)

// Config describes the behaviour of one stand-in backend server.
type Config struct {
	Address       string
	Service       string
	Slots         int           // largest number of concurrent executions
	Connections   int           // largest number of open connections; further ones are closed immediately
	OpenDelay     time.Duration // imitated duration of the connection setup
	ServiceTime   time.Duration // mean execution time
	Spread        float64       // standard deviation of the natural logarithm of the execution time
	SwingFactor   float64       // multiple of the execution time at the peak of a swing
	SwingPeriod   time.Duration // period of the swings of the execution time; zero disables them
	ColdStart     time.Duration // time after the start during which executions take longer
	ColdFactor    float64       // multiple of the execution time at the start; falls linearly to 1 during ColdStart
	ReportLag     time.Duration // minimum age of the load that the load endpoint reports
	ReportIdle    bool          // the load endpoint always reports an idle server
	ReportDelay   time.Duration // delay of the answers of the health and load endpoints
	ShedAbove     int           // number of waiting requests above which new ones are shed; zero for never
	AnswerBytes   int           // size of the body of an answer
	FailFast      bool          // answer every request for work with 500 immediately
	CallURL       string        // URL of the nested call; HeaderLevels defines which requests make one
	DirectCallURL string        // used instead of CallURL for requests that did not come through a node
	RecordFile    string        // file for execution records, one JSON object per line; empty for none
	Seed          uint64        // seed of the execution times
	AllowCrash    bool          // exit on a request with HeaderCrash
	DrainTimeout  time.Duration // time limit of a graceful stop; only the command millstandin uses it
	IgnoreContext bool          // finish executions whose caller disconnected
}

// DefaultConfig returns the behaviour of a healthy backend server that listens on a
// free port of the loopback address.
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

// Validate returns an error about the first value that is out of its range.
func (c Config) Validate() error {
	switch {
	case c.Slots < 1:
		return fmt.Errorf("slots %d: use at least 1", c.Slots)
	case c.Connections < 1:
		return fmt.Errorf("connections %d: use at least 1", c.Connections)
	case c.ServiceTime < 0 || c.OpenDelay < 0 || c.ReportLag < 0 || c.ReportDelay < 0 || c.ColdStart < 0:
		return fmt.Errorf("service time, open delay, report lag, report delay and cold start must not be negative")
	case c.Spread < 0 || c.Spread > 3:
		return fmt.Errorf("spread %v: use 0 to 3", c.Spread)
	case c.SwingFactor < 1 || c.ColdFactor < 1:
		return fmt.Errorf("swing factor and cold factor must be at least 1")
	case c.AnswerBytes < 0 || c.AnswerBytes > 16<<20:
		return fmt.Errorf("answer bytes %d: use 0 to 16777216", c.AnswerBytes)
	}
	return nil
}
