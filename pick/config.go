package pick

import "time"

// Config holds the parameters of selection. A field that is zero or negative takes its
// default. A half-life is the age at which the weight of a value is one half.
type Config struct {
	Candidates          int           // number of random servers that one Pick compares, at most 16
	ServiceTime         time.Duration // service time that is assumed until the first answer
	OtherZoneDelay      time.Duration // round trip to another zone, assumed until one is measured
	ReportHalfLife      time.Duration // half-life of a load report
	EstimateHalfLife    time.Duration // half-life of the service-time estimate of a server
	SlowStart           time.Duration // warm-up period of a server after it became ready
	SlowStartFactor     float64       // cost factor at the start of the warm-up period, falling to 1
	MemoryTime          time.Duration // age from which the service time and the failures of a server have no weight
	FailurePenalty      time.Duration // cost added for a failure rate of 1
	FailureHalfLife     time.Duration // half-life of the failure rate of a server
	ConsecutiveFailures int           // number of consecutive failures at which a server is ejected
	FailureRate         float64       // recent failure rate at which a server is ejected
	EjectionBase        time.Duration // first ejection period; doubles with each further ejection
	EjectionMax         time.Duration // longest ejection period
	TrialTimeout        time.Duration // least age of a trial request at which another one may be sent
	WaitPerMegabyte     time.Duration // waiting time that is accepted for each megabyte that does not cross zones
}

// Defaults of Config.
const (
	DefaultCandidates       = 3
	DefaultServiceTime      = 10 * time.Millisecond
	DefaultOtherZoneDelay   = time.Millisecond
	DefaultReportHalfLife   = 50 * time.Millisecond
	DefaultEstimateHalfLife = 4 * time.Second
	// DefaultMemoryTime bounds what a lasting straggler costs: each node tries it with one
	// request in this time.
	DefaultMemoryTime          = 50 * time.Second
	DefaultSlowStart           = 5 * time.Second
	DefaultSlowStartFactor     = 4
	DefaultFailurePenalty      = 2 * time.Second
	DefaultFailureHalfLife     = 5 * time.Second
	DefaultConsecutiveFailures = 5
	DefaultFailureRate         = 0.5
	DefaultEjectionBase        = time.Second
	DefaultEjectionMax         = time.Minute
	DefaultTrialTimeout        = 5 * time.Second
	// DefaultWaitPerMegabyte lets an answer of 90 KB wait 90 ms longer in its zone, and one of
	// 1 KB 1 ms.
	DefaultWaitPerMegabyte = time.Second
)

// maxCandidates bounds Config.Candidates, so that the candidates of a Pick fit in an
// array of fixed size and Pick allocates nothing.
const maxCandidates = 16

func (c Config) withDefaults() Config {
	setDefault(&c.Candidates, DefaultCandidates)
	setDefault(&c.ServiceTime, DefaultServiceTime)
	setDefault(&c.OtherZoneDelay, DefaultOtherZoneDelay)
	setDefault(&c.ReportHalfLife, DefaultReportHalfLife)
	setDefault(&c.EstimateHalfLife, DefaultEstimateHalfLife)
	setDefault(&c.MemoryTime, DefaultMemoryTime)
	setDefault(&c.SlowStart, DefaultSlowStart)
	setDefault(&c.SlowStartFactor, DefaultSlowStartFactor)
	setDefault(&c.FailurePenalty, DefaultFailurePenalty)
	setDefault(&c.FailureHalfLife, DefaultFailureHalfLife)
	setDefault(&c.ConsecutiveFailures, DefaultConsecutiveFailures)
	setDefault(&c.FailureRate, DefaultFailureRate)
	setDefault(&c.EjectionBase, DefaultEjectionBase)
	setDefault(&c.EjectionMax, DefaultEjectionMax)
	setDefault(&c.TrialTimeout, DefaultTrialTimeout)
	setDefault(&c.WaitPerMegabyte, DefaultWaitPerMegabyte)
	c.Candidates = min(c.Candidates, maxCandidates)
	return c
}

func setDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// waitPerByte returns WaitPerMegabyte for one byte, in nanoseconds.
func (c *Config) waitPerByte() float64 { return float64(c.WaitPerMegabyte) / 1e6 }
