package transmit

// estimateWeight is the weight of a new answer in the mean size of its class.
const estimateWeight = 0.1

// maxClasses bounds the classes with an estimate. Further classes count as small.
const maxClasses = 4096

// Estimate predicts the bytes that running requests will send. It is not safe for concurrent
// use.
type Estimate struct {
	means   map[string]float64 // mean bytes of the answers of a class
	running float64            // sum of the expected bytes of the running requests
}

// NewEstimate returns an Estimate that expects no bytes for any class.
func NewEstimate() *Estimate { return &Estimate{means: map[string]float64{}} }

// Mean returns the mean size of the answers of a class in bytes, or zero before the first one.
func (e *Estimate) Mean(class string) int64 { return int64(e.means[class]) }

// Start records that a request of a class runs. The result must be passed to End.
func (e *Estimate) Start(class string) (expected float64) {
	expected = e.means[class]
	e.running += expected
	return expected
}

// End records that a running request has ended, or that its answer is being sent.
func (e *Estimate) End(expected float64) { e.running = max(e.running-expected, 0) }

// Observe records the size of an answer.
func (e *Estimate) Observe(class string, bytes int64) {
	mean, known := e.means[class]
	if !known {
		if len(e.means) >= maxClasses {
			return
		}
		mean = float64(bytes)
	}
	e.means[class] = mean + estimateWeight*(float64(bytes)-mean)
}

// Running returns the bytes that the running requests are expected to send.
func (e *Estimate) Running() int64 { return int64(e.running) }
