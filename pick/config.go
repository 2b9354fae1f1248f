package pick

import "time"

// Config holds the parameters of selection. The zero value of a field selects
// its default.
type Config struct {
	Candidates          int           // random candidates compared by one Pick
	ServiceTime         time.Duration // assumed until the first answer
	OtherZoneDelay      time.Duration // round trip to another zone until it is learned
	ReportHalfLife      time.Duration // age at which a report counts half
	EstimateHalfLife    time.Duration // age at which a service-time estimate counts half
	SlowStart           time.Duration // warm-up period of a server
	SlowStartFactor     float64       // cost factor at the start of the warm-up period
	FailurePenalty      time.Duration // added cost of a server that always fails
	FailureHalfLife     time.Duration // age at which a failure rate counts half
	ConsecutiveFailures int           // failures in a row that eject a server
	FailureRate         float64       // recent failure rate that ejects a server
	EjectionBase        time.Duration // first ejection period; doubles with each further ejection
	EjectionMax         time.Duration // longest ejection period
	TrialTimeout        time.Duration // a trial request that takes longer may be followed by another
}

// Defaults of Config.
const (
	DefaultCandidates          = 3
	DefaultServiceTime         = 10 * time.Millisecond
	DefaultOtherZoneDelay      = time.Millisecond
	DefaultReportHalfLife      = 50 * time.Millisecond
	DefaultEstimateHalfLife    = 4 * time.Second
	DefaultSlowStart           = 5 * time.Second
	DefaultSlowStartFactor     = 4
	DefaultFailurePenalty      = 2 * time.Second
	DefaultFailureHalfLife     = 5 * time.Second
	DefaultConsecutiveFailures = 5
	DefaultFailureRate         = 0.5
	DefaultEjectionBase        = time.Second
	DefaultEjectionMax         = time.Minute
	DefaultTrialTimeout        = 5 * time.Second
)

// maxCandidates bounds Config.Candidates, so that the candidates of a Pick fit
// in a fixed array.
const maxCandidates = 16

func (c Config) withDefaults() Config {
	setDefault(&c.Candidates, DefaultCandidates)
	setDefault(&c.ServiceTime, DefaultServiceTime)
	setDefault(&c.OtherZoneDelay, DefaultOtherZoneDelay)
	setDefault(&c.ReportHalfLife, DefaultReportHalfLife)
	setDefault(&c.EstimateHalfLife, DefaultEstimateHalfLife)
	setDefault(&c.SlowStart, DefaultSlowStart)
	setDefault(&c.SlowStartFactor, DefaultSlowStartFactor)
	setDefault(&c.FailurePenalty, DefaultFailurePenalty)
	setDefault(&c.FailureHalfLife, DefaultFailureHalfLife)
	setDefault(&c.ConsecutiveFailures, DefaultConsecutiveFailures)
	setDefault(&c.FailureRate, DefaultFailureRate)
	setDefault(&c.EjectionBase, DefaultEjectionBase)
	setDefault(&c.EjectionMax, DefaultEjectionMax)
	setDefault(&c.TrialTimeout, DefaultTrialTimeout)
	c.Candidates = min(c.Candidates, maxCandidates)
	return c
}

func setDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
